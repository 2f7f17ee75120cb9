/**
 * Checks the guarantees of the product after a run of the fault harness. It
 * reads only the records of the stand-ins and the answers to the callers, never
 * the state of the router.
 */

import {errorAnswers} from '../../src/core/error_kinds.js';
import {expectAnswer} from '../../stand_ins/answer_text.js';
import {ANSWER_TOKENS, type RequestSite} from './request_site.js';
import {createBody, createPrompt, type SendRecord} from './site_callers.js';

/** The guarantees of the product, in the order of its specification. */
export const promises = [
  'nothing held by the gone',
  'answered once',
  'whole and own answer',
  'not run is true',
  'at most once',
  'leaving gets no new work',
  'shutdown cuts nothing',
  'configuration in force',
] as const;

export type PromiseName = (typeof promises)[number] | 'site recovers';

export interface Violation {
  readonly promise: PromiseName;
  readonly what: string;
}

/** Engines must release the memory of an ended request within this time. */
const RELEASE_WITHIN_MS = 50;
/** Time after which a leaving upstream must not get new work. */
const LEAVING_GRACE_MS = 2_000;
/** Time beyond `waitMs` within which the final answer must arrive. */
const ANSWER_SLACK_MS = 2_600;

export interface ObservationContext {
  /** Whether ends of calls may be unrecorded, or calls sent without a run. */
  readonly mayLeaveUnknown: boolean;
  /** Memory of ended requests that engines held although no link was faulty. */
  readonly unreleasedMemory: readonly string[];
  /** Time by which all faults are over. */
  readonly faultsEndAtMs: number;
}

function checkMemory(site: RequestSite): readonly Violation[] {
  const held = [...site.prefill, ...site.decode].flatMap(engine => {
    const books = engine.stats();
    const isClean = books.sessions.length === 0 && books.kvUsedBytes === 0;
    const owners = books.sessions.map(session => session.owner.attemptId);
    return isClean
      ? []
      : [`${books.engineId} holds ${books.kvUsedBytes} B for ${owners}`];
  });
  if (site.home.openGrantCount() > 0) held.push('grants stay open');
  if (site.home.expiredGrantCount() > 0) held.push('grants lapsed unreported');
  return held.map(what => ({promise: 'nothing held by the gone', what}));
}

function checkAnswer(record: SendRecord): readonly Violation[] {
  const {spec, requestId} = record;
  const outcome = record.outcomes[0];
  const createViolation = (what: string): readonly Violation[] => [
    {promise: 'whole and own answer', what: `${requestId}: ${what}`},
  ];
  const expectedTexts = expectAnswer(createPrompt(spec), ANSWER_TOKENS);
  const isCrossed = record.texts.some(
    (text, offset) => text !== expectedTexts.textAt(offset),
  );
  if (isCrossed) return createViolation('a token is not of its own answer');
  if (!outcome || outcome.kind === 'failed') return [];
  if (outcome.kind === 'whole') {
    const count = expectedTexts.naturalTokenCount;
    const isOwn =
      outcome.tokenCount === count && outcome.texts.length === count;
    return isOwn
      ? []
      : createViolation(`got ${outcome.texts.length} of ${count} tokens`);
  }
  const body = Buffer.from(outcome.answer.body).toString('utf8');
  const isOwn =
    body.includes(`"echo":"${createBody(spec)}"`) &&
    body.includes(`"key":${spec.key ? `"${spec.key}"` : 'null'}`);
  return isOwn ? [] : createViolation(`got ${body}`);
}

/** Returns the ids of the requests that an upstream recorded as run. */
function findRunIds(site: RequestSite): ReadonlySet<string> {
  const ids = new Set<string>();
  for (const engine of [...site.prefill, ...site.decode]) {
    for (const run of engine.stats().runs) {
      if (run.prefillsStarted + run.decodesStarted > 0) ids.add(run.requestId);
    }
  }
  for (const service of site.services) {
    for (const run of service.stats().runs) ids.add(run.requestId);
  }
  return ids;
}

function checkNotRun(
  ran: ReadonlySet<string>,
  record: SendRecord,
): readonly Violation[] {
  const outcome = record.outcomes[0];
  if (outcome?.kind !== 'failed' || record.hasHungUp) return [];
  const isReportedNotRun =
    errorAnswers[outcome.error.kind].runState === 'not-run';
  if (!isReportedNotRun || !ran.has(record.requestId)) return [];
  return [
    {
      promise: 'not run is true',
      what: `${record.requestId}: ${outcome.error.kind}, and it ran`,
    },
  ];
}

function checkSingleRun(
  site: RequestSite,
  records: readonly SendRecord[],
): readonly Violation[] {
  const runs = new Map<string, number>();
  for (const service of site.services) {
    for (const run of service.stats().runs) {
      if (run.method !== 'POST') continue;
      const name = run.idempotencyKey ?? run.requestId;
      runs.set(name, (runs.get(name) ?? 0) + 1);
    }
  }
  const repeatedRuns = [...runs].filter(([, count]) => count > 1);
  const bodies = new Map<string, string>();
  const differingAnswers = records.filter(({spec, outcomes}) => {
    const outcome = outcomes[0];
    if (spec.kind !== 'single' || !spec.key) return false;
    if (outcome?.kind !== 'answered') return false;
    const body = Buffer.from(outcome.answer.body).toString('utf8');
    const first = bodies.get(spec.key) ?? body;
    bodies.set(spec.key, first);
    return first !== body;
  });
  return [
    ...repeatedRuns.map(([name, count]) => ({
      promise: 'at most once' as const,
      what: `${name} ran ${count} times`,
    })),
    ...differingAnswers.map(({requestId}) => ({
      promise: 'answered once' as const,
      what: `${requestId}: a repeat got another answer`,
    })),
  ];
}

