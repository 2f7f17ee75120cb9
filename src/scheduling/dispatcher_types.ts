/** What a dispatcher is given, takes and tells. */

import type {AccountLimits} from '../core/scheduling/account_shares.js';
import type {EngineDescription} from '../core/scheduling/engine_book.js';
import type {HealthOptions} from '../core/scheduling/engine_health.js';
import type {SchedulingPolicy} from '../core/scheduling/policy.js';
import type {ModelGuesses} from '../core/scheduling/service_model.js';
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
  /** Counts up with each takeover of the shard. */
  readonly homeEpoch: number;
  readonly service: string;
  readonly targets: LatencyTargets;
  /** 0: only goodput counts; 1: only wasted prefill counts. */
  readonly wasteWeight: number;
  readonly maxQueued: number;
  /**
   * Whether entries repeat an import that found no room for as long as the
   * prefill's result lives. Only then are slots promised from a forecast:
   * otherwise each promise that comes a moment early wastes its prefill.
   */
  readonly importsWait?: boolean;
  readonly accounts?: ReadonlyMap<string, AccountLimits>;
  readonly policy?: Partial<SchedulingPolicy>;
  readonly guesses?: Partial<ModelGuesses>;
  readonly health?: Partial<HealthOptions>;
  /** After a takeover: how long to admit conservatively. 0: not at all. */
  readonly rebuildMs?: number;
  /** A grant lapses when nothing is heard of it for this long. */
  readonly grantLifeMs?: number;
}

/** Answers one request, exactly once unless it is cancelled. */
export type GrantReply = (outcome: Grant | GrantRefusal) => void;

/** A place in the queue; `cancel` gives it up without a reply. */
export interface GrantTicket {
  cancel(): void;
}

/** A grant that an entry announces again to a new home. */
export interface AnnouncedGrant {
  readonly grant: Grant;
  readonly request: GrantRequest;
  readonly isDecoding: boolean;
  readonly tokensDelivered: number;
}

/** Small figures for the choice between shards. */
export interface ShardSummary {
  readonly shardId: string;
  readonly service: string;
  readonly homeEpoch: number;
  readonly freeSlots: number;
  readonly totalSlots: number;
  readonly queued: number;
  /** Forecast wait of a request of mean size, milliseconds. */
  readonly waitMs: number;
  readonly prefillEngines: number;
  readonly decodeEngines: number;
  readonly ejected: number;
}

export interface Dispatcher {
  ask(request: GrantRequest, reply: GrantReply): GrantTicket;
  report(grantId: string, progress: GrantProgress): void;
  /** The engines of this shard; those not named are forgotten. */
  setEngines(engines: readonly EngineDescription[]): void;
  /** After a change of configuration. */
  setTuning(
    targets: LatencyTargets,
    wasteWeight: number,
    accounts: ReadonlyMap<string, AccountLimits>,
  ): void;
  applyLoadReport(report: EngineLoadReport): void;
  applyCacheEvents(engineId: string, events: readonly CacheEvent[]): void;
  /** No new grants from now on; those given go on. */
  markLeaving(engineId: string): void;
  engineGone(engineId: string): void;
  /** Frees the grants and queue places of an entry that died. */
  entryGone(entryTag: string): void;
  /** Takes over a grant of an earlier home, as its entry announces it. */
  adopt(announced: AnnouncedGrant): void;
  summary(): ShardSummary;
  /** Promises that each engine carries, for checks and status pages. */
  books(): readonly EngineBookView[];
  /** Refuses what waits with `home-moved`; running grants go on. */
  stop(): void;
}

export interface EngineBookView {
  readonly engineId: string;
  readonly usedSlots: number;
  readonly usedKvBytes: number;
  readonly kvBytes: number;
  readonly isUsable: boolean;
}
