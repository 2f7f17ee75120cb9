/**
 * Decides which waiting request of a service starts next. Does no I/O.
 *
 * More urgent requests come first. Under a lasting overload less urgent ones
 * would then never start, so a share of the starts goes to them.
 */

import {compareUrgency, compareWaiting, type Waiting} from './wait_rules.js';

export interface StartOrder {
  /** Negative if `a` comes before `b`. */
  compare(a: Waiting, b: Waiting, nowMs: number): number;
  /**
   * Of requests in the order of `compare`, returns the index of the one that
   * starts next.
   */
  findNext(inOrder: readonly Waiting[]): number;
  /**
   * Of this many starts at least one goes to a less urgent priority, if `levels`
   * of them wait.
   */
  startsPerTurn(levels: number): number;
  recordStart(started: Waiting, stillWaiting: readonly Waiting[]): void;
}

/**
 * While a less urgent request waits, one of this many starts goes to the less
 * urgent ones. Callers of the least urgent requests then still get an eighth of
 * the engines, and the urgent ones lose no more than that.
 */
export const STARTS_PER_TURN = 8;

const priorityOf = ({priority}: Waiting) => priority ?? Infinity;

export function createStartOrder(): StartOrder {
  /** Starts of the most urgent since the last one of the less urgent. */
  let startsSinceTurn = 0;
  /** How often each waiting priority was passed over by more urgent ones. */
  let passes: ReadonlyMap<number, number> = new Map();

  function passesOf(waiting: Waiting): number {
    return passes.get(priorityOf(waiting)) ?? 0;
  }

  return {
    compare: compareWaiting,
    findNext(inOrder) {
      if (startsSinceTurn < STARTS_PER_TURN - 1) return 0;
      // Of several less urgent priorities, the one that was passed over most
      // often; so each of them starts at times.
      let next = 0;
      inOrder.forEach((each, index) => {
        if (compareUrgency(inOrder[0], each) === 0) return;
        if (next === 0 || passesOf(each) > passesOf(inOrder[next])) {
          next = index;
        }
      });
      return next;
    },
    startsPerTurn: levels => STARTS_PER_TURN * Math.max(1, levels),
    recordStart(started, stillWaiting) {
      const isTurn = stillWaiting.some(
        each => compareUrgency(each, started) < 0,
      );
      const passed = new Set(
        stillWaiting
          .filter(each => compareUrgency(each, started) > 0)
          .map(priorityOf),
      );
      startsSinceTurn = isTurn || passed.size === 0 ? 0 : startsSinceTurn + 1;
      const own = priorityOf(started);
      const kept = stillWaiting
        .map(priorityOf)
        .filter(priority => priority !== own && !passed.has(priority));
      passes = new Map([
        ...kept.map(each => [each, passes.get(each) ?? 0] as const),
        ...[...passed].map(
          each => [each, (passes.get(each) ?? 0) + 1] as const,
        ),
      ]);
    },
  };
}
