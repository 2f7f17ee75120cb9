/** What entries tell each other about the losses of a suspect. */

import type {Loss, Suspect} from './suspect_losses.js';

/**
 * The losses of one suspect. Losses are only added, and never become uncleared
 * or only suspected again, so facts can be merged in any order.
 */
export interface LossFact {
  /** The key of the suspect; a request's is its fingerprint. */
  readonly fingerprint: string;
  /**
   * Each identifies one engine death, equally at every entry that saw it.
   * Cleared losses come first, those that are only suspected last.
   */
  readonly lossIds: readonly string[];
  /** Number of losses that no longer count, since a run completed later. */
  readonly clearedCount: number;
  /** Number of losses that count and were inferred from silence; 0 if absent. */
  readonly suspectedCount?: number;
  /**
   * Time since each loss. Absent where losses count from their arrival, as in
   * facts of earlier builds.
   */
  readonly lossAgesMs?: readonly number[];
  /** Whether a run is known to have completed, before its losses or after. */
  readonly hasCompleted?: boolean;
}

const CLEARED_RANK = 0;
const CONFIRMED_RANK = 1;
const SUSPECTED_RANK = 2;

function rankOf({isCleared, isSuspected}: Loss): number {
  if (isCleared) return CLEARED_RANK;
  return isSuspected ? SUSPECTED_RANK : CONFIRMED_RANK;
}

export function toLossFact(
  fingerprint: string,
  suspect: Suspect,
  nowMs: number,
): LossFact {
  const losses = [...suspect.losses].sort(
    ([, a], [, b]) => rankOf(a) - rankOf(b),
  );
  const countOf = (rank: number) =>
    losses.filter(([, loss]) => rankOf(loss) === rank).length;
  return {
    fingerprint,
    lossIds: losses.map(([lossId]) => lossId),
    clearedCount: countOf(CLEARED_RANK),
    suspectedCount: countOf(SUSPECTED_RANK) || undefined,
    lossAgesMs: losses.map(([, {lostAtMs}]) => Math.round(nowMs - lostAtMs)),
    hasCompleted: suspect.hasCompleted || undefined,
  };
}

/** Reads the losses of a fact that are younger than `forgetAfterMs`. */
export function readLosses(
  {lossIds, clearedCount, suspectedCount = 0, lossAgesMs = []}: LossFact,
  nowMs: number,
  forgetAfterMs: number,
): ReadonlyArray<readonly [string, Loss]> {
  return lossIds
    .map((lossId, i): readonly [string, Loss] => [
      lossId,
      {
        lostAtMs: nowMs - (lossAgesMs[i] ?? 0),
        isCleared: i < clearedCount,
        isSuspected: i >= lossIds.length - suspectedCount,
      },
    ])
    .filter(([, {lostAtMs}]) => nowMs - lostAtMs < forgetAfterMs);
}
