/**
 * Until when upstreams that turned this host away want nothing from it. Each
 * host keeps to what it was asked; others may send meanwhile.
 *
 * Guards against an upstream that draws requests because it refuses quickly: a
 * refusal leaves no call outstanding and no slow answer, so that the upstream
 * looks like the best choice.
 */

import {createBoundedMap} from '../../core/bounded_map.js';
import {MOST_REMEMBERED} from '../../core/upstream.js';
import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';

export interface UpstreamRests {
  note(upstreamId: string, restMs: number): void;
  /** What is left of it; 0: the upstream does not rest. */
  leftMs(upstreamId: string): number;
}

export interface UpstreamRestsHost {
  readonly clock: Clock;
  readonly log: Logger;
}

export function createUpstreamRests(host: UpstreamRestsHost): UpstreamRests {
  const {clock, log} = host;
  const untilMs = createBoundedMap<number>(MOST_REMEMBERED);

  const leftMs = (upstreamId: string) =>
    Math.max(0, (untilMs.get(upstreamId) ?? 0) - clock.nowMs());

  return {
    note(upstreamId, restMs) {
      const beforeMs = leftMs(upstreamId);
      if (restMs <= beforeMs) return;
      untilMs.set(upstreamId, clock.nowMs() + restMs);
      // One line for each time of rest, not for each refusal in it.
      if (beforeMs > 0) return;
      log.info('Upstream asks for rest.', {upstream: upstreamId, restMs});
    },
    leftMs,
  };
}
