/**
 * Chooses an upstream of a plain service: fewest outstanding calls, then by
 * lot, weighted by how fast each answers, with the same health rules as the
 * engines.
 *
 * The lot matters where many hosts share few upstreams. Each has hardly ever a
 * call outstanding, and all see the same upstream answer fastest: when each
 * took the fastest one, 68 hosts took the same of three (in virtual time, see
 * the test). By lot each gets a third of the calls, within a quarter.
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
/** One that is tried again, or is new, is still drawn now and then. */
const FEWEST_SHARE = 0.01;
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

  const shareOf = (pool: ServicePool, {upstream}: UpstreamState) =>
    Math.max(
      pool.health.share(upstream.upstreamId, clock.nowMs()),
      FEWEST_SHARE,
    );

  /** Calls outstanding with one more, as a part of what it may take. */
  function busyness(pool: ServicePool, state: UpstreamState): number {
    return (state.outstanding + 1) / shareOf(pool, state);
  }

  function weigh(pool: ServicePool, state: UpstreamState): number {
    const isAway = state.upstream.failureDomain !== options.ownFailureDomain;
    const costMs = state.latencyMs + (isAway ? awayMs : 0);
    return shareOf(pool, state) / costMs;
  }

  function pickBest(
    pool: ServicePool,
    candidates: readonly UpstreamState[],
  ): PlainUpstream | undefined {
    const fewest = Math.min(...candidates.map(each => busyness(pool, each)));
    const least = candidates.filter(each => busyness(pool, each) <= fewest);
    const weights = least.map(each => weigh(pool, each));
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    let draw = random.nextFloat() * total;
    const drawn = least.find((_, i) => (draw -= weights[i]) < 0);
    return (drawn ?? least.at(-1))?.upstream;
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
