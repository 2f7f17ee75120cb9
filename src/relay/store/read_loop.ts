/**
 * Reads one kind of data from the store, again and again: when it is due, when
 * there is news of a change, and after a failure.
 */

import type {Clock, TimerHandle} from '../../ports/clock.js';
import type {Random} from '../../ports/random.js';
import type {HedgedCall} from './hedged_call.js';

export interface ReadLoopHost<T> {
  readonly clock: Clock;
  readonly random: Random;
  /** Whether this host may become a reader if others cannot read. */
  isCandidate(): boolean;
  /** Time until a read is due; 0 or less means now. */
  delayMs(): number;
  /** Called when no read is due. */
  onRest?(): void;
  /** Starts a read, after so many consecutive ones that failed. */
  startRead(failures: number): HedgedCall<T>;
  /** Returns the time until the next check. */
  onRead(read: T): number;
  onFailed(): void;
}

export interface ReadLoop {
  start(): void;
  stop(): void;
  /** Checks again now, unless a read or its retry is in progress. */
  check(): void;
  /**
   * Reads now if a read is due, also before a retry is. An open read may have
   * been answered before the news, so another one is started beside it soon.
   */
  readForNews(): void;
}

/**
 * A reader candidate whose last call failed checks the store this often, even
 * if its peers confirm all its data: it may read for others again only once it
 * knows that the store answers.
 */
export const LOST_STORE_CHECK_MS = 2_000;
/**
 * Ages in announcements are rounded, and datagrams are in transit for some ms.
 */
const MIN_CHECK_DELAY_MS = 20;
const RETRY_MS = 200;
const RETRY_SPREAD_MS = 100;
/** By then, an open call has delivered the change that the news was of. */
const NEWS_READ_DELAY_MS = 100;

export function createReadLoop<T>(host: ReadLoopHost<T>): ReadLoop {
  const {clock, random} = host;
  let isStopped = false;
  /** The next check or retry; undefined during a read. */
  let timer: TimerHandle | undefined;
  let openCall: HedgedCall<T> | undefined;
  /** Consecutive failed reads, while a read is due. */
  let failures = 0;

  function schedule(delayMs: number): void {
    timer = clock.setTimer(Math.max(0, delayMs), follow);
  }

  /**
   * Limits the load on the store, and its cost, during an outage in which
   * hundreds of hosts would each call four times a second. Hosts that are not
   * reader candidates learn from peers that it has ended. The first retry still
   * comes soon, in case only a connection went silent.
   */
  function retryMs(): number {
    const firstMs = RETRY_MS + RETRY_SPREAD_MS * random.nextFloat();
    if (host.isCandidate()) return firstMs;
    return Math.min(firstMs * 2 ** (failures - 1), LOST_STORE_CHECK_MS);
  }

  function follow(): void {
    timer = undefined;
    if (isStopped) return;
    const restMs = host.delayMs();
    if (restMs <= 0) {
      void read();
      return;
    }
    failures = 0;
    host.onRest?.();
    schedule(Math.max(restMs, MIN_CHECK_DELAY_MS));
  }

  async function read(): Promise<void> {
    openCall = host.startRead(failures);
    const answer = await openCall.answer;
    openCall = undefined;
    if (isStopped) return;
    if (answer !== undefined) {
      failures = 0;
      schedule(host.onRead(answer));
      return;
    }
    failures++;
    host.onFailed();
    schedule(retryMs());
  }

  function followNow(): void {
    if (!timer || isStopped) return;
    clock.clearTimer(timer);
    follow();
  }

  return {
    start: follow,
    stop() {
      isStopped = true;
      if (timer) clock.clearTimer(timer);
    },
    check() {
      if (failures === 0) followNow();
    },
    readForNews() {
      openCall?.startNextWithin(NEWS_READ_DELAY_MS);
      followNow();
    },
  };
}
