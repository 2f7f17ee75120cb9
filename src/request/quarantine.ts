/**
 * Recognises requests whose runs keep crashing upstreams, by fingerprint.
 *
 * Bound: a fingerprint that was alone in one of its losses is refused after
 * `aloneLosses` engines, any other after `sharedLosses`. Runs that had begun
 * elsewhere before the facts arrived there come on top: one for each entry.
 * A run that ends whole clears its fingerprint, for a poisonous one never does.
 *
 * When several requests die in one engine, all of them are suspects, and this
 * entry tries them again one at a time, so that the next loss names the cause.
 */

import type {Clock} from '../ports/clock.js';

/** Grows only: losses are added, `clearedCount` rises. Order is no matter. */
export interface LossFact {
  readonly fingerprint: string;
  /** Names one death of one engine, the same at each entry that saw it. */
  readonly lossIds: readonly string[];
  /** Losses known when a run of the fingerprint last ended whole. */
  readonly clearedCount: number;
}

export type QuarantineVerdict = 'clear' | 'suspect' | 'quarantined';

export interface QuarantineOptions {
  readonly aloneLosses: number;
  readonly sharedLosses: number;
  /** A fingerprint without a new loss for this long is forgotten. */
  readonly forgetAfterMs: number;
  /** Longest wait for the trial of another suspect. */
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
  /** Hands a fact to whatever spreads it to the other entries. */
  spread(fact: LossFact): void;
  /**
   * Names one death of an engine. Not needed where engines keep their ids
   * over a restart; there the time of the death is part of its name.
   */
  lossIdOf?(engineId: string): string;
}

export interface Quarantine {
  verdict(fingerprint: string): QuarantineVerdict;
  /** An engine was lost while it ran the fingerprint. */
  blame(fingerprint: string, engineId: string): QuarantineVerdict;
  /** A run ended whole. */
  clear(fingerprint: string): void;
  /** A fact from another entry. */
  learn(fact: LossFact): void;
  facts(): readonly LossFact[];
  /** Calls `onTurn` when no other suspect of the same loss is on trial. */
  enterTrial(fingerprint: string, requestId: string, onTurn: () => void): void;
  /** The request ended, or no longer waits for its turn. */
  leaveTrial(requestId: string): void;
}

/** Deaths of one engine within this time are one loss. */
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

  function forget(fingerprint: string, suspect: Suspect): void {
    suspects.delete(fingerprint);
    for (const lossId of suspect.lossIds) {
      const sharers = fingerprintsByLoss.get(lossId);
      sharers?.delete(fingerprint);
      if (sharers?.size === 0) fingerprintsByLoss.delete(lossId);
    }
  }

  function find(fingerprint: string): Suspect | undefined {
    const suspect = suspects.get(fingerprint);
    if (!suspect) return undefined;
    const ageMs = host.clock.nowMs() - suspect.touchedAtMs;
    if (ageMs < options.forgetAfterMs) return suspect;
    forget(fingerprint, suspect);
    return undefined;
  }

  /** Map order is order of use, so the first is the one longest untouched. */
  function touch(fingerprint: string): Suspect {
    const suspect = find(fingerprint) ?? {
      lossIds: new Set<string>(),
      clearedCount: 0,
      touchedAtMs: 0,
    };
    suspect.touchedAtMs = host.clock.nowMs();
    suspects.delete(fingerprint);
    suspects.set(fingerprint, suspect);
    if (suspects.size > options.maxFingerprints) {
      const [oldest, value] = suspects.entries().next().value!;
      forget(oldest, value);
    }
    return suspect;
  }

  function addLoss(fingerprint: string, suspect: Suspect, lossId: string) {
    suspect.lossIds.add(lossId);
    const sharers = fingerprintsByLoss.get(lossId) ?? new Set<string>();
    sharers.add(fingerprint);
    fingerprintsByLoss.set(lossId, sharers);
  }

  /** A death seen just after a window's end belongs to the one before. */
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
    const suspect = find(fingerprint);
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
    const losses = find(trial.fingerprint)?.lossIds ?? new Set<string>();
    return trials.some(
      other =>
        other.hasTurn &&
        other !== trial &&
        [...(find(other.fingerprint)?.lossIds ?? [])].some(lossId =>
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
    blame(fingerprint, engineId) {
      const suspect = touch(fingerprint);
      addLoss(fingerprint, suspect, lossIdOf(engineId));
      host.spread(factOf(fingerprint, suspect));
      return verdict(fingerprint);
    },
    clear(fingerprint) {
      const suspect = find(fingerprint);
      if (!suspect || suspect.clearedCount === suspect.lossIds.size) return;
      suspect.clearedCount = suspect.lossIds.size;
      host.spread(factOf(fingerprint, suspect));
    },
    learn(fact) {
      const suspect = touch(fact.fingerprint);
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
      const known = trials.find(trial => trial.requestId === requestId);
      if (known) {
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
