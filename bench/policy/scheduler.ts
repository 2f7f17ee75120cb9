/**
 * The interface between the simulated entry and a scheduler, and the
 * schedulers to compare: the real dispatcher with its features switched on or
 * off, and simple baselines.
 */

import type {Clock} from '../../src/ports/clock.js';
import type {CacheEvent, EngineLoadReport} from '../../src/ports/engine.js';
import type {GrantProgress, GrantRequest} from '../../src/ports/grants.js';
import type {Random} from '../../src/ports/random.js';
import type {EngineDescription} from '../../src/core/scheduling/engine_reservations.js';
import {
  createPolicy,
  type SchedulingPolicy,
} from '../../src/core/scheduling/policy.js';
import {createDispatcher} from '../../src/scheduling/dispatcher.js';
import type {
  DispatcherOptions,
  EngineUsage,
  GrantReply,
  GrantTicket,
} from '../../src/scheduling/dispatcher_types.js';
import {ENGINE} from './engine_fakes.js';
import type {Shape} from './workload.js';

export interface Scheduler {
  ask(request: GrantRequest, reply: GrantReply): GrantTicket;
  report(grantId: string, progress: GrantProgress): void;
  setEngines(engines: readonly EngineDescription[]): void;
  applyLoadReport(report: EngineLoadReport): void;
  applyCacheEvents(engineId: string, events: readonly CacheEvent[]): void;
  removeEngine(engineId: string): void;
  /** Chooses a decode engine after a refused import; baselines only. */
  pickOtherDecodeEngine?(engineId: string): string;
  engineUsage(): readonly EngineUsage[];
  stop(): void;
}

export type SchedulerFactory = (
  clock: Clock,
  random: Random,
  shape: Shape,
) => Scheduler;

/** Estimates close to the fakes' real figures, as an operator would set them. */
export const INITIAL_ESTIMATES = {
  prefillOverheadMs: ENGINE.prefillOverheadMs,
  prefillMsPerToken: 1 / ENGINE.prefillTokensPerMs,
  kvBytesPerToken: ENGINE.kvBytesPerToken,
  answerTokens: 250,
  tokenIntervalMs: 45,
};

export function dispatcherFactory(
  policy: Partial<SchedulingPolicy>,
  changes: Partial<DispatcherOptions> = {},
): SchedulerFactory {
  return (clock, random, shape) =>
    createDispatcher(
      {clock, random},
      {
        shardId: 's1',
        homeEpoch: 1,
        service: shape.service,
        targets: {
          ttftMs: shape.ttftMs.interactive,
          tokenIntervalMs: shape.tokenIntervalMs,
          waitMs: shape.waitMs.patient,
        },
        wasteWeight: shape.wasteWeight,
        maxQueued: 2_000,
        initialEstimates: INITIAL_ESTIMATES,
        policy,
        ...changes,
      },
    );
}

/** Only reserves slots and memory, in order of arrival; no other feature. */
export const MINIMAL_POLICY: SchedulingPolicy = createPolicy(1, {
  order: 'arrival',
  refuseEarly: false,
  isFair: false,
  grantFromForecast: false,
  scheduleLinks: false,
  usePrefixCache: false,
  watchHealth: false,
  limitPace: false,
  scanLimit: 1,
});

type Pick = (engines: readonly EngineDescription[]) => EngineDescription;

