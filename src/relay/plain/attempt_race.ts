/**
 * Runs attempts of one call side by side. The first that has the answer cancels
 * the others.
 */

import type {Cancellation} from '../../ports/relay.js';
import {
  createCancellation,
  type CancellationSource,
} from '../front/cancellation.js';

/** An attempt, with those that follow it one after another. */
export interface RaceEntry {
  /** Triggered when the caller leaves or another entry has the answer. */
  readonly cancellation: Cancellation;
  /** Whether no entry that still runs was started later. */
  isLatest(): boolean;
  /** Claims the caller and cancels the other entries; false if cancelled. */
  tryWin(): boolean;
}

export interface AttemptRace {
  /** Runs an entry, which resolves to whether it answered the caller. */
  enter(run: (entry: RaceEntry) => Promise<boolean>): void;
  /** Whether an entry answered the caller; resolves when none runs any more. */
  readonly result: Promise<boolean>;
}

export function createAttemptRace(caller: Cancellation): AttemptRace {
  /** In order of their starts. */
  const running: CancellationSource[] = [];
  let settle: (isAnswered: boolean) => void = () => undefined;
  let fail: (error: unknown) => void = () => undefined;
  const result = new Promise<boolean>((resolve, reject) => {
    settle = resolve;
    fail = reject;
  });

  function cancelOthers(winner?: CancellationSource): void {
    for (const each of [...running]) {
      if (each !== winner) each.cancel();
    }
  }

  function end(own: CancellationSource, isAnswered: boolean): void {
    running.splice(running.indexOf(own), 1);
    if (isAnswered || running.length === 0) settle(isAnswered);
  }

  caller.onCancel(() => cancelOthers());
  return {
    result,
    enter(run) {
      const own = createCancellation();
      running.push(own);
      if (caller.isCancelled) own.cancel();
      const entry: RaceEntry = {
        cancellation: own,
        isLatest: () => running.at(-1) === own,
        tryWin() {
          if (own.isCancelled) return false;
          cancelOthers(own);
          return true;
        },
      };
      run(entry).then(isAnswered => end(own, isAnswered), fail);
    },
  };
}
