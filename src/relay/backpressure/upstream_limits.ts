/**
 * The request rates that upstreams in need allow all hosts together, as they
 * name them in their answers.
 */

import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';

export interface UpstreamLimits {
  /**
   * An upstream answered a request that was sent at `sentAtMs`. Undefined when
   * the answer names no limit: an earlier one no longer holds then.
   */
  noteAnswer(
    upstreamId: string,
    limitPerS: number | undefined,
    sentAtMs: number,
  ): void;
  /** Undefined while the upstream names none. */
  limitPerS(upstreamId: string): number | undefined;
  limitedCount(): number;
  /** The upstream has left. */
  forget(upstreamId: string): void;
}

interface NamedLimit {
  readonly limitPerS: number;
  readonly namedAtMs: number;
}

export interface UpstreamLimitsHost {
  readonly clock: Clock;
  readonly log: Logger;
}

export function createUpstreamLimits(host: UpstreamLimitsHost): UpstreamLimits {
  const {clock, log} = host;
  const limits = new Map<string, NamedLimit>();

  return {
    noteAnswer(upstreamId, limitPerS, sentAtMs) {
      const known = limits.get(upstreamId);
      if (limitPerS !== undefined) {
        limits.set(upstreamId, {limitPerS, namedAtMs: clock.nowMs()});
        if (known?.limitPerS === limitPerS) return;
        log.info('Upstream names a limit.', {upstream: upstreamId, limitPerS});
        return;
      }
      // Answers may overtake each other: one to a request that was sent before
      // the limit was named tells nothing of what holds now.
      if (!known || sentAtMs <= known.namedAtMs) return;
      limits.delete(upstreamId);
      log.info('Upstream names no limit any more.', {
        upstream: upstreamId,
        limitPerS: known.limitPerS,
        namedAgoMs: Math.round(clock.nowMs() - known.namedAtMs),
      });
    },
    limitPerS: upstreamId => limits.get(upstreamId)?.limitPerS,
    limitedCount: () => limits.size,
    forget: upstreamId => void limits.delete(upstreamId),
  };
}
