/**
 * Knows which upstreams have recently reset connections on which they had sent
 * no answer. Does no I/O.
 */

import {MAX_REMEMBERED_UPSTREAMS} from '../../core/upstream.js';
import type {Clock} from '../../ports/clock.js';

export interface ResetMemory {
  note(upstreamId: string): void;
  isResetting(upstreamId: string): boolean;
}

/**
 * Upstreams whose queue is full reset connections for some seconds; a longer
 * time would delay calls after they have recovered.
 */
const RESETTING_MS = 2_000;

export function createResetMemory({
  clock,
}: {
  readonly clock: Clock;
}): ResetMemory {
  const resetAtMs = new Map<string, number>();

  return {
    note(upstreamId) {
      resetAtMs.delete(upstreamId);
      resetAtMs.set(upstreamId, clock.nowMs());
      if (resetAtMs.size <= MAX_REMEMBERED_UPSTREAMS) return;
      const [oldest] = resetAtMs.keys();
      resetAtMs.delete(oldest);
    },
    isResetting(upstreamId) {
      const atMs = resetAtMs.get(upstreamId);
      return atMs !== undefined && clock.nowMs() - atMs <= RESETTING_MS;
    },
  };
}
