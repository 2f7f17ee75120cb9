/**
 * Chooses an upstream of a service of plain HTTP calls: one with the fewest
 * outstanding calls, relative to its health share. Among equals the choice is
 * random, and a lower latency makes an upstream more likely. Health follows the
 * same rules as for engines.
 *
 * The choice is random because many hosts may share few upstreams. Each host
 * then rarely has an outstanding call, and all measure the same upstream as the
 * fastest. If each took the fastest, the calls of 68 hosts would go to one of
 * three upstreams; a random choice gives each a third, within 25 % (in virtual
 * time, see the test).
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
  /** Latency added for upstreams in another failure domain. */
  readonly otherDomainCostMs?: number;
}

/**
 * Result of a call, for the health of the upstream; `cancelled` doesn't count.
 */
export type PlainCallResult = 'ok' | 'failed' | 'timeout' | 'cancelled';

export interface PlainBalancer {
  /**
   * Returns undefined if every upstream is leaving or excluded. Unhealthy
   * upstreams are chosen only if there are no others.
   */
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
  /** Stops new calls to the upstream. */
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

const DEFAULT_OTHER_DOMAIN_COST_MS = 3;
const INITIAL_LATENCY_MS = 5;
const LATENCY_SMOOTHING = 0.2;
/** Minimum health share, so a new or recovering upstream still gets calls. */
const MIN_SHARE = 0.01;
const POOL = 'plain';
/** Latencies of short calls vary more than those of engines. */
const PLAIN_HEALTH: Partial<HealthOptions> = {
  slowFactor: 4,
  minSamples: 8,
  failuresToEject: 3,
};
/**
 * Added to each latency, so that the check for slow upstreams ignores smaller
 * differences than this.
 */
const SLOWNESS_TOLERANCE_MS = 5;

export function createPlainBalancer(
  host: PlainBalancerHost,
  options: PlainBalancerOptions,
): PlainBalancer {
  const {clock, random} = host;
  const otherDomainCostMs =
    options.otherDomainCostMs ?? DEFAULT_OTHER_DOMAIN_COST_MS;
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
    Math.max(pool.health.share(upstream.upstreamId, clock.nowMs()), MIN_SHARE);

  /** Outstanding calls including the next one, divided by the health share. */
  function relativeLoad(pool: ServicePool, state: UpstreamState): number {
    return (state.outstanding + 1) / shareOf(pool, state);
  }

  function weightOf(pool: ServicePool, state: UpstreamState): number {
    const isOtherDomain =
      state.upstream.failureDomain !== options.ownFailureDomain;
    const costMs = state.latencyMs + (isOtherDomain ? otherDomainCostMs : 0);
    return shareOf(pool, state) / costMs;
  }

  function pickBest(
    pool: ServicePool,
    candidates: readonly UpstreamState[],
  ): PlainUpstream | undefined {
    const lowestLoad = Math.min(
      ...candidates.map(each => relativeLoad(pool, each)),
    );
    const leastLoaded = candidates.filter(
      each => relativeLoad(pool, each) <= lowestLoad,
    );
    const weights = leastLoaded.map(each => weightOf(pool, each));
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    let draw = random.nextFloat() * total;
    const drawn = leastLoaded.find((_, i) => (draw -= weights[i]) < 0);
    return (drawn ?? leastLoaded.at(-1))?.upstream;
  }

  return {
    pick(service, exclude) {
      const pool = poolOf(service);
      const candidates = [...pool.states.values()].filter(
        state => !state.isLeaving && !exclude.has(state.upstream.upstreamId),
      );
      const nowMs = clock.nowMs();
      const usable = candidates.filter(state =>
        pool.health.isUsable(state.upstream.upstreamId, nowMs),
      );
      return pickBest(pool, usable.length > 0 ? usable : candidates);
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
      state.latencyMs += LATENCY_SMOOTHING * (latencyMs - state.latencyMs);
      if (result === 'ok') {
        pool.health.success(upstreamId, nowMs);
        pool.health.sample(
          upstreamId,
          latencyMs + SLOWNESS_TOLERANCE_MS,
          nowMs,
        );
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
        const existing = pool.states.get(upstream.upstreamId);
        if (existing) {
          existing.upstream = upstream;
          continue;
        }
        pool.states.set(upstream.upstreamId, {
          upstream,
          outstanding: 0,
          latencyMs: INITIAL_LATENCY_MS,
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
