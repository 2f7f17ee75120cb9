/**
 * Frees slots whose ends were lost, or whose hosts died, after a few times the
 * usual duration of a call.
 *
 * An upstream that pauses ends no calls either. Its slots are kept for longer:
 * it would get as many calls again in each expiry time, until its queue is full.
 */

import {createBoundedMap} from '../../core/bounded_map.js';
import {MAX_REMEMBERED_UPSTREAMS} from '../../core/upstream.js';
import type {Clock, TimerHandle} from '../../ports/clock.js';

export interface SlotExpiryHost {
  readonly clock: Clock;
  readonly hostId: string;
}

export interface Expiry {
  /** The call has ended. */
  stop(): void;
}

export interface SlotExpiry {
  noteMessage(fromHostId: string): void;
  /** A call at the upstream has ended with an answer. */
  noteAnswer(upstreamId: string): void;
  /** A call got a slot of the upstream. */
  start(
    upstreamId: string,
    expiryMs: () => number,
    onExpired: () => void,
  ): Expiry;
}

/** Usual time within which messages of some host arrive. */
const CONNECTED_MS = 250;
/** Slots of an upstream that ends no calls expire after this time. */
const MAX_SILENT_MS = 2_000;

export function createSlotExpiry({clock, hostId}: SlotExpiryHost): SlotExpiry {
  const answeredAtMs = createBoundedMap<number>(MAX_REMEMBERED_UPSTREAMS);
  /** When the latest message of another host arrived. */
  let heardAtMs = -Infinity;

  /** Otherwise the silence is that of the hosts. */
  const isConnected = () => clock.nowMs() - heardAtMs < CONNECTED_MS;

  function isSilent(upstreamId: string, startedAtMs: number): boolean {
    const atMs = answeredAtMs.get(upstreamId) ?? -Infinity;
    const isRecent = clock.nowMs() - startedAtMs < MAX_SILENT_MS;
    return atMs < startedAtMs && isRecent && isConnected();
  }

  return {
    noteMessage(fromHostId) {
      if (fromHostId !== hostId) heardAtMs = clock.nowMs();
    },
    noteAnswer: upstreamId => answeredAtMs.set(upstreamId, clock.nowMs()),
    start(upstreamId, expiryMs, onExpired) {
      const startedAtMs = clock.nowMs();
      const wasConnected = isConnected();
      let timer: TimerHandle;
      const plan = () => {
        timer = clock.setTimer(expiryMs(), () => {
          if (wasConnected && isSilent(upstreamId, startedAtMs)) plan();
          else onExpired();
        });
      };
      plan();
      return {stop: () => clock.clearTimer(timer)};
    },
  };
}
