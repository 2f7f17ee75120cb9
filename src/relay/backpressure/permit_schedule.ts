/**
 * Schedules, at the owner of a limit, the requests of all hosts to the
 * upstream. Pure except for the clock.
 *
 * Hosts may briefly disagree on the owner, and several owners together must not
 * exceed the rate. So a new owner starts without unused permits, and a backup
 * grants only a share of the rate.
 */

import {createBoundedMap} from '../../core/bounded_map.js';
import {MAX_REMEMBERED_UPSTREAMS} from '../../core/upstream.js';
import type {Clock} from '../../ports/clock.js';

export interface PermitOptions {
  readonly upstream: string;
  readonly limitPerS: number;
  /** Maximum time for which the request may be delayed. */
  readonly mostWaitMs: number;
  /** Whether this host acts as the backup of the owner. */
  readonly isBackup: boolean;
}

export interface Permit {
  readonly isGranted: boolean;
  /** Time until this request, if granted, or else the next may be sent. */
  readonly waitMs: number;
}

export interface PermitSchedule {
  take(options: PermitOptions): Permit;
}

/** Requests arrive in bursts; permits unused for this time remain valid. */
const BURST_MS = 250;
/** Share of the rate that a backup grants. */
const BACKUP_RATE_SHARE = 0.25;
/** Minimum rate, since a new limit is only learnt from an upstream's answer. */
const MIN_RATE_PER_S = 0.25;
const MS_PER_SECOND = 1_000;

export function createPermitSchedule(host: {
  readonly clock: Clock;
}): PermitSchedule {
  const {clock} = host;
  /** Due time of the latest permit, by upstream. */
  const lastDueAtMs = createBoundedMap<number>(MAX_REMEMBERED_UPSTREAMS);

  return {
    take({upstream, limitPerS, mostWaitMs, isBackup}) {
      const nowMs = clock.nowMs();
      const share = isBackup ? BACKUP_RATE_SHARE : 1;
      const ratePerS = Math.max(limitPerS, MIN_RATE_PER_S) * share;
      const last = lastDueAtMs.get(upstream) ?? nowMs;
      const dueAtMs = Math.max(
        last + MS_PER_SECOND / ratePerS,
        nowMs - BURST_MS,
      );
      const waitMs = Math.max(0, dueAtMs - nowMs);
      const isGranted = waitMs <= mostWaitMs;
      lastDueAtMs.set(upstream, isGranted ? dueAtMs : last);
      return {isGranted, waitMs};
    },
  };
}
