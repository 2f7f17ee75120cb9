/**
 * Tracks the rest periods that upstreams ask for when they refuse a request of
 * this host. Other hosts aren't bound by them.
 *
 * An upstream that refuses quickly would otherwise attract more requests: it
 * has no outstanding calls and no slow answers, so it looks like the best
 * choice.
 */

import {createBoundedMap} from '../../core/bounded_map.js';
import {MAX_REMEMBERED_UPSTREAMS} from '../../core/upstream.js';
import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';

export interface UpstreamRests {
  note(upstreamId: string, restMs: number): void;
  /** Returns the remaining rest period, or 0 if there is none. */
  leftMs(upstreamId: string): number;
}

export interface UpstreamRestsHost {
  readonly clock: Clock;
  readonly log: Logger;
}

export function createUpstreamRests(host: UpstreamRestsHost): UpstreamRests {
  const {clock, log} = host;
  const restUntilMs = createBoundedMap<number>(MAX_REMEMBERED_UPSTREAMS);

  const leftMs = (upstreamId: string) =>
    Math.max(0, (restUntilMs.get(upstreamId) ?? 0) - clock.nowMs());

  return {
    note(upstreamId, restMs) {
      const beforeMs = leftMs(upstreamId);
      if (restMs <= beforeMs) return;
      restUntilMs.set(upstreamId, clock.nowMs() + restMs);
      // Logs one line per rest period instead of one per refusal.
      if (beforeMs > 0) return;
      log.info('Upstream asks for rest.', {upstream: upstreamId, restMs});
    },
    leftMs,
  };
}
