/** The interfaces and data types of a shard's dispatcher. */

import type {AccountLimits} from '../core/scheduling/account_shares.js';
import type {EngineDescription} from '../core/scheduling/engine_reservations.js';
import type {HealthOptions} from '../core/scheduling/engine_health.js';
import type {SchedulingPolicy} from '../core/scheduling/policy.js';
import type {InitialEstimates} from '../core/scheduling/service_model.js';
import type {LatencyTargets} from '../core/settings_types.js';
import type {Clock} from '../ports/clock.js';
import type {CacheEvent, EngineLoadReport} from '../ports/engine.js';
import type {
  Grant,
  GrantProgress,
  GrantRefusal,
  GrantRequest,
} from '../ports/grants.js';
import type {Random} from '../ports/random.js';

export interface DispatcherHost {
  readonly clock: Clock;
  readonly random: Random;
}

export interface DispatcherOptions {
  readonly shardId: string;
  /** Increases each time another home takes over the shard. */
  readonly homeEpoch: number;
  readonly service: string;
  readonly targets: LatencyTargets;
  /**
   * Weight of wasted prefills against goodput: 0 optimizes goodput only, 1
   * wasted prefills only.
   */
  readonly wasteWeight: number;
  readonly maxQueued: number;
  /**
   * Whether an entry whose decode engine had no room to import a prefill result
   * tries again for as long as the result is valid. Slots are reserved from a
   * forecast only if so, since without retries a reservation that is slightly
   * early wastes its prefill.
   */
  readonly hasImportRetries?: boolean;
  readonly accounts?: ReadonlyMap<string, AccountLimits>;
  readonly policy?: Partial<SchedulingPolicy>;
  readonly initialEstimates?: Partial<InitialEstimates>;
  readonly health?: Partial<HealthOptions>;
  /**
   * Time after a takeover in which the home uses only part of each engine and
   * refuses no request by forecast; 0 for none.
   */
  readonly rebuildMs?: number;
  /** A grant expires if it gets no report for this long. */
  readonly grantLifeMs?: number;
}

/** Called exactly once for each request, or not at all if it is cancelled. */
export type GrantReply = (outcome: Grant | GrantRefusal) => void;

/** Withdraws a request: `cancel` removes it from the queue without a reply. */
export interface GrantTicket {
  cancel(): void;
}

/**
 * A grant that an earlier home gave, as the entry that uses it announces it to
 * a new home.
 */
export interface AnnouncedGrant {
  readonly grant: Grant;
  readonly request: GrantRequest;
  readonly isDecoding: boolean;
  readonly tokensDelivered: number;
}

/** State of a shard from which entries choose between shards. */
export interface ShardSummary {
  readonly shardId: string;
  readonly service: string;
  readonly homeEpoch: number;
  readonly freeSlots: number;
  readonly totalSlots: number;
  readonly queued: number;
  /** Forecast wait of a request of mean size. */
  readonly waitMs: number;
  readonly prefillEngines: number;
  readonly decodeEngines: number;
  readonly ejected: number;
}

export interface Dispatcher {
  ask(request: GrantRequest, reply: GrantReply): GrantTicket;
  report(grantId: string, progress: GrantProgress): void;
  /** Sets the engines of this shard and removes all others. */
  setEngines(engines: readonly EngineDescription[]): void;
  /**
   * Replaces the targets, the waste weight and all account limits after a
   * change of configuration.
   */
  applySettings(
    targets: LatencyTargets,
    wasteWeight: number,
    accounts: ReadonlyMap<string, AccountLimits>,
  ): void;
  applyLoadReport(report: EngineLoadReport): void;
  applyCacheEvents(engineId: string, events: readonly CacheEvent[]): void;
  /** Stops new grants on the engine; existing grants continue. */
  markLeaving(engineId: string): void;
  removeEngine(engineId: string): void;
  /**
   * Releases the grants of an entry that failed, after a delay, and drops its
   * queued requests.
   */
  releaseEntry(entryTag: string): void;
  /**
   * Records a grant of an earlier home, as announced by its entry, and reserves
   * its capacity.
   */
  adopt(announced: AnnouncedGrant): void;
  summary(): ShardSummary;
  /** Reserved capacity of each engine, for checks and status pages. */
  engineUsage(): readonly EngineUsage[];
  /** Refuses queued requests with `home-moved`; running grants continue. */
  stop(): void;
}

export interface EngineUsage {
  readonly engineId: string;
  readonly usedSlots: number;
  readonly usedKvBytes: number;
  readonly kvBytes: number;
  readonly isUsable: boolean;
}
