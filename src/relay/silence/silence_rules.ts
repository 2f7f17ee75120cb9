/**
 * Decides when a run whose engine sends nothing is left for another engine.
 * Does no I/O.
 *
 * Silence alone doesn't show whether the engine has paused or is gone. An
 * engine that answers new calls is alive, so the connection of the run is dead.
 * Engines of one service that fall silent together have usually paused together
 * and go on together.
 */

export interface SilenceEvidence {
  /** Time without a byte from the run. */
  readonly silentMs: number;
  /** Since when the engine has shown that it is alive; undefined if not. */
  readonly aliveForMs?: number;
  /** Most engines of the service are silent. */
  readonly isCommon: boolean;
  /** Until another run would start too late for the caller. */
  readonly untilLastStartMs: number;
}

/** Why a run is left. */
export type LeaveReason =
  /** The engine is alive, but the run sends nothing. */
  | 'dead-connection'
  /** The engine gives no sign of life, while most others do. */
  | 'silent-engine'
  /** Most engines are silent, and the caller won't wait much longer. */
  | 'last-start';

/** An engine under preemption may pause a run for most of a second. */
export const LEAVE_AFTER_MS = 1_300;
/** After a pause, an engine may answer a new call before its runs go on. */
const ALIVE_CONFIRM_MS = 250;

/** Undefined while the run is not to be left. */
export function findLeaveReason(
  evidence: SilenceEvidence,
): LeaveReason | undefined {
  const {silentMs, aliveForMs, isCommon, untilLastStartMs} = evidence;
  if (silentMs < LEAVE_AFTER_MS) return undefined;
  if (aliveForMs !== undefined) {
    return aliveForMs >= ALIVE_CONFIRM_MS ? 'dead-connection' : undefined;
  }
  if (!isCommon) return 'silent-engine';
  return untilLastStartMs <= 0 ? 'last-start' : undefined;
}
