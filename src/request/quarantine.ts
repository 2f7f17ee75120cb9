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
 * The losses of one fingerprint. Losses are only added and `clearedCount` only
 * rises, so facts can be merged in any order.
 */
export interface LossFact {
  readonly fingerprint: string;
  /** Each identifies one engine death, equally at every entry that saw it. */
  readonly lossIds: readonly string[];
  /** Number of losses when a run of the fingerprint last completed. */
  readonly clearedCount: number;
}

export type QuarantineVerdict = 'clear' | 'suspect' | 'quarantined';

export interface QuarantineOptions {
  readonly aloneLosses: number;
  readonly sharedLosses: number;
  /** A fingerprint without a new loss for this long is removed. */
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
  /**
   * Id of the present death of an engine. Absent where engines keep their ids
   * across restarts; the time of the death then becomes part of the id.
   */
  lossIdOf?(engineId: string): string;
}

export interface Quarantine {
  verdict(fingerprint: string): QuarantineVerdict;
  /** Records that an engine died while it ran the fingerprint. */
  recordLoss(fingerprint: string, engineId: string): QuarantineVerdict;
  /** Records a complete run. */
  clear(fingerprint: string): void;
  /** Merges a fact of another entry. */
  mergeFact(fact: LossFact): void;
  facts(): readonly LossFact[];
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

interface Suspect {
  readonly lossIds: Set<string>;
  clearedCount: number;
  touchedAtMs: number;
}

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

  function removeSuspect(fingerprint: string, suspect: Suspect): void {
    suspects.delete(fingerprint);
    for (const lossId of suspect.lossIds) {
      const fingerprints = fingerprintsByLoss.get(lossId);
      fingerprints?.delete(fingerprint);
      if (fingerprints?.size === 0) fingerprintsByLoss.delete(lossId);
    }
  }

  function findSuspect(fingerprint: string): Suspect | undefined {
    const suspect = suspects.get(fingerprint);
    if (!suspect) return undefined;
    const ageMs = host.clock.nowMs() - suspect.touchedAtMs;
    if (ageMs < options.forgetAfterMs) return suspect;
    removeSuspect(fingerprint, suspect);
    return undefined;
  }

  /** Moves a suspect to the end of the map, which is in order of use. */
  function touchSuspect(fingerprint: string): Suspect {
    const suspect = findSuspect(fingerprint) ?? {
      lossIds: new Set<string>(),
      clearedCount: 0,
      touchedAtMs: 0,
    };
    suspect.touchedAtMs = host.clock.nowMs();
    suspects.delete(fingerprint);
    suspects.set(fingerprint, suspect);
    if (suspects.size > options.maxFingerprints) {
      const [oldest, oldestSuspect] = suspects.entries().next().value!;
      removeSuspect(oldest, oldestSuspect);
    }
    return suspect;
  }

  function addLoss(fingerprint: string, suspect: Suspect, lossId: string) {
    suspect.lossIds.add(lossId);
    const fingerprints = fingerprintsByLoss.get(lossId) ?? new Set<string>();
    fingerprints.add(fingerprint);
    fingerprintsByLoss.set(lossId, fingerprints);
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

  function verdict(fingerprint: string): QuarantineVerdict {
    const suspect = findSuspect(fingerprint);
    const losses = suspect ? suspect.lossIds.size - suspect.clearedCount : 0;
    if (!suspect || losses <= 0) return 'clear';
    const wasAlone = [...suspect.lossIds].some(
      lossId => fingerprintsByLoss.get(lossId)?.size === 1,
    );
    const bound = wasAlone ? options.aloneLosses : options.sharedLosses;
    return losses >= bound ? 'quarantined' : 'suspect';
  }

  function factOf(fingerprint: string, suspect: Suspect): LossFact {
    return {
      fingerprint,
      lossIds: [...suspect.lossIds],
      clearedCount: suspect.clearedCount,
    };
  }

  function isBlocked(trial: Trial): boolean {
    const losses = findSuspect(trial.fingerprint)?.lossIds ?? new Set<string>();
    return trials.some(
      other =>
        other.hasTurn &&
        other !== trial &&
        [...(findSuspect(other.fingerprint)?.lossIds ?? [])].some(lossId =>
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
    recordLoss(fingerprint, engineId) {
      const suspect = touchSuspect(fingerprint);
      addLoss(fingerprint, suspect, lossIdOf(engineId));
      host.broadcast(factOf(fingerprint, suspect));
      return verdict(fingerprint);
    },
    clear(fingerprint) {
      const suspect = findSuspect(fingerprint);
      if (!suspect || suspect.clearedCount === suspect.lossIds.size) return;
      suspect.clearedCount = suspect.lossIds.size;
      host.broadcast(factOf(fingerprint, suspect));
    },
    mergeFact(fact) {
      const suspect = touchSuspect(fact.fingerprint);
      for (const lossId of fact.lossIds) {
        addLoss(fact.fingerprint, suspect, lossId);
      }
      suspect.clearedCount = Math.max(suspect.clearedCount, fact.clearedCount);
    },
    facts: () =>
      [...suspects].map(([fingerprint, suspect]) =>
        factOf(fingerprint, suspect),
      ),
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
