/**
 * Creates schedules of calls and faults, runs them on a simulated site and
 * reports the violated guarantees.
 */

import {createSeededRandom} from '../../src/core/seeded_random.js';
import {createRequestSite, type RequestSite} from './request_site.js';
import {
  createSiteCallers,
  type CallKind,
  type CallSpec,
  type SiteCallers,
  type SendRecord,
} from './site_callers.js';
import type {Mutant} from './site_entry.js';
import {
  faultKinds,
  hasEngineLinkFault,
  hasEntryFault,
  injectFault,
  type FaultEvent,
  type FaultKind,
} from './site_faults.js';
import {observeSite, watchRelease, type Violation} from './site_observer.js';

export interface Schedule {
  readonly seed: number;
  readonly calls: readonly CallSpec[];
  readonly faults: readonly FaultEvent[];
}

export interface RunResult {
  readonly violations: readonly Violation[];
  readonly records: readonly SendRecord[];
  readonly site: RequestSite;
}

export const noMutant: Mutant = {name: 'none'};

const WARM_UP_MS = 500;
const CALL_WINDOW_MS = 250;
const FAULT_WINDOW_MS = 700;
const MAX_FAULT_MS = 1_500;
/** By now all faults and restarts are over and all stale leases are dropped. */
const FAULTS_END_AT_MS = 9_000;
const END_AT_MS = 16_000;
const MAX_FAULTS = 3;
const WAIT_MS = 2_500;

const kinds: readonly CallKind[] = ['model', 'patient', 'plain', 'single'];

type SeededRandom = ReturnType<typeof createSeededRandom>;

/** The kinds of calls and faults that a schedule is drawn from. */
interface Profile {
  readonly kinds: readonly CallKind[];
  readonly faults: readonly FaultKind[];
  readonly callCount: number;
  /** Number of keys that the calls share, or 0 if each call has its own. */
  readonly sharedKeys: number;
}

const mixedProfile: Profile = {
  kinds,
  faults: faultKinds,
  callCount: 4,
  sharedKeys: 0,
};

/** Several callers use the same few keys while the platform has faults. */
const journalProfile: Profile = {
  kinds: ['single'],
  faults: faultKinds.filter(
    kind =>
      kind.startsWith('platform') ||
      kind.startsWith('service') ||
      kind.startsWith('partition') ||
      kind.startsWith('entry'),
  ),
  callCount: 6,
  sharedKeys: 2,
};

const MIXED_SHARE = 0.6;
const DISCARDED_NUMBERS = 32;

function createRandomCall(
  random: SeededRandom,
  profile: Profile,
  i: number,
): CallSpec {
  const isDrawn = (share: number) => random.nextFloat() < share;
  const kind = profile.kinds[random.nextInt(profile.kinds.length)];
  const isKeyed =
    profile.sharedKeys > 0 ||
    kind === 'patient' ||
    (kind !== 'plain' && isDrawn(0.8));
  const number = profile.sharedKeys > 0 ? i % profile.sharedKeys : i;
  return {
    id: `c${number}`,
    sender: `s${i}`,
    kind,
    key: isKeyed ? `k${number}` : undefined,
    isPoison: profile.sharedKeys === 0 && isDrawn(0.05),
    entryIndex: random.nextInt(3),
    atMs: WARM_UP_MS + random.nextInt(CALL_WINDOW_MS),
    hangUpAfterMs: isDrawn(0.15) ? random.nextInt(200) : undefined,
    waitMs: isDrawn(0.2) ? 50 + random.nextInt(300) : WAIT_MS,
    maxSends: isKeyed ? 3 : 1,
  };
}

/** Creates a schedule. The same seed always gives the same schedule. */
export function makeSchedule(seed: number): Schedule {
  const random = createSeededRandom(seed ^ 0x5bd1e995);
  // The first numbers of neighboring seeds are similar.
  for (let i = 0; i < DISCARDED_NUMBERS; i++) random.nextFloat();
  const isMixed = random.nextFloat() < MIXED_SHARE;
  const profile = isMixed ? mixedProfile : journalProfile;
  const callCount = profile.callCount - 1 + random.nextInt(3);
  const calls = Array.from({length: callCount}, (_, i) =>
    createRandomCall(random, profile, i),
  );
  const faultCount = 1 + random.nextInt(MAX_FAULTS);
  const faults = Array.from({length: faultCount}, (): FaultEvent => ({
    kind: profile.faults[random.nextInt(profile.faults.length)],
    atMs: WARM_UP_MS - 100 + random.nextInt(FAULT_WINDOW_MS),
    durationMs: 50 + random.nextInt(MAX_FAULT_MS),
    target: random.nextInt(6),
  }));
  return {seed, calls, faults};
}

