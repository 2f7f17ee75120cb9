/**
 * Circuit breakers for engines that fail or refuse requests.
 *
 * An engine that resets or refuses everything for seconds is also the least
 * loaded one, so each time it was readmitted it would get every new stream
 * until its next failure became known. An engine that fails repeatedly is
 * therefore excluded for longer each time, and then gets one trial request at a
 * time.
 */

import type {Clock} from '../../ports/clock.js';

/** The problem that hosts currently report for an engine. */
export type EngineProblem = 'none' | 'full' | 'failing';

export interface EngineBreaker {
  /**
   * Whether the engine may get a request, given its current problem and its
   * past ones. Records the problem.
   */
  mayUse(engineId: string, problem: EngineProblem): boolean;
  /** Whether the engine has failed again after being readmitted. */
  isRepeating(engineId: string): boolean;
  /** A request was placed on the engine. */
  recordPlacement(engineId: string): void;
  forget(engineId: string): void;
}

/**
 * A failing engine gets more weight than a full one, because healthy engines
 * are also full now and then.
 */
const WEIGHTS: Readonly<Record<EngineProblem, number>> = {
  none: 0,
  full: 1,
  failing: 2,
};
/** From this weight on the engine gets one trial request at a time. */
const TRIAL_WEIGHT = 2;
/**
 * From this weight on the engine stays excluded for a time after the hosts have
 * stopped reporting a problem.
 */
const REPEAT_WEIGHT = 4;
const FIRST_EXCLUSION_MS = 1_000;
const MAX_EXCLUSION_MS = 6_000;
/** A trial request that the engine fails does so within this time. */
const TRIAL_MS = 1_000;
/** The record is dropped after this long without a report. */
const FORGET_MS = 10_000;

interface BreakerRecord {
  weight: number;
  problem: EngineProblem;
  reportedAtMs: number;
  excludedUntilMs: number;
  /** When the trial request was placed. */
  triedAtMs?: number;
}

export function createEngineBreaker(host: {
  readonly clock: Clock;
}): EngineBreaker {
  const {clock} = host;
  const records = new Map<string, BreakerRecord>();

  function recordProblem(engineId: string, problem: EngineProblem): void {
    const nowMs = clock.nowMs();
    const record = records.get(engineId) ?? {
      weight: 0,
      problem: 'none',
      reportedAtMs: nowMs,
      excludedUntilMs: nowMs,
    };
    records.set(engineId, record);
    // The same problem is reported repeatedly for a while, so only a new or
    // worse one adds to the weight.
    if (WEIGHTS[problem] > WEIGHTS[record.problem]) {
      record.weight += WEIGHTS[problem] - WEIGHTS[record.problem];
    }
    record.problem = problem;
    record.triedAtMs = undefined;
    record.reportedAtMs = nowMs;
    const repeats = record.weight - REPEAT_WEIGHT;
    const exclusionMs = repeats < 0 ? 0 : FIRST_EXCLUSION_MS * 2 ** repeats;
    record.excludedUntilMs = nowMs + Math.min(exclusionMs, MAX_EXCLUSION_MS);
  }

  return {
    mayUse(engineId, problem) {
      if (problem !== 'none') {
        recordProblem(engineId, problem);
        return false;
      }
      const record = records.get(engineId);
      if (!record) return true;
      const nowMs = clock.nowMs();
      record.problem = 'none';
      const {triedAtMs} = record;
      const hasPassedTrial =
        triedAtMs !== undefined && nowMs - triedAtMs > TRIAL_MS;
      if (hasPassedTrial || nowMs - record.reportedAtMs >= FORGET_MS) {
        records.delete(engineId);
        return true;
      }
      if (record.weight < TRIAL_WEIGHT) return true;
      return nowMs >= record.excludedUntilMs && triedAtMs === undefined;
    },
    isRepeating: engineId =>
      (records.get(engineId)?.weight ?? 0) >= REPEAT_WEIGHT,
    recordPlacement(engineId) {
      const record = records.get(engineId);
      if (record) record.triedAtMs ??= clock.nowMs();
    },
    forget: engineId => void records.delete(engineId),
  };
}
