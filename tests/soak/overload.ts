/** Load of all kinds on the hosts of a soak, whose processes have limits. */

import type {DisruptedSpan, FaultContext, PlannedFault} from './fault_kinds.js';
import {toServices} from './pressure_callers.js';
import {toPressingConfiguration} from './pressure_engines.js';
import {watchMemory, type MemoryWatch} from './pressure_memory.js';
import {PRESSURE_SCENARIOS} from './pressure_scenarios.js';
import {startPressureWorker} from './pressure_worker.js';
import type {CallRecord} from './soak_callers.js';
import type {ConfigurationAdditions, SoakSite} from './soak_site.js';

/** The platform starts a process again so long after its end. */
const RESTART_MS = 500;
/** A process that was started answers after this time. */
const START_MS = 3_000;
const SCENARIOS = [...PRESSURE_SCENARIOS.values()];

const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** Presses on all hosts as in one of the scenarios. */
export async function pressOnHosts(
  {site, random}: FaultContext,
  {forMs}: PlannedFault,
): Promise<void> {
  const {pressing} = SCENARIOS[random.nextInt(SCENARIOS.length)];
  const worker = await startPressureWorker({
    kind: 'callers',
    pressing,
    hosts: site.hosts.map(({child}) => child.settings),
  });
  await wait(forMs);
  await worker.stop();
}

export interface Overload {
  readonly additions: ConfigurationAdditions;
  /** Lists the upstreams, and ends processes at their limit of memory. */
  begin(
    site: SoakSite,
    memoryMb: number,
    recordDisruption: (span: DisruptedSpan) => void,
  ): void;
  /** One line for each process that was ended. */
  findEnded(): readonly string[];
  stop(): Promise<void>;
}

/** Starts the upstreams of all loads. */
export async function createOverload(now: () => number): Promise<Overload> {
  const services = toServices(SCENARIOS.flatMap(({pressing}) => pressing));
  const engines = await startPressureWorker({kind: 'engines', services});
  let watch: MemoryWatch | undefined;
  return {
    additions: toPressingConfiguration(services),
    begin(site, memoryMb, recordDisruption) {
      for (const [index, row] of engines.rows.entries()) {
        site.store.put('servers', `p-${index}`, row);
      }
      const children = site.hosts.map(({child}) => child);
      watch = watchMemory(children, memoryMb, async child => {
        const fromMs = now();
        await child.ended();
        await wait(RESTART_MS);
        child.start();
        const {hostId} = child.settings;
        const toMs = now();
        recordDisruption({hostId, fromMs, toMs, isOfProcess: true});
      });
    },
    findEnded: () =>
      (watch?.ended ?? []).map(hostId => `${hostId}: ended at its limit`),
    async stop() {
      watch?.stop();
      await engines.stop();
    },
  };
}

/** Returns one line for each process that ended without a signal to do so. */
export function findOwnExits({hosts}: SoakSite): readonly string[] {
  return hosts.flatMap(({child}) =>
    child.ownExits.map(
      ({code, signal}) =>
        `${child.settings.hostId}: exited by itself with code ${code}, signal ${signal}`,
    ),
  );
}

/**
 * Returns one line for each request that got no answer within its deadline from
 * a process that was running all the time.
 */
export function findLostRequests(
  records: readonly CallRecord[],
  disruptions: readonly DisruptedSpan[],
): readonly string[] {
  return records.flatMap(record => {
    const {id, kind, hostId, status, sentAtMs, endedAtMs = Infinity} = record;
    const tookMs = endedAtMs - sentAtMs;
    const hasLeft = record.hasDisconnected && tookMs < record.deadlineMs;
    const wasDisrupted = disruptions.some(
      span =>
        span.isOfProcess &&
        span.hostId === hostId &&
        span.fromMs <= endedAtMs &&
        sentAtMs <= span.toMs + START_MS,
    );
    if (status !== undefined || hasLeft || wasDisrupted) return [];
    return [
      `${id} (${kind}): no answer from ${hostId} in ${Math.round(tookMs)} ms`,
    ];
  });
}
