/**
 * Checks the promises of the product after a run of the fault harness. What
 * ran is taken from the stand-ins' own books, what was said from what the
 * callers got; nothing is asked of the router.
 */

import {errorAnswers} from '../../src/core/error_kinds.js';
import {expectAnswer} from '../../stand_ins/answer_text.js';
import {ANSWER_TOKENS, type RequestSite} from './request_site.js';
import {bodyOf, promptOf, type SendRecord} from './site_callers.js';

/** The promises, in the order of the brief. */
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

export type Promised = (typeof promises)[number] | 'site recovers';

export interface Violation {
  readonly promise: Promised;
  readonly what: string;
}

/** Memory of a request that has ended is free after this long. */
const RELEASE_WITHIN_MS = 50;
/** After this long, an upstream that is leaving may get no new work. */
const LEAVING_GRACE_MS = 2_000;
/** Slack on the final answer of a request. */
const ANSWER_SLACK_MS = 2_600;

export interface ObservedFaults {
  /** Ends may have gone unrecorded, or calls may have been sent in vain. */
  readonly mayLeaveUnknown: boolean;
  /** Held by requests that had ended, while no link was at fault. */
  readonly heldAfterEnd: readonly string[];
  /** No fault outlives this. */
  readonly healedAtMs: number;
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
  if (site.home.openGrants() > 0) held.push('grants stay open');
  if (site.home.lapsedGrants() > 0) held.push('grants lapsed unreported');
  return held.map(what => ({promise: 'nothing held by the gone', what}));
}

function checkAnswer(record: SendRecord): readonly Violation[] {
  const {spec, requestId} = record;
  const outcome = record.outcomes[0];
  const wrong = (what: string): readonly Violation[] => [
    {promise: 'whole and own answer', what: `${requestId}: ${what}`},
  ];
  const expectedTexts = expectAnswer(promptOf(spec), ANSWER_TOKENS);
  const isCrossed = record.texts.some(
    (text, offset) => text !== expectedTexts.textAt(offset),
  );
  if (isCrossed) return wrong('a token is not of its own answer');
  if (!outcome || outcome.kind === 'failed') return [];
  if (outcome.kind === 'whole') {
    const count = expectedTexts.naturalTokenCount;
    const isOwn =
      outcome.tokenCount === count && outcome.texts.length === count;
    return isOwn ? [] : wrong(`got ${outcome.texts.length} of ${count} tokens`);
  }
  const body = Buffer.from(outcome.answer.body).toString('utf8');
  const isOwn =
    body.includes(`"echo":"${bodyOf(spec)}"`) &&
    body.includes(`"key":${spec.key ? `"${spec.key}"` : 'null'}`);
  return isOwn ? [] : wrong(`got ${body}`);
}

/** Ids of the requests that any upstream's books show as run. */
function runIds(site: RequestSite): ReadonlySet<string> {
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
  const isClaimed = errorAnswers[outcome.error.kind].runState === 'not-run';
  if (!isClaimed || !ran.has(record.requestId)) return [];
  return [
    {
      promise: 'not run is true',
      what: `${record.requestId}: ${outcome.error.kind}, and it ran`,
    },
  ];
}

function checkOnce(
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
  const doubled = [...runs].filter(([, count]) => count > 1);
  const bodies = new Map<string, string>();
  const differing = records.filter(({spec, outcomes}) => {
    const outcome = outcomes[0];
    if (spec.kind !== 'single' || !spec.key) return false;
    if (outcome?.kind !== 'answered') return false;
    const body = Buffer.from(outcome.answer.body).toString('utf8');
    const first = bodies.get(spec.key) ?? body;
    bodies.set(spec.key, first);
    return first !== body;
  });
  return [
    ...doubled.map(([name, count]) => ({
      promise: 'at most once' as const,
      what: `${name} ran ${count} times`,
    })),
    ...differing.map(({requestId}) => ({
      promise: 'answered once' as const,
      what: `${requestId}: a repeat got another answer`,
    })),
  ];
}

/** Each caller that stays on a living entry gets a final answer in time. */
function checkFinal(record: SendRecord): readonly Violation[] {
  const found: Violation[] = record.violations.map(what => ({
    promise: 'answered once',
    what: `${record.requestId}: ${what}`,
  }));
  const {entry, arrivedAtMs, endedAtMs, spec} = record;
  if (record.hasHungUp || !entry.shell.isAlive()) return found;
  if (arrivedAtMs === undefined) return found;
  const tookMs = (endedAtMs ?? Infinity) - arrivedAtMs;
  if (tookMs > spec.waitMs + ANSWER_SLACK_MS) {
    found.push({
      promise: 'answered once',
      what: `${record.requestId}: no final answer within its wait`,
    });
  }
  return found;
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

/** A process that ended by its drain has left nobody without an answer. */
function checkDrain(record: SendRecord): readonly Violation[] {
  const isCut = record.entry.hasDrained && record.wasLost;
  if (!isCut || record.arrivedAtMs === undefined) return [];
  return [
    {promise: 'shutdown cuts nothing', what: `${record.requestId} was cut`},
  ];
}

/** Calls sent after all faults have healed must succeed. */
function checkRecovery(
  records: readonly SendRecord[],
  healedAtMs: number,
): readonly Violation[] {
  return records
    .filter(({spec}) => spec.atMs >= healedAtMs && !spec.isPoison)
    .filter(({outcomes}) => outcomes[0]?.kind === 'failed')
    .map(({requestId, outcomes}) => ({
      promise: 'site recovers',
      what: `${requestId}: ${JSON.stringify(outcomes[0])}`,
    }));
}

/**
 * A repeat after all is healed gets the stored answer, or runs if nothing ever
 * ran: its key is not blocked.
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
    // The entry that has answered and lives on has also recorded the answer.
    const wasRecorded = others.some(
      other =>
        other.outcomes[0]?.kind === 'answered' && other.entry.shell.isAlive(),
    );
    const hasEverRun = others.some(other => ran.has(other.requestId));
    if (!wasRecorded && (hasEverRun || mayLeaveUnknown)) return [];
    const what = `${requestId}: the key is blocked: ${JSON.stringify(outcome)}`;
    return [{promise: 'answered once', what}];
  });
}

/** Calls back with what engines hold for a request just after its end. */
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
  faults: ObservedFaults,
): readonly Violation[] {
  const ran = runIds(site);
  return [
    ...checkMemory(site),
    ...records.flatMap(checkAnswer),
    ...records.flatMap(record => checkNotRun(ran, record)),
    ...checkOnce(site, records),
    ...records.flatMap(checkFinal),
    ...records.flatMap(checkDrain),
    ...checkLeaving(site),
    ...checkRepeats(ran, records, faults.mayLeaveUnknown),
    ...faults.heldAfterEnd.map(what => ({
      promise: 'nothing held by the gone' as const,
      what,
    })),
    ...checkRecovery(records, faults.healedAtMs),
  ];
}
