/**
 * Chooses an upstream of a plain service: fewest outstanding calls, weighted
 * by how fast each answers, with the same health rules as the engines.
 */

import {
  createEngineHealth,
  DEFAULT_HEALTH,
  type EngineHealth,
  type HealthOptions,
} from '../core/scheduling/engine_health.js';
import type {Clock} from '../ports/clock.js';
import type {Random} from '../ports/random.js';

export interface PlainBalancerHost {
  readonly clock: Clock;
  readonly random: Random;
}

export interface PlainUpstream {
  readonly upstreamId: string;
  readonly address: string;
  readonly failureDomain: string;
}

export interface PlainBalancerOptions {
  readonly ownFailureDomain: string;
  readonly health?: Partial<HealthOptions>;
  /** Cost of a call to another failure domain. */
  readonly awayMs?: number;
}

/** How a call ended, as far as it tells of the upstream. */
export type PlainCallResult = 'ok' | 'failed' | 'timeout' | 'cancelled';

export interface PlainBalancer {
  /** Undefined when no upstream may take new work. */
  pick(
    service: string,
    exclude: ReadonlySet<string>,
  ): PlainUpstream | undefined;
  started(service: string, upstreamId: string): void;
  ended(
    service: string,
    upstreamId: string,
    result: PlainCallResult,
    latencyMs: number,
  ): void;
  setUpstreams(service: string, upstreams: readonly PlainUpstream[]): void;
  /** No new calls from now on. */
  markLeaving(service: string, upstreamId: string): void;
  outstanding(service: string): number;
}

interface UpstreamState {
  upstream: PlainUpstream;
  outstanding: number;
  latencyMs: number;
  isLeaving: boolean;
}

interface ServicePool {
  readonly states: Map<string, UpstreamState>;
  readonly health: EngineHealth;
  hadUpstreams: boolean;
}

const DEFAULT_AWAY_MS = 3;
const FIRST_LATENCY_MS = 5;
const SMOOTHING = 0.2;
const POOL = 'plain';
/** Quick calls vary by more than engines do. */
const PLAIN_HEALTH: Partial<HealthOptions> = {
  slowFactor: 4,
  minSamples: 8,
  failuresToEject: 3,
};
/** Differences below this are noise to the slowness check. */
const SLOWNESS_GRAIN_MS = 5;

export function createPlainBalancer(
  host: PlainBalancerHost,
  options: PlainBalancerOptions,
): PlainBalancer {
  const {clock, random} = host;
  const awayMs = options.awayMs ?? DEFAULT_AWAY_MS;
  const services = new Map<string, ServicePool>();

  function poolOf(service: string): ServicePool {
    let pool = services.get(service);
    if (!pool) {
      const health = createEngineHealth({
        ...DEFAULT_HEALTH,
        ...PLAIN_HEALTH,
        ...options.health,
      });
      pool = {states: new Map(), health, hadUpstreams: false};
      services.set(service, pool);
    }
    return pool;
  }

  function score(pool: ServicePool, state: UpstreamState): number {
    const share = pool.health.share(state.upstream.upstreamId, clock.nowMs());
    const isAway = state.upstream.failureDomain !== options.ownFailureDomain;
    const busyMs = (state.outstanding + 1) * state.latencyMs;
    return busyMs / Math.max(share, 0.01) + (isAway ? awayMs : 0);
  }

  function pickBest(
    pool: ServicePool,
    candidates: readonly UpstreamState[],
  ): PlainUpstream | undefined {
    if (candidates.length === 0) return undefined;
    // A random start spreads ties, or all entries would pick the same one.
    const offset = random.nextInt(candidates.length);
    let best = candidates[offset];
    let bestScore = score(pool, best);
    for (let i = 1; i < candidates.length; i++) {
      const state = candidates[(offset + i) % candidates.length];
      const stateScore = score(pool, state);
      if (stateScore >= bestScore) continue;
      best = state;
      bestScore = stateScore;
    }
    return best.upstream;
  }

  return {
    pick(service, exclude) {
      const pool = poolOf(service);
      const open = [...pool.states.values()].filter(
        state => !state.isLeaving && !exclude.has(state.upstream.upstreamId),
      );
      const nowMs = clock.nowMs();
      const usable = open.filter(state =>
        pool.health.isUsable(state.upstream.upstreamId, nowMs),
      );
      return pickBest(pool, usable.length > 0 ? usable : open);
    },
    started(service, upstreamId) {
      const state = poolOf(service).states.get(upstreamId);
      if (state) state.outstanding++;
    },
    ended(service, upstreamId, result, latencyMs) {
      const pool = poolOf(service);
      const state = pool.states.get(upstreamId);
      if (!state) return;
      state.outstanding = Math.max(0, state.outstanding - 1);
      if (result === 'cancelled') return;
      const nowMs = clock.nowMs();
      state.latencyMs += SMOOTHING * (latencyMs - state.latencyMs);
      if (result === 'ok') {
        pool.health.success(upstreamId, nowMs);
        pool.health.sample(upstreamId, latencyMs + SLOWNESS_GRAIN_MS, nowMs);
      } else {
        pool.health.failure(upstreamId, nowMs);
      }
    },
    setUpstreams(service, upstreams) {
      const pool = poolOf(service);
      const wanted = new Set(upstreams.map(each => each.upstreamId));
      for (const upstreamId of [...pool.states.keys()]) {
        if (wanted.has(upstreamId)) continue;
        pool.states.delete(upstreamId);
        pool.health.remove(upstreamId);
      }
      for (const upstream of upstreams) {
        const known = pool.states.get(upstream.upstreamId);
        if (known) {
          known.upstream = upstream;
          continue;
        }
        pool.states.set(upstream.upstreamId, {
          upstream,
          outstanding: 0,
          latencyMs: FIRST_LATENCY_MS,
          isLeaving: false,
        });
        const isWarm = !pool.hadUpstreams;
        pool.health.add(upstream.upstreamId, POOL, clock.nowMs(), isWarm);
      }
      if (upstreams.length > 0) pool.hadUpstreams = true;
    },
    markLeaving(service, upstreamId) {
      const state = poolOf(service).states.get(upstreamId);
      if (state) state.isLeaving = true;
    },
    outstanding(service) {
      let count = 0;
      for (const state of poolOf(service).states.values()) {
        count += state.outstanding;
      }
      return count;
    },
  };
}
