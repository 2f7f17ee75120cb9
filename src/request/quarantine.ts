/**
 * Detects requests whose runs repeatedly crash upstreams, by fingerprint, and
 * refuses them.
 *
 * A fingerprint that ran alone in one of its losses is refused after
 * `aloneLosses` engines, any other after `sharedLosses`. Each other entry may
 * lose one more engine to a run that started before the fact arrived there. A
 * complete run clears its fingerprint, since a poisonous request never
 * completes.
 *
 * When an engine dies with several requests, all of them are suspects. This
 * entry then retries them one at a time, so the next loss identifies the cause.
 */

import type {Clock} from '../ports/clock.js';

/**
 * The losses of one fingerprint. Losses are only added and never become
 * uncleared again, so facts can be merged in any order.
 */
export interface LossFact {
  readonly fingerprint: string;
  /**
   * Each identifies one engine death, equally at every entry that saw it.
   * Cleared losses come first.
   */
  readonly lossIds: readonly string[];
  /** Number of losses that no longer count, since a run completed later. */
  readonly clearedCount: number;
  /**
   * Time since each loss. Absent where losses count from their arrival, as in
   * facts of earlier builds.
   */
  readonly lossAgesMs?: readonly number[];
}

export type QuarantineVerdict = 'clear' | 'suspect' | 'quarantined';

export interface QuarantineOptions {
  readonly aloneLosses: number;
  readonly sharedLosses: number;
  /** A loss that is older is removed. */
  readonly forgetAfterMs: number;
  /** How long a suspect waits at most for the trial of another. */
  readonly trialWaitMs: number;
  readonly maxFingerprints: number;
}

export const defaultQuarantineOptions: QuarantineOptions = {
  aloneLosses: 2,
  sharedLosses: 3,
  forgetAfterMs: 600_000,
  trialWaitMs: 5_000,
  maxFingerprints: 10_000,
};

export interface QuarantineHost {
  readonly clock: Clock;
  /** Sends a fact to the other entries. */
  broadcast(fact: LossFact): void;
  /** Called when a fact has changed, here or by a fact of another entry. */
  onChange?(fingerprint: string): void;
  /**
   * Id of the present death of an engine. Absent where engines keep their ids
   * across restarts; the time of the death then becomes part of the id.
   */
  lossIdOf?(engineId: string): string;
}

export interface Quarantine {
  verdict(fingerprint: string): QuarantineVerdict;
  /** Records that an engine died while it ran the fingerprint. */
  recordLoss(
    fingerprint: string,
    engineId: string,
    lostAtMs?: number,
  ): QuarantineVerdict;
  /** Records a complete run. */
  clear(fingerprint: string): void;
  /** The engine turned out to be alive: the loss counts for no fingerprint. */
  clearLoss(lossId: string): void;
  /**
   * Merges a fact of another entry. Returns the losses that this entry did not
   * know and that count.
   */
  mergeFact(fact: LossFact): readonly string[];
  /** When a loss that counts took place, as known to this entry. */
  lostAtMs(lossId: string): number | undefined;
  /** The losses that count for the fingerprint. */
  countedLosses(fingerprint: string): {
    readonly count: number;
    readonly latestAtMs: number;
  };
  /** Returns undefined if the fingerprint has no losses. */
  fact(fingerprint: string): LossFact | undefined;
  /** Fingerprints with losses, those that changed longest ago first. */
  fingerprints(): readonly string[];
  hasSuspects(): boolean;
  /**
   * Calls `onTurn` once no other suspect of the same loss is on trial, or after
   * `trialWaitMs`.
   */
  enterTrial(fingerprint: string, requestId: string, onTurn: () => void): void;
  /** Ends the trial of a request, or its wait for one. */
  leaveTrial(requestId: string): void;
}

/** Deaths of one engine within this time count as one loss. */
const LOSS_WINDOW_MS = 10_000;

interface Loss {
  readonly lostAtMs: number;
  readonly isCleared: boolean;
}

/** Losses by id. */
type Suspect = Map<string, Loss>;

interface Trial {
  readonly fingerprint: string;
  readonly requestId: string;
  hasTurn: boolean;
  readonly onTurn: () => void;
}