/** Chooses both engines at once from delayed reports, without reservations. */
function createBaseline(
  makePick: (
    random: Random,
    reports: ReadonlyMap<string, EngineLoadReport>,
  ) => Pick,
): SchedulerFactory {
  return (_clock, random) => {
    const reports = new Map<string, EngineLoadReport>();
    const pick = makePick(random, reports);
    let engines: readonly EngineDescription[] = [];
    let count = 0;
    const removedEngineIds = new Set<string>();

    const ofRole = (role: string) =>
      engines.filter(
        each => each.role === role && !removedEngineIds.has(each.engineId),
      );

    return {
      ask(_request, reply) {
        const prefills = ofRole('prefill');
        const decodes = ofRole('decode');
        if (prefills.length === 0 || decodes.length === 0) {
          reply({kind: 'refused', reason: 'no-engine', retryAfterMs: 1_000});
          return {cancel() {}};
        }
        const prefill = pick(prefills);
        const decode = pick(decodes);
        reply({
          kind: 'granted',
          grantId: `baseline/${++count}`,
          homeEpoch: 0,
          prefillEngineId: prefill.engineId,
          prefillAddress: prefill.address,
          decodeEngineId: decode.engineId,
          decodeAddress: decode.address,
          lifeMs: 5_000,
          startInMs: 0,
        });
        return {cancel() {}};
      },
      report() {},
      setEngines(next) {
        engines = next;
        removedEngineIds.clear();
      },
      applyLoadReport(report) {
        reports.set(report.engineId, report);
      },
      applyCacheEvents() {},
      removeEngine(engineId) {
        removedEngineIds.add(engineId);
      },
      pickOtherDecodeEngine(engineId) {
        const decodes = ofRole('decode');
        return decodes.length === 0 ? engineId : pick(decodes).engineId;
      },
      engineUsage: () => [],
      stop() {},
    };
  };
}

const randomPick = createBaseline(
  random => engines => engines[random.nextInt(engines.length)],
);

const roundRobin = createBaseline(() => {
  const next = new Map<string, number>();
  return engines => {
    const {role} = engines[0];
    const index = next.get(role) ?? 0;
    next.set(role, index + 1);
    return engines[index % engines.length];
  };
});

const leastLoaded = createBaseline((random, reports) => engines => {
  const load = (engine: EngineDescription) => {
    const report = reports.get(engine.engineId);
    if (!report) return 0;
    return engine.role === 'prefill'
      ? report.queuedTokens
      : report.slotsUsed / report.slotsTotal +
          report.kvUsedBytes / report.kvTotalBytes;
  };
  const offset = random.nextInt(engines.length);
  let best = engines[offset];
  for (let i = 1; i < engines.length; i++) {
    const other = engines[(offset + i) % engines.length];
    if (load(other) < load(best)) best = other;
  }
  return best;
});

export const BASELINES: ReadonlyMap<string, SchedulerFactory> = new Map([
  ['random', randomPick],
  ['round-robin', roundRobin],
  ['least-loaded', leastLoaded],
  ['fifo', dispatcherFactory(MINIMAL_POLICY)],
]);

/** The minimal policy with one feature switched on. */
export const SINGLE_FEATURES: ReadonlyMap<string, SchedulerFactory> = new Map(
  (
    [
      ['+deadline order', {order: 'deadline'}],
      ['+refuse early', {refuseEarly: true}],
      ['+refuse, fair', {refuseEarly: true, isFair: true}],
      ['+forecast slots', {grantFromForecast: true, forecastConfidence: 0.95}],
      ['+link timetable', {scheduleLinks: true}],
      ['+prefix cache', {usePrefixCache: true}],
      ['+health', {watchHealth: true}],
      ['+scan past', {scanLimit: 16}],
    ] satisfies [string, Partial<SchedulingPolicy>][]
  ).map(([name, change]) => [
    name,
    dispatcherFactory({...MINIMAL_POLICY, ...change}),
  ]),
);

/** The policy with its default settings. */
export const FULL_POLICY: SchedulerFactory = dispatcherFactory({});

/** As `FULL_POLICY`, with entries that retry refused imports. */
export const FULL_POLICY_WITH_IMPORT_RETRIES: SchedulerFactory =
  dispatcherFactory({}, {hasImportRetries: true});

/** The full policy with one feature switched off. */
export const WITHOUT_ONE_FEATURE: ReadonlyMap<string, SchedulerFactory> =
  new Map(
    (
      [
        ['-deadline order', {order: 'arrival'}],
        ['-refuse early', {refuseEarly: false}],
        ['-fair', {isFair: false}],
        ['-link timetable', {scheduleLinks: false}],
        ['-prefix cache', {usePrefixCache: false}],
        ['-health', {watchHealth: false}],
        ['-scan past', {scanLimit: 1}],
      ] satisfies [string, Partial<SchedulingPolicy>][]
    ).map(([name, change]) => [name, dispatcherFactory(change)]),
  );
