/** What the bench's entry asks of a policy, the real home or a baseline. */

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
  /** Another decode engine after a refused import; baselines only. */
  repick?(engineId: string): string;
  engineUsage(): readonly EngineUsage[];
  stop(): void;
}

export type SchedulerFactory = (
  clock: Clock,
  random: Random,
  shape: Shape,
) => Scheduler;

/** First guesses near the truth, as an operator would set them. */
export const GUESSES = {
  prefillOverheadMs: ENGINE.prefillOverheadMs,
  prefillMsPerToken: 1 / ENGINE.prefillTokensPerMs,
  kvBytesPerToken: ENGINE.kvBytesPerToken,
  answerTokens: 250,
  tokenIntervalMs: 45,
};

export function homeFactory(
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
        initialEstimates: GUESSES,
        policy,
        ...changes,
      },
    );
}

/** Every idea switched off: books of slots and memory, order of arrival. */
export const BARE_POLICY: SchedulingPolicy = createPolicy(1, {
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

/** Chooses both engines at once, by lagging knowledge, and promises nothing. */
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
    const gone = new Set<string>();

    const ofRole = (role: string) =>
      engines.filter(each => each.role === role && !gone.has(each.engineId));

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
        gone.clear();
      },
      applyLoadReport(report) {
        reports.set(report.engineId, report);
      },
      applyCacheEvents() {},
      removeEngine(engineId) {
        gone.add(engineId);
      },
      repick(engineId) {
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
  ['fifo', homeFactory(BARE_POLICY)],
]);

/** Each idea alone on top of first-in first-out with books. */
export const SINGLE_IDEAS: ReadonlyMap<string, SchedulerFactory> = new Map(
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
  ).map(([name, change]) => [name, homeFactory({...BARE_POLICY, ...change})]),
);

/** The whole policy, and the whole without one idea. */
export const WHOLE: SchedulerFactory = homeFactory({});

/** As `WHOLE`, when entries repeat imports that find no room. */
export const WITH_FORECAST: SchedulerFactory = homeFactory(
  {},
  {hasImportRetries: true},
);

export const WITHOUT_ONE: ReadonlyMap<string, SchedulerFactory> = new Map(
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
  ).map(([name, change]) => [name, homeFactory(change)]),
);