/** A caller that stays connected to a live entry gets its answer in time. */
function checkFinalAnswer(record: SendRecord): readonly Violation[] {
  const violations: Violation[] = record.violations.map(what => ({
    promise: 'answered once',
    what: `${record.requestId}: ${what}`,
  }));
  const {entry, arrivedAtMs, endedAtMs, spec} = record;
  if (record.hasHungUp || !entry.simulatedProcess.isAlive()) return violations;
  if (arrivedAtMs === undefined) return violations;
  const durationMs = (endedAtMs ?? Infinity) - arrivedAtMs;
  if (durationMs > spec.waitMs + ANSWER_SLACK_MS) {
    violations.push({
      promise: 'answered once',
      what: `${record.requestId}: no final answer within its wait`,
    });
  }
  return violations;
}

function checkLeaving(site: RequestSite): readonly Violation[] {
  const books = [
    ...[...site.prefill, ...site.decode].map(engine => engine.stats()),
    ...site.services.map(service => service.stats()),
  ];
  return books
    .filter(({workAfterLeavingMs}) =>
      workAfterLeavingMs.some(lateMs => lateMs > LEAVING_GRACE_MS),
    )
    .map(() => ({
      promise: 'leaving gets no new work',
      what: 'an upstream was offered work long after it began to leave',
    }));
}

/** An entry that ended after a drain has answered all its callers. */
function checkDrain(record: SendRecord): readonly Violation[] {
  const isInterrupted = record.entry.hasDrained && record.isConnectionLost;
  if (!isInterrupted || record.arrivedAtMs === undefined) return [];
  return [
    {promise: 'shutdown cuts nothing', what: `${record.requestId} was cut`},
  ];
}

/** Calls sent after all faults are over must succeed. */
function checkRecovery(
  records: readonly SendRecord[],
  faultsEndAtMs: number,
): readonly Violation[] {
  return records
    .filter(({spec}) => spec.atMs >= faultsEndAtMs && !spec.isPoison)
    .filter(({outcomes}) => outcomes[0]?.kind === 'failed')
    .map(({requestId, outcomes}) => ({
      promise: 'site recovers',
      what: `${requestId}: ${JSON.stringify(outcomes[0])}`,
    }));
}

/**
 * A repeat after all faults are over gets the recorded answer, or runs if no
 * earlier call with the key ran.
 */
function checkRepeats(
  ran: ReadonlySet<string>,
  records: readonly SendRecord[],
  mayLeaveUnknown: boolean,
): readonly Violation[] {
  return records.flatMap(record => {
    const {spec, outcomes, requestId} = record;
    const outcome = outcomes[0];
    if (!spec.isRepeat || outcome?.kind === 'answered') return [];
    const others = records.filter(
      other => other !== record && other.spec.key === spec.key,
    );
    // An entry that answered and is still alive has also recorded the answer.
    const wasRecorded = others.some(
      other =>
        other.outcomes[0]?.kind === 'answered' &&
        other.entry.simulatedProcess.isAlive(),
    );
    const hasEverRun = others.some(other => ran.has(other.requestId));
    if (!wasRecorded && (hasEverRun || mayLeaveUnknown)) return [];
    const what = `${requestId}: the key is blocked: ${JSON.stringify(outcome)}`;
    return [{promise: 'answered once', what}];
  });
}

/** Reports the engines that hold memory of a request after it has ended. */
export function watchRelease(
  site: RequestSite,
  requestId: string,
  onHeld: (what: string) => void,
): void {
  site.clock.setTimer(RELEASE_WITHIN_MS, () => {
    for (const engine of [...site.prefill, ...site.decode]) {
      const {sessions, engineId, isUp} = engine.stats();
      const isHeld =
        isUp && sessions.some(({owner}) => owner.requestId === requestId);
      if (isHeld) onHeld(`${engineId} holds memory of ended ${requestId}`);
    }
  });
}

export function observeSite(
  site: RequestSite,
  records: readonly SendRecord[],
  faults: ObservationContext,
): readonly Violation[] {
  const ran = findRunIds(site);
  return [
    ...checkMemory(site),
    ...records.flatMap(checkAnswer),
    ...records.flatMap(record => checkNotRun(ran, record)),
    ...checkSingleRun(site, records),
    ...records.flatMap(checkFinalAnswer),
    ...records.flatMap(checkDrain),
    ...checkLeaving(site),
    ...checkRepeats(ran, records, faults.mayLeaveUnknown),
    ...faults.unreleasedMemory.map(what => ({
      promise: 'nothing held by the gone' as const,
      what,
    })),
    ...checkRecovery(records, faults.faultsEndAtMs),
  ];
}
