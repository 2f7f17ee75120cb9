/**
 * Watches an attempt that has no answer. While it stays open, another one is
 * prepared and started; it is left only when an upstream has accepted the other,
 * and kept if it is answered before that.
 */

import type {Upstream} from '../../core/upstream.js';
import type {Clock, TimerHandle} from '../../ports/clock.js';
import type {Cancellation} from '../../ports/relay.js';
import {
  createCancellation,
  type CancellationSource,
} from '../front/cancellation.js';
import type {EngineSilence} from '../silence/engine_silence.js';
import type {SendOutcome} from './plain_send.js';
import type {Slot} from './slot_client.js';

/** A call that was sent while an earlier attempt is silent. */
export interface SentCall {
  outcome(): Promise<SendOutcome>;
  cancel(): void;
}

/** The attempt that is to follow. */
export interface NextAttempt {
  readonly slot: Slot;
  readonly sent: SentCall;
  /**
   * Sends the call; resolves to whether its upstream has accepted it. Otherwise
   * nothing stays reserved.
   */
  start(): Promise<boolean>;
  /** It is not needed. */
  giveBack(): void;
}

export interface AttemptWatchHost {
  readonly clock: Clock;
  readonly upstream: Upstream;
  readonly silence: UpstreamSilence;
  /** When an attempt without an answer counts as silent. */
  readonly silentAfterMs: number;
  /** Undefined if none can follow now; then nothing stays reserved. */
  prepare(cancellation: Cancellation): Promise<NextAttempt | undefined>;
}

export type UpstreamSilence = Pick<EngineSilence, 'answers' | 'wasAliveAfter'>;

export interface AttemptWatch {
  /** Cancelled when the attempt is left. */
  readonly leaving: Cancellation;
  /** Set before `leaving` is cancelled. */
  readonly next?: NextAttempt;
  /** The attempt was sent. */
  start(): void;
  /** The attempt has ended by itself. */
  end(): void;
}

/** After a pause, an upstream may answer a probe before earlier calls. */
const ALIVE_CONFIRM_MS = 250;
/** Pause after a preparation that failed; doubled after each refused start. */
const PREPARE_AGAIN_MS = 250;
const MAX_PREPARE_AGAIN_MS = 1_000;

export function createAttemptWatch(host: AttemptWatchHost): AttemptWatch {
  const {clock, upstream, silence, silentAfterMs} = host;
  const leaving = createCancellation();
  let timer: TimerHandle | undefined;
  let sentAtMs = 0;
  let aliveSinceMs: number | undefined;
  let preparing: CancellationSource | undefined;
  let next: NextAttempt | undefined;
  let againMs = PREPARE_AGAIN_MS;
  let hasEnded = false;

  function arm(delayMs: number, callback: () => void): void {
    timer = clock.setTimer(delayMs, callback);
  }

  function checkAlive(): void {
    if (silence.wasAliveAfter(upstream.id, sentAtMs)) {
      aliveSinceMs ??= clock.nowMs();
    } else {
      void silence.answers(upstream);
    }
  }

  /** Whether the upstream has just gone on, and may still answer the call. */
  function mayGoOn(): boolean {
    checkAlive();
    if (aliveSinceMs === undefined) return false;
    return clock.nowMs() - aliveSinceMs < ALIVE_CONFIRM_MS;
  }

  const tryAgain = () => arm(againMs, () => void tryLeave());

  async function tryLeave(): Promise<void> {
    if (mayGoOn()) return tryAgain();
    preparing = createCancellation();
    const prepared = await host.prepare(preparing);
    if (hasEnded) return prepared?.giveBack();
    if (!prepared || mayGoOn()) {
      prepared?.giveBack();
      return tryAgain();
    }
    const isAccepted = await prepared.start();
    if (hasEnded) return isAccepted ? prepared.giveBack() : undefined;
    if (!isAccepted) {
      againMs = Math.min(MAX_PREPARE_AGAIN_MS, 2 * againMs);
      return tryAgain();
    }
    next = prepared;
    hasEnded = true;
    // From now on the next attempt ends with its own watch.
    preparing = undefined;
    leaving.cancel();
  }

  return {
    leaving,
    get next() {
      return next;
    },
    start() {
      if (timer || hasEnded) return;
      sentAtMs = clock.nowMs();
      const confirmMs = Math.min(ALIVE_CONFIRM_MS, silentAfterMs / 2);
      arm(silentAfterMs - confirmMs, () => {
        checkAlive();
        arm(confirmMs, () => void tryLeave());
      });
    },
    end() {
      hasEnded = true;
      if (timer) clock.clearTimer(timer);
      preparing?.cancel();
    },
  };
}
