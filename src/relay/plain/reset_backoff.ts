/**
 * Holds calls back from upstreams that reset one connection after another. Does
 * no I/O.
 *
 * Such calls end within milliseconds, so the upstream always has free slots:
 * without a limit it gets every call that waits while the others are full.
 */

import {createBoundedMap} from '../../core/bounded_map.js';
import {MAX_REMEMBERED_UPSTREAMS} from '../../core/upstream.js';
import type {Clock} from '../../ports/clock.js';

export interface ResetBackoff {
  /** The upstream closed a new connection without an answer. */
  noteReset(upstreamId: string): void;
  noteAnswer(upstreamId: string): void;
  /** Whether the upstream gets no calls, or one at a time. */
  isHeldBack(upstreamId: string): boolean;
  /** Calls that the upstream may get at once, of `maxCalls` at a sound one. */
  limit(upstreamId: string, maxCalls: number): number;
}

interface ResetRecord {
  /** Resets since the last answer, without those of calls already sent. */
  readonly count: number;
  readonly blockedUntilMs: number;
}

/** Single answers get lost at a sound upstream. */
const MAX_RESETS = 3;
const FIRST_BLOCK_MS = 100;
const MAX_BLOCK_MS = 400;
const SOUND: ResetRecord = {count: 0, blockedUntilMs: -Infinity};

export function createResetBackoff({
  clock,
}: {
  readonly clock: Clock;
}): ResetBackoff {
  const records = createBoundedMap<ResetRecord>(MAX_REMEMBERED_UPSTREAMS);

  const recordOf = (upstreamId: string) => records.get(upstreamId) ?? SOUND;

  return {
    noteReset(upstreamId) {
      const {count, blockedUntilMs} = recordOf(upstreamId);
      const nowMs = clock.nowMs();
      if (nowMs < blockedUntilMs) return;
      const doublings = count + 1 - MAX_RESETS;
      const blockMs = Math.min(MAX_BLOCK_MS, FIRST_BLOCK_MS * 2 ** doublings);
      records.set(upstreamId, {
        count: count + 1,
        blockedUntilMs: doublings >= 0 ? nowMs + blockMs : -Infinity,
      });
    },
    noteAnswer: upstreamId => void records.set(upstreamId, SOUND),
    isHeldBack: upstreamId => recordOf(upstreamId).count >= MAX_RESETS,
    limit(upstreamId, maxCalls) {
      const {count, blockedUntilMs} = recordOf(upstreamId);
      if (count < MAX_RESETS) return maxCalls;
      return clock.nowMs() < blockedUntilMs ? 0 : Math.min(1, maxCalls);
    },
  };
}
