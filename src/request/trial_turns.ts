/**
 * Has suspects of the same loss run one at a time, so that the next loss shows
 * which of them crashes engines.
 */

import type {Clock} from '../ports/clock.js';

export interface TrialTurnsHost {
  readonly clock: Clock;
  /** How long a suspect waits at most for the trial of another. */
  readonly waitMs: number;
  lossesOf(fingerprint: string): ReadonlyMap<string, unknown>;
}

export interface TrialTurns {
  /** Calls `onTurn` once no other suspect of the same loss is on trial. */
  enter(fingerprint: string, requestId: string, onTurn: () => void): void;
  /** Ends the trial of a request, or its wait for one. */
  leave(requestId: string): void;
}

interface Trial {
  readonly fingerprint: string;
  readonly requestId: string;
  hasTurn: boolean;
  readonly onTurn: () => void;
}

export function createTrialTurns(host: TrialTurnsHost): TrialTurns {
  let trials: readonly Trial[] = [];

  function isBlocked(trial: Trial): boolean {
    const losses = host.lossesOf(trial.fingerprint);
    return trials.some(
      other =>
        other.hasTurn &&
        other !== trial &&
        [...host.lossesOf(other.fingerprint).keys()].some(lossId =>
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
    enter(fingerprint, requestId, onTurn) {
      const existing = trials.find(trial => trial.requestId === requestId);
      if (existing) {
        onTurn();
        return;
      }
      const trial: Trial = {fingerprint, requestId, hasTurn: false, onTurn};
      trials = [...trials, trial];
      host.clock.setTimer(host.waitMs, () => giveTurn(trial));
      giveTurns();
    },
    leave(requestId) {
      const remaining = trials.filter(trial => trial.requestId !== requestId);
      if (remaining.length === trials.length) return;
      trials = remaining;
      giveTurns();
    },
  };
}
