/**
 * When the next request may go to an upstream that names a limit, for all hosts
 * that ask the owner of the limit. Pure but for the clock.
 *
 * Guards against a rate that several owners give away. Hosts may know different
 * owners for a moment, so an owner begins with nothing to give, and one that
 * only stands in for another keeps to a part of the rate.
 */

import {createBoundedMap} from '../../core/bounded_map.js';
import {MOST_REMEMBERED} from '../../core/upstream.js';
import type {Clock} from '../../ports/clock.js';

export interface PermitNeed {
  readonly upstream: string;
  readonly limitPerS: number;
  /** How long the request may be held back. */
  readonly mostWaitMs: number;
  /** Whether another host owns the limit, as far as this one knows. */
  readonly isStandIn: boolean;
}

export interface Permit {
  readonly isGranted: boolean;
  /** Until the request may be sent, or until the next one could be. */
  readonly waitMs: number;
}

export interface PermitSchedule {
  take(need: PermitNeed): Permit;
}

/** Requests come in lumps; what was not used lately may be used now. */
const BURST_MS = 250;
/** Part of the rate that a host gives away in another's place. */
const STAND_IN_SHARE = 0.25;
/** An upstream that takes next to nothing is still asked, or never heard. */
const FEWEST_PER_S = 0.25;
const MS_PER_SECOND = 1_000;

export function createPermitSchedule(host: {
  readonly clock: Clock;
}): PermitSchedule {
  const {clock} = host;
  /** When the latest permit was due. */
  const lastAtMs = createBoundedMap<number>(MOST_REMEMBERED);

  return {
    take({upstream, limitPerS, mostWaitMs, isStandIn}) {
      const nowMs = clock.nowMs();
      const share = isStandIn ? STAND_IN_SHARE : 1;
      const perS = Math.max(limitPerS, FEWEST_PER_S) * share;
      const last = lastAtMs.get(upstream) ?? nowMs;
      const dueAtMs = Math.max(last + MS_PER_SECOND / perS, nowMs - BURST_MS);
      const waitMs = Math.max(0, dueAtMs - nowMs);
      const isGranted = waitMs <= mostWaitMs;
      lastAtMs.set(upstream, isGranted ? dueAtMs : last);
      return {isGranted, waitMs};
    },
  };
}
