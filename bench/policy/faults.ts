/** Faults that a run may have, each a plan of changes to the fakes. */

import type {VirtualClock} from '../../src/core/virtual_clock.js';
import type {Random} from '../../src/ports/random.js';
import type {Scheduler} from './scheduler.js';
import type {Cluster} from './simulation.js';

export interface FaultContext {
  readonly clock: VirtualClock;
  readonly cluster: Cluster;
  readonly scheduler: Scheduler;
  readonly random: Random;
}

export interface FaultPlan {
  readonly name: string;
  schedule(context: FaultContext): void;
}

export const NO_FAULT: FaultPlan = {
  name: 'none',
  schedule() {},
};

/** Membership tells homes of a dead engine after this time. */
const DEATH_NOTICE_MS = 1_000;
const REBOOT_MS = 8_000;

/** Times at which the lasting faults begin and end. */
export const FAULT_FROM_MS = 60_000;
export const FAULT_UNTIL_MS = 100_000;

function kill(context: FaultContext, engineId: string): void {
  const {clock, cluster, scheduler} = context;
  const engine =
    cluster.prefills.get(engineId) ?? cluster.decodes.get(engineId)!;
  engine.die();
  clock.setTimer(DEATH_NOTICE_MS, () => scheduler.removeEngine(engineId));
}

function revive(context: FaultContext, engineIds: readonly string[]): void {
  const {cluster, scheduler} = context;
  for (const engineId of engineIds) {
    const engine =
      cluster.prefills.get(engineId) ?? cluster.decodes.get(engineId)!;
    engine.revive();
  }
  const isAlive = (engineId: string) =>
    (
      cluster.prefills.get(engineId) ?? cluster.decodes.get(engineId)!
    ).isAlive();
  scheduler.setEngines(
    cluster.descriptions.filter(each => isAlive(each.engineId)),
  );
}

/** One random engine dies every `everyMs` and is back some seconds later. */
export function engineDeaths(everyMs: number, untilMs: number): FaultPlan {
  return {
    name: `a death each ${everyMs / 1_000} s`,
    schedule(context) {
      const {clock, cluster, random} = context;
      for (let atMs = everyMs; atMs < untilMs; atMs += everyMs) {
        const index = random.nextInt(cluster.descriptions.length);
        const {engineId} = cluster.descriptions[index];
        clock.setTimer(atMs, () => kill(context, engineId));
        clock.setTimer(atMs + REBOOT_MS, () => revive(context, [engineId]));
      }
    },
  };
}

/** One decode engine is slower and does not say so. */
export function slowEngine(
  role: 'prefill' | 'decode',
  factor: number,
): FaultPlan {
  return {
    name: `${role} ${factor}x slow`,
    schedule({clock, cluster}) {
      const engines = role === 'decode' ? cluster.decodes : cluster.prefills;
      const [engine] = engines.values();
      clock.setTimer(FAULT_FROM_MS, () => {
        engine.slowness = factor;
      });
      clock.setTimer(FAULT_UNTIL_MS, () => {
        engine.slowness = 1;
      });
    },
  };
}

/** All engines of one failure domain go at once, and come back. */
export function domainLost(domain: string): FaultPlan {
  return {
    name: 'domain lost and back',
    schedule(context) {
      const {clock, cluster} = context;
      const ids = cluster.descriptions
        .filter(each => each.failureDomain === domain)
        .map(each => each.engineId);
      clock.setTimer(FAULT_FROM_MS, () => {
        for (const engineId of ids) kill(context, engineId);
      });
      clock.setTimer(FAULT_UNTIL_MS, () => revive(context, ids));
    },
  };
}