export function createQuarantine(
  host: QuarantineHost,
  options: QuarantineOptions = defaultQuarantineOptions,
): Quarantine {
  const suspects = new Map<string, Suspect>();
  const fingerprintsByLoss = new Map<string, Set<string>>();
  let trials: readonly Trial[] = [];

  function removeLoss(
    fingerprint: string,
    suspect: Suspect,
    lossId: string,
  ): void {
    suspect.delete(lossId);
    const fingerprints = fingerprintsByLoss.get(lossId);
    fingerprints?.delete(fingerprint);
    if (fingerprints?.size === 0) fingerprintsByLoss.delete(lossId);
    if (suspect.size === 0) suspects.delete(fingerprint);
  }

  function findSuspect(fingerprint: string): Suspect | undefined {
    const suspect = suspects.get(fingerprint);
    if (!suspect) return undefined;
    const oldestMs = host.clock.nowMs() - options.forgetAfterMs;
    for (const [lossId, {lostAtMs}] of suspect) {
      if (lostAtMs <= oldestMs) removeLoss(fingerprint, suspect, lossId);
    }
    return suspect.size > 0 ? suspect : undefined;
  }

  /** Moves a suspect to the end of the map, which is in order of change. */
  function noteChange(fingerprint: string, suspect: Suspect): void {
    suspects.delete(fingerprint);
    suspects.set(fingerprint, suspect);
    if (suspects.size > options.maxFingerprints) {
      const [[oldest, oldestSuspect]] = suspects;
      for (const lossId of [...oldestSuspect.keys()]) {
        removeLoss(oldest, oldestSuspect, lossId);
      }
    }
    host.onChange?.(fingerprint);
  }

  /** Returns whether this is news. */
  function setLoss(
    fingerprint: string,
    suspect: Suspect,
    lossId: string,
    loss: Loss,
  ): boolean {
    const known = suspect.get(lossId);
    if (known && (known.isCleared || !loss.isCleared)) return false;
    suspect.set(lossId, {
      lostAtMs: known?.lostAtMs ?? loss.lostAtMs,
      isCleared: loss.isCleared,
    });
    const fingerprints = fingerprintsByLoss.get(lossId) ?? new Set<string>();
    fingerprints.add(fingerprint);
    fingerprintsByLoss.set(lossId, fingerprints);
    return true;
  }

  /**
   * The id holds a time window. A death seen just after the end of a window is
   * counted in that window if it has a loss of the engine.
   */
  function lossIdOf(engineId: string): string {
    if (host.lossIdOf) return host.lossIdOf(engineId);
    const window = Math.floor(host.clock.wallMs() / LOSS_WINDOW_MS);
    const before = `${engineId}@${window - 1}`;
    const isEarly = host.clock.wallMs() % LOSS_WINDOW_MS < LOSS_WINDOW_MS / 10;
    return isEarly && fingerprintsByLoss.has(before)
      ? before
      : `${engineId}@${window}`;
  }

  /** Losses of the fingerprint that count, by id. */
  function findCounted(
    fingerprint: string,
  ): ReadonlyArray<readonly [string, Loss]> {
    const losses = [...(findSuspect(fingerprint) ?? [])];
    return losses.filter(([, {isCleared}]) => !isCleared);
  }

  function verdict(fingerprint: string): QuarantineVerdict {
    const counted = findCounted(fingerprint);
    if (counted.length === 0) return 'clear';
    const wasAlone = counted.some(
      ([lossId]) => fingerprintsByLoss.get(lossId)?.size === 1,
    );
    const bound = wasAlone ? options.aloneLosses : options.sharedLosses;
    return counted.length >= bound ? 'quarantined' : 'suspect';
  }

  function clearLosses(fingerprint: string, lossIds: readonly string[]): void {
    const suspect = findSuspect(fingerprint);
    if (!suspect || lossIds.length === 0) return;
    for (const lossId of lossIds) {
      const {lostAtMs = 0} = suspect.get(lossId) ?? {};
      suspect.set(lossId, {lostAtMs, isCleared: true});
    }
    noteChange(fingerprint, suspect);
    host.broadcast(toFact(fingerprint, suspect));
  }

  function toFact(fingerprint: string, suspect: Suspect): LossFact {
    const nowMs = host.clock.nowMs();
    const losses = [...suspect].sort(
      ([, a], [, b]) => Number(b.isCleared) - Number(a.isCleared),
    );
    return {
      fingerprint,
      lossIds: losses.map(([lossId]) => lossId),
      clearedCount: losses.filter(([, {isCleared}]) => isCleared).length,
      lossAgesMs: losses.map(([, {lostAtMs}]) => Math.round(nowMs - lostAtMs)),
    };
  }

  function isBlocked(trial: Trial): boolean {
    const losses = findSuspect(trial.fingerprint) ?? new Map<string, Loss>();
    return trials.some(
      other =>
        other.hasTurn &&
        other !== trial &&
        [...(findSuspect(other.fingerprint)?.keys() ?? [])].some(lossId =>
          losses.has(lossId),
        ),
    );
  }

  function giveTurns(): void {
    for (const trial of trials) {
      if (!trial.hasTurn && !isBlocked(trial)) giveTurn(trial);
    }
  }

  function giveTurn(trial: Trial): void {
    if (trial.hasTurn || !trials.includes(trial)) return;
    trial.hasTurn = true;
    trial.onTurn();
  }

  return {
    verdict,
    recordLoss(fingerprint, engineId, lostAtMs = host.clock.nowMs()) {
      const suspect = findSuspect(fingerprint) ?? new Map<string, Loss>();
      const loss = {lostAtMs, isCleared: false};
      const isNew = setLoss(fingerprint, suspect, lossIdOf(engineId), loss);
      if (isNew) noteChange(fingerprint, suspect);
      host.broadcast(toFact(fingerprint, suspect));
      return verdict(fingerprint);
    },
    clear(fingerprint) {
      const lossIds = findCounted(fingerprint).map(([lossId]) => lossId);
      clearLosses(fingerprint, lossIds);
    },
    clearLoss(lossId) {
      for (const fingerprint of [...(fingerprintsByLoss.get(lossId) ?? [])]) {
        const counted = findCounted(fingerprint).map(([id]) => id);
        if (counted.includes(lossId)) clearLosses(fingerprint, [lossId]);
      }
    },
    mergeFact({fingerprint, lossIds, clearedCount, lossAgesMs = []}) {
      const suspect = findSuspect(fingerprint) ?? new Map<string, Loss>();
      const nowMs = host.clock.nowMs();
      const news = lossIds.filter((lossId, i) => {
        const ageMs = lossAgesMs[i] ?? 0;
        if (ageMs >= options.forgetAfterMs) return false;
        const isCleared = i < clearedCount;
        const loss = {lostAtMs: nowMs - ageMs, isCleared};
        return setLoss(fingerprint, suspect, lossId, loss);
      });
      if (news.length > 0) noteChange(fingerprint, suspect);
      return news.filter(lossId => suspect.get(lossId)?.isCleared === false);
    },
    lostAtMs(lossId) {
      const times = [...(fingerprintsByLoss.get(lossId) ?? [])]
        .map(fingerprint => suspects.get(fingerprint)?.get(lossId))
        .filter(loss => loss?.isCleared === false)
        .map(loss => loss?.lostAtMs ?? 0);
      return times.length > 0 ? Math.max(...times) : undefined;
    },
    countedLosses(fingerprint) {
      const times = findCounted(fingerprint).map(([, loss]) => loss.lostAtMs);
      return {count: times.length, latestAtMs: Math.max(...times)};
    },
    fact(fingerprint) {
      const suspect = findSuspect(fingerprint);
      return suspect && toFact(fingerprint, suspect);
    },
    fingerprints: () =>
      [...suspects.keys()].filter(each => findSuspect(each) !== undefined),
    hasSuspects: () => suspects.size > 0,
    enterTrial(fingerprint, requestId, onTurn) {
      const existing = trials.find(trial => trial.requestId === requestId);
      if (existing) {
        onTurn();
        return;
      }
      const trial: Trial = {fingerprint, requestId, hasTurn: false, onTurn};
      trials = [...trials, trial];
      host.clock.setTimer(options.trialWaitMs, () => giveTurn(trial));
      giveTurns();
    },
    leaveTrial(requestId) {
      const remaining = trials.filter(trial => trial.requestId !== requestId);
      if (remaining.length === trials.length) return;
      trials = remaining;
      giveTurns();
    },
  };
}
