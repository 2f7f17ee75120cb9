/** Faults of simulated runs; each schedules changes to the fake engines. */

import type {FaultContext, FaultPlan} from './run_plan.js';

export const NO_FAULT: FaultPlan = {
  name: 'none',
  schedule() {},
};

/** Time after which membership reports a dead engine to its home. */
const DEATH_NOTICE_MS = 1_000;
const REBOOT_MS = 8_000;

/** Start and end of the faults that last for a while. */
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

/** Kills a random engine every `everyMs` and restarts it `REBOOT_MS` later. */
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

/** Slows down one engine, which its load reports don't mention. */
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

/** Kills all engines of one failure domain at once and restarts them later. */
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
