/** State shared by the parts of a shard's dispatcher. */

import {
  createAccountShares,
  type AccountShares,
} from '../core/scheduling/account_shares.js';
import {
  createEngineHealth,
  DEFAULT_HEALTH,
  type EngineHealth,
} from '../core/scheduling/engine_health.js';
import {
  createEnginePool,
  type EnginePool,
} from '../core/scheduling/engine_pool.js';
import {
  createPolicy,
  type SchedulingPolicy,
} from '../core/scheduling/policy.js';
import {
  createPrefixIndex,
  type PrefixIndex,
} from '../core/scheduling/prefix_index.js';
import {
  createServiceModel,
  DEFAULT_INITIAL_ESTIMATES,
  type ServiceModel,
} from '../core/scheduling/service_model.js';
import {
  createWaitQueue,
  type WaitQueue,
} from '../core/scheduling/wait_queue.js';
import type {LatencyTargets} from '../core/settings_types.js';
import type {Clock} from '../ports/clock.js';
import type {GrantRequest} from '../ports/grants.js';
import type {Random} from '../ports/random.js';
import type {
  DispatcherHost,
  DispatcherOptions,
  GrantReply,
} from './dispatcher_types.js';
import {createGrantLedger, type GrantLedger} from './grant_ledger.js';

/** A queued request with its estimates. */
export interface QueuedRequest {
  readonly request: GrantRequest;
  readonly account: string;
  readonly reply: GrantReply;
  /** After a later start, the first token or the whole answer would be late. */
  readonly latestStartMs: number;
  readonly orderMs: number;
  readonly prefillMs: number;
  readonly kvBytes: number;
  readonly promptKvBytes: number;
  readonly sampledPrefixes: readonly string[];
}

export interface ShardState {
  readonly clock: Clock;
  readonly random: Random;
  readonly options: DispatcherOptions;
  readonly pool: EnginePool;
  readonly model: ServiceModel;
  readonly prefixes: PrefixIndex;
  readonly health: EngineHealth;
  readonly shares: AccountShares;
  readonly queue: WaitQueue<QueuedRequest>;
  readonly ledger: GrantLedger;
  readonly lifeMs: number;
  /**
   * Until then the home uses only part of each engine and refuses no request by
   * forecast.
   */
  readonly rebuildUntilMs: number;
  targets: LatencyTargets;
  policy: SchedulingPolicy;
}

const DEFAULT_GRANT_LIFE_MS = 5_000;
const SHARE_HALF_LIFE_MS = 20_000;

export function createShardState(
  host: DispatcherHost,
  options: DispatcherOptions,
): ShardState {
  const {clock, random} = host;
  const pool = createEnginePool();
  const shares = createAccountShares(SHARE_HALF_LIFE_MS);
  if (options.accounts) shares.setLimits(options.accounts);
  return {
    clock,
    random,
    options,
    pool,
    model: createServiceModel(
      {...DEFAULT_INITIAL_ESTIMATES, ...options.initialEstimates},
      pool,
    ),
    prefixes: createPrefixIndex(),
    health: createEngineHealth({...DEFAULT_HEALTH, ...options.health}),
    shares,
    queue: createWaitQueue<QueuedRequest>(),
    ledger: createGrantLedger(),
    lifeMs: options.grantLifeMs ?? DEFAULT_GRANT_LIFE_MS,
    rebuildUntilMs: clock.nowMs() + (options.rebuildMs ?? 0),
    targets: options.targets,
    policy: createShardPolicy(options, options.wasteWeight),
  };
}

/**
 * Creates the scheduling policy. Without import retries it doesn't grant from a
 * forecast, unless `options.policy` says so.
 */
export function createShardPolicy(
  options: DispatcherOptions,
  wasteWeight: number,
): SchedulingPolicy {
  const changes = options.policy ?? {};
  if (options.hasImportRetries) return createPolicy(wasteWeight, changes);
  return createPolicy(wasteWeight, {grantFromForecast: false, ...changes});
}

/**
 * Whether the home took over so recently that it may not know all grants of the
 * earlier home. Meanwhile it can't forecast which requests would be late, so it
 * lets them wait instead of refusing them.
 */
export function isRebuilding(state: ShardState): boolean {
  return state.clock.nowMs() < state.rebuildUntilMs;
}
