/**
 * Decides when a run whose engine sends nothing is left for another engine.
 * Does no I/O.
 *
 * Silence alone doesn't show whether the engine has paused or is gone. If an
 * engine answers new calls, either it has set the run aside, which its reports
 * show, or the connection of the run is dead. Engines of one service that fall
 * silent together have usually paused together and go on together.
 */

import type {RunAtEngine} from './run_reports.js';

export interface SilenceEvidence {
  /** Time without a byte from the run. */
  readonly silentMs: number;
  /** Since when the engine has shown that it is alive; undefined if not. */
  readonly aliveForMs?: number;
  /** What the engine does with the run. */
  readonly atEngine: RunAtEngine;
  /** Most engines of the service are silent. */
  readonly isCommon: boolean;
  /** Until another run would start too late for the caller. */
  readonly untilLastStartMs: number;
}

/** Why a run is left. */
export type LeaveReason =
  /** The engine is alive and hasn't set the run aside, but nothing arrives. */
  | 'dead-connection'
  /** The engine gives no sign of life, while most others do. */
  | 'silent-engine'
  /**
   * Most engines are silent, or the run may wait at its engine, and the caller
   * won't wait much longer.
   */
  | 'last-start';

/** An engine under preemption may pause a run for most of a second. */
export const LEAVE_AFTER_MS = 1_300;
/** After a pause, an engine may answer a new call before its runs go on. */
const ALIVE_CONFIRM_MS = 250;

type LiveRule = (evidence: SilenceEvidence) => LeaveReason | undefined;

const isLost: LiveRule = () => 'dead-connection';
const isKept: LiveRule = () => undefined;
const untilLastStart: LiveRule = ({untilLastStartMs}) =>
  untilLastStartMs <= 0 ? 'last-start' : undefined;

/**
 * What follows if the engine is alive. One that holds the run may go on with it
 * although its connection is closed, so that two engines would work on it.
 */
const LIVE_RULES: Readonly<Record<RunAtEngine, LiveRule>> = {
  unreported: isLost,
  undecided: isKept,
  advancing: isLost,
  held: isKept,
  waiting: untilLastStart,
  absent: isLost,
};

/** Undefined while the run is not to be left. */
export function findLeaveReason(
  evidence: SilenceEvidence,
): LeaveReason | undefined {
  const {silentMs, aliveForMs, atEngine, isCommon} = evidence;
  if (silentMs < LEAVE_AFTER_MS) return undefined;
  if (aliveForMs !== undefined) {
    if (aliveForMs < ALIVE_CONFIRM_MS) return undefined;
    return LIVE_RULES[atEngine](evidence);
  }
  return isCommon ? untilLastStart(evidence) : 'silent-engine';
}
