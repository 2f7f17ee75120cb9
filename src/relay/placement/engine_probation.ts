/**
 * Which engines that failed or refused requests may be tried again, and by how
 * many requests.
 *
 * Answers the load in which one engine resets or refuses everything for
 * seconds: it is the emptiest of all, so each time that it is let in again it
 * would get all streams that arrive until the next failure is known. An engine
 * that fails again is left out for longer each time, and one request at a time
 * tries it.
 */

import type {Clock} from '../../ports/clock.js';

/** What hosts report of an engine now. */
export type EngineTrouble = 'none' | 'full' | 'failing';

export interface EngineProbation {
  /** Whether the engine may get a request, as far as its past tells. */
  mayUse(engineId: string, trouble: EngineTrouble): boolean;
  /** Whether it failed again when it was tried. */
  isRepeating(engineId: string): boolean;
  /** A request was placed there. */
  notePlaced(engineId: string): void;
  forget(engineId: string): void;
}

/** An engine is full now and then; that it fails weighs more. */
const WEIGHTS: Readonly<Record<EngineTrouble, number>> = {
  none: 0,
  full: 1,
  failing: 2,
};
/** From this weight on one request at a time tries the engine. */
const TRIAL_WEIGHT = 2;
/** From this weight on it is left out beyond the reports, too. */
const REPEAT_WEIGHT = 4;
const FIRST_OUT_MS = 1_000;
const MOST_OUT_MS = 6_000;
/** A request that an engine fails shows it within this time. */
const TRIAL_MS = 1_000;
/** Without a report for this long, the past counts no more. */
const FORGET_MS = 10_000;

interface ProbationRecord {
  weight: number;
  trouble: EngineTrouble;
  reportedAtMs: number;
  outUntilMs: number;
  /** When the request was placed that tries the engine. */
  triedAtMs?: number;
}

export function createEngineProbation(host: {
  readonly clock: Clock;
}): EngineProbation {
  const {clock} = host;
  const records = new Map<string, ProbationRecord>();

  function noteTrouble(engineId: string, trouble: EngineTrouble): void {
    const nowMs = clock.nowMs();
    const record = records.get(engineId) ?? {
      weight: 0,
      trouble: 'none',
      reportedAtMs: nowMs,
      outUntilMs: nowMs,
    };
    records.set(engineId, record);
    // A report stands for a while; only a new one adds to the weight.
    if (WEIGHTS[trouble] > WEIGHTS[record.trouble]) {
      record.weight += WEIGHTS[trouble] - WEIGHTS[record.trouble];
    }
    record.trouble = trouble;
    record.triedAtMs = undefined;
    record.reportedAtMs = nowMs;
    const repeats = record.weight - REPEAT_WEIGHT;
    const outMs = repeats < 0 ? 0 : FIRST_OUT_MS * 2 ** repeats;
    record.outUntilMs = nowMs + Math.min(outMs, MOST_OUT_MS);
  }

  return {
    mayUse(engineId, trouble) {
      if (trouble !== 'none') {
        noteTrouble(engineId, trouble);
        return false;
      }
      const record = records.get(engineId);
      if (!record) return true;
      const nowMs = clock.nowMs();
      record.trouble = 'none';
      const {triedAtMs} = record;
      const isProven = triedAtMs !== undefined && nowMs - triedAtMs > TRIAL_MS;
      if (isProven || nowMs - record.reportedAtMs >= FORGET_MS) {
        records.delete(engineId);
        return true;
      }
      if (record.weight < TRIAL_WEIGHT) return true;
      return nowMs >= record.outUntilMs && triedAtMs === undefined;
    },
    isRepeating: engineId =>
      (records.get(engineId)?.weight ?? 0) >= REPEAT_WEIGHT,
    notePlaced(engineId) {
      const record = records.get(engineId);
      if (record) record.triedAtMs ??= clock.nowMs();
    },
    forget: engineId => void records.delete(engineId),
  };
}