/**
 * Calls sent after all faults are over. New calls must succeed, and repeats
 * must get the recorded answer.
 */
function createCallsAfterFaults(schedule: Schedule): readonly CallSpec[] {
  const repeats = schedule.calls
    .filter(call => call.kind === 'single' && call.key && !call.isPoison)
    .map(call => ({...call, atMs: FAULTS_END_AT_MS - 1, entryIndex: 1}));
  const newCalls = kinds.map((kind, i): CallSpec => ({
    id: `late-${kind}`,
    sender: `late-${kind}`,
    kind,
    key: kind === 'single' ? 'late-key' : undefined,
    isPoison: false,
    entryIndex: i,
    atMs: FAULTS_END_AT_MS,
    waitMs: WAIT_MS,
    maxSends: 1,
  }));
  return [
    ...repeats.map(call => ({
      ...call,
      hangUpAfterMs: undefined,
      waitMs: WAIT_MS,
      maxSends: 1,
      isRepeat: true,
    })),
    ...newCalls,
  ];
}

/** Runs a schedule whose faults are injected by `scheduleFaults`. */
export async function runWithFaults(
  schedule: Schedule,
  mutant: Mutant,
  scheduleFaults: (site: RequestSite, callers: SiteCallers) => void,
): Promise<RunResult> {
  const site = createRequestSite(schedule.seed, mutant);
  const unreleasedMemory: string[] = [];
  const hasCleanLinks = !hasEngineLinkFault(schedule.faults);
  const callers = createSiteCallers(site, requestId => {
    if (!hasCleanLinks) return;
    watchRelease(site, requestId, what => unreleasedMemory.push(what));
  });
  [...schedule.calls, ...createCallsAfterFaults(schedule)].forEach(
    callers.schedule,
  );
  scheduleFaults(site, callers);
  await site.clock.advance(END_AT_MS);
  const records = callers.records();
  const violations = observeSite(site, records, {
    mayLeaveUnknown:
      hasEntryFault(schedule.faults) ||
      schedule.faults.some(({kind}) => kind.startsWith('service')),
    unreleasedMemory,
    faultsEndAtMs: FAULTS_END_AT_MS,
  });
  return {violations, records, site};
}

export function runSchedule(
  schedule: Schedule,
  mutant: Mutant = noMutant,
): Promise<RunResult> {
  return runWithFaults(schedule, mutant, site => {
    for (const fault of schedule.faults) {
      site.clock.setTimer(fault.atMs, () => injectFault(site, fault));
    }
  });
}

/** Formats a schedule and its result as text. */
export function describeRun(schedule: Schedule, result: RunResult): string {
  const lines = [`seed ${schedule.seed}`];
  for (const fault of schedule.faults) {
    lines.push(
      `  fault ${fault.kind} at ${fault.atMs} for ${fault.durationMs} ms, ` +
        `target ${fault.target}`,
    );
  }
  for (const record of result.records) {
    const outcome = record.outcomes[0];
    const outcomeText =
      outcome?.kind === 'failed' ? outcome.error.kind : outcome?.kind;
    lines.push(
      `  ${record.requestId} ${record.spec.kind} ${record.spec.key ?? '-'} ` +
        `at ${record.arrivedAtMs} on ${record.entry.tag}: ${outcomeText} ` +
        `at ${record.endedAtMs}${record.hasHungUp ? ', hung up' : ''}` +
        `${record.spec.isPoison ? ', poison' : ''}`,
    );
  }
  for (const note of result.site.warnings()) lines.push(`  note ${note}`);
  for (const {promise, what} of result.violations) {
    lines.push(`  VIOLATION ${promise}: ${what}`);
  }
  return lines.join('\n');
}
