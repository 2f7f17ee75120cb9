/**
 * The attempts of one read from the store: over a pooled connection first, then
 * over new ones, since a link that went silent takes all pooled ones with it.
 */

import type {Clock} from '../../ports/clock.js';
import type {StoreConnection} from '../../ports/relay.js';
import {createHedgeDelay, type HedgeAttempt} from './hedged_call.js';

export interface ReadAttemptsHost<T> {
  readonly clock: Clock;
  /** Resolves to undefined if the read failed. */
  read(connection: StoreConnection, timeoutMs: number): Promise<T | undefined>;
}

/** A call that the store answers at a change, or after the wait. */
export interface FeedCall<T> {
  readonly waitMs: number;
  run(): Promise<T | undefined>;
}

export interface ReadAttempts<T> {
  /**
   * The attempts after so many consecutive reads that failed. The feed replaces
   * the first of them. The last one is started by news only.
   */
  choose(failures: number, feed?: FeedCall<T>): ReadonlyArray<HedgeAttempt<T>>;
}

const READ_TIMEOUT_MS = 600;
/** Allows for a slow store once reads have failed. */
const RETRY_READ_TIMEOUT_MS = 1_000;
/**
 * A new connection may be lost, too. A retry that waits for the timeouts of both
 * reads would exceed the time limit for a configuration.
 */
const SECOND_HEDGE_MS = READ_TIMEOUT_MS;

export function createReadAttempts<T>(
  host: ReadAttemptsHost<T>,
): ReadAttempts<T> {
  const {clock} = host;
  const hedgeDelay = createHedgeDelay(clock);

  function attemptRead(
    startAfterMs: number | undefined,
    connection: StoreConnection,
    timeoutMs = READ_TIMEOUT_MS,
  ): HedgeAttempt<T> {
    return {
      startAfterMs,
      async run() {
        const sentAtMs = clock.nowMs();
        const answer = await host.read(connection, timeoutMs);
        if (answer !== undefined) {
          hedgeDelay.noteAnswer(clock.nowMs() - sentAtMs);
        }
        return answer;
      },
    };
  }

  return {
    choose(failures, feed) {
      if (failures > 0) {
        return [
          attemptRead(0, 'new', RETRY_READ_TIMEOUT_MS),
          attemptRead(undefined, 'new'),
        ];
      }
      const firstDueMs = feed?.waitMs ?? 0;
      const hedgeMs = hedgeDelay.currentMs();
      return [
        feed ? {startAfterMs: 0, run: feed.run} : attemptRead(0, 'pooled'),
        attemptRead(firstDueMs + hedgeMs, 'new'),
        // Ends with the second attempt, so that it doesn't delay the retry.
        attemptRead(firstDueMs + SECOND_HEDGE_MS, 'new', hedgeMs),
        attemptRead(undefined, 'new'),
      ];
    },
  };
}
