/**
 * Places each stream on a decode and a prefill engine, queues it, or refuses
 * it. The hosts announce their loads to each other, so each can decide by
 * itself and none is a bottleneck or a single point of failure.
 */

import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {Random} from '../../ports/random.js';
import type {Cancellation} from '../../ports/relay.js';
import type {DecodeRun, EngineLoads} from './engine_loads.js';
import {createEngineCandidates} from './engine_candidates.js';
import {createEngineChoice, type ChosenEngines} from './engine_choice.js';
import type {
  StreamNeed,
  Placement,
  PrefillReservation,
  PlacementOutcome,
  WaitingRequest,
} from './placement_types.js';
import {hasDecodeEngine, VERSION_GONE} from './engine_versions.js';
import type {PlacementGroups} from './placement_groups.js';
import type {SharedStatistics} from './shared_statistics.js';
import type {Upstream} from '../../core/upstream.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';
import {createStreamQueue, type QueueCounts} from './stream_queue.js';
import type {RunningMemory} from './wait_forecast.js';
import type {Waiting} from './wait_rules.js';

export interface EngineSchedulerHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly registry: UpstreamRegistry;
  readonly engineLoads: EngineLoads;
  readonly statistics: SharedStatistics;
  /** Requests waiting at the peers, and engines that failed their requests. */
  readonly peers: PeerView;
  /** Which engines this host prefers. */
  readonly groups: PlacementGroups;
  /** This host ordered the engine to change its role. */
  isChanging(engineId: string): boolean;
  /** The engine takes no requests from this host for now. */
  isPaused(engineId: string): boolean;
  /**
   * New streams may begin at engines of this version. Absent where that holds
   * for all.
   */
  mayBegin?(engine: Upstream): boolean;
  /**
   * The least urgent priority of the service's routes; undefined, as when
   * absent, where all routes have the same priority.
   */
  leastUrgentPriority?(service: string): number | undefined;
  /**
   * The client account uses more than its share of the service. Absent where no
   * account is over its share.
   */
  isOverShare?(service: string, account: string): boolean;
  /** A request of the account was placed here and takes this much memory. */
  onPlaced?(service: string, account: string, tokens: number): void;
  /** Something that is announced to the peers has changed. */
  onChange(): void;
}

/** What the peers announced, with times converted to this host's clock. */
export interface PeerView {
  waiting(service: string): readonly Waiting[];
  isSuspect(engineId: string): boolean;
  /** The engine refused a request of a peer a moment ago. */
  isFull(engineId: string): boolean;
  /** The engine was ordered to change its role and takes no new requests. */
  isChanging(engineId: string): boolean;
  /** Requests are waiting at hosts that prefer the engine. */
  hasWaiters(engineId: string): boolean;
}

export interface EngineScheduler {
  place(
    need: StreamNeed,
    cancellation: Cancellation,
  ): Promise<PlacementOutcome>;
  /** Reserves engines that the placer of the group has chosen. */
  reserveChosen(need: StreamNeed, chosen: ChosenEngines): Placement;
  /**
   * Chooses another decode engine for a request that has already started,
   * without waiting; undefined if there is none. `wantsPrefill` also reserves a
   * prefill engine, if there is one.
   */
  placeAgain(
    need: StreamNeed,
    avoid: ReadonlySet<string>,
    wantsPrefill: boolean,
  ): Placement | undefined;
  /** The prefill engines that can read a prompt for the decode engine. */
  prefillEngines(need: StreamNeed, decode: Upstream): readonly Upstream[];
  /** Chooses another prefill engine for a request that has already started. */
  prefillAgain(
    need: StreamNeed,
    decode: Upstream,
    avoid: ReadonlySet<string>,
  ):
    | {readonly engine: Upstream; readonly reservation: PrefillReservation}
    | undefined;
  /** The run has ended and its memory is free. */
  release(run: DecodeRun): void;
  recordFailure(engineId: string): void;
  recordSuccess(engineId: string): void;
  /**
   * The engine refused a request, usually for lack of room. It is excluded for
   * `forMs` if it gave a time.
   */
  recordRefusal(engineId: string, forMs?: number): void;
  /** The engine accepted a request. */
  recordAcceptance(engineId: string): void;
  /** The engine refused a request because it has the other role. */
  recordRoleMismatch(engineId: string): void;
  /** Engines whose actual role differs from the listed one. */
  roleMismatches(): readonly string[];
  /** Places the waiting requests that now find room. */
  processQueue(): void;
  /** Same, after a short delay that lets further updates arrive. */
  processQueueSoon(): void;
  waitingRequests(): readonly WaitingRequest[];
  suspects(): readonly string[];
  /** Engines that refused requests of this host a moment ago. */
  full(): readonly string[];
  queueCounts(): QueueCounts;
}

/**
 * Retry delay when no engine is listed; engines are listed again within
 * seconds.
 */
const NO_ENGINE_RETRY_MS = 1_000;

export function createEngineScheduler(
  host: EngineSchedulerHost,
): EngineScheduler {
  const {clock, random, registry, engineLoads, peers, groups} = host;
  const candidates = createEngineCandidates({
    clock,
    registry,
    isSuspect: peers.isSuspect,
    isFullAtPeer: peers.isFull,
    isChanging: id => peers.isChanging(id) || host.isChanging(id),
    isPaused: host.isPaused,
    mayBegin: engine => host.mayBegin?.(engine) ?? true,
  });
  const engines = createEngineChoice({
    random,
    registry,
    engineLoads,
    candidates,
    groups,
    tokensPerMs: host.statistics.tokensPerMs,
    speeds: host.statistics.speeds,
    hasWaiters: peers.hasWaiters,
  });
  const queue = createStreamQueue({
    clock,
    log: host.log,
    queueHost: service => ({
      waitingAtPeers: () => peers.waiting(service),
      runningMemory: () => readRunningMemory(service),
      leastUrgentPriority: () => host.leastUrgentPriority?.(service),
      isOverShare: account => host.isOverShare?.(service, account) ?? false,
      onPlaced: (account, tokens) => host.onPlaced?.(service, account, tokens),
      // Hosts that place by themselves do not know each other's schedules.
      retrySpread: () =>
        groups.placers().length === 0 ? random.nextFloat() : 0,
      isServed,
      tryPlace,
    }),
    onChange: host.onChange,
  });

  /** The runs on the decode engines that this host's group prefers. */
  function readRunningMemory(service: string): RunningMemory {
    let runs = 0;
    let tokensAtEnd = 0;
    for (const {id, role} of registry.open(service)) {
      if (role !== 'decode' || !groups.isPreferred(id)) continue;
      const load = engineLoads.decodeLoad(id);
      runs += load.runs;
      tokensAtEnd += load.tokensAtEnd;
    }
    return {runs, tokensAtEnd, meanRunMs: host.statistics.meanRunMs()};
  }

  function reserve(need: StreamNeed, chosen: ChosenEngines): Placement {
    const {decode, prefill} = chosen;
    const {runs, tokensNow, tokensAtEnd} = engineLoads.decodeLoad(decode.id);
    host.log.info('Placed.', {
      request: need.requestId,
      upstream: decode.id,
      prefill: prefill?.id,
      promptTokens: need.promptTokens,
      expectedTokens: Math.round(need.expectedOutputTokens),
      ageMs: Math.round(clock.nowMs() - need.waiting.arrivedAtMs),
      speed: host.statistics.speeds.factorOf(decode.id),
      bookedRuns: runs,
      bookedTokens: Math.round(tokensNow),
      bookedAtEnd: Math.round(tokensAtEnd),
      version: decode.version,
      priority: need.waiting.priority,
      waitingHere: queue.size(),
    });
    candidates.recordPlacement(decode.id);
    const run = engineLoads.startRun({
      engineId: decode.id,
      promptTokens: need.promptTokens,
      expectedOutputTokens: need.expectedOutputTokens,
    });
    const prefillEngine = prefill ?? decode;
    const prefillReservation = reservePrefill(
      prefillEngine.id,
      need.promptTokens,
    );
    return {kind: 'placed', decode, prefill, run, prefillReservation};
  }

  function reservePrefill(
    engineId: string,
    tokens: number,
  ): PrefillReservation {
    const wasIdle = engineLoads.prefillLoad(engineId).prompts === 0;
    let isOpen = true;
    engineLoads.startPrefill(engineId, tokens);
    candidates.recordPlacement(engineId);
    return {
      engineId,
      // Peers may have placed prompts there at the same moment; their
      // announcements arrive later.
      isUncontended: () =>
        wasIdle && engineLoads.prefillLoad(engineId).prompts === 1,
      backlogTokens: () => engineLoads.prefillLoad(engineId).tokens,
      end() {
        if (!isOpen) return;
        isOpen = false;
        engineLoads.endPrefill(engineId, tokens);
        host.onChange();
      },
    };
  }

  /** Whether a decode engine of the version takes new work, if one is set. */
  function isServed({service, version}: StreamNeed): boolean {
    if (version === undefined) return true;
    return hasDecodeEngine(registry.notLeaving(service.name), version);
  }

  function tryPlace(need: StreamNeed, ahead: number): Placement | undefined {
    const traits = need.service.engine;
    const chosen = traits && engines.choose(need, traits, ahead);
    return chosen && reserve(need, chosen);
  }

  return {
    async place(need, cancellation) {
      if (!engines.hasDecode(need.service.name)) {
        return {
          kind: 'refused',
          error: {
            kind: 'no-upstream',
            detail: 'No decode engine is listed.',
            retryAfterMs: NO_ENGINE_RETRY_MS,
          },
        };
      }
      if (!isServed(need)) return {kind: 'refused', error: VERSION_GONE};
      return queue.place(need, cancellation);
    },
    reserveChosen(need, chosen) {
      const placed = reserve(need, chosen);
      host.onChange();
      return placed;
    },
    placeAgain(need, avoid, wantsPrefill) {
      const traits = need.service.engine;
      const chosen =
        traits && engines.chooseAgain(need, traits, avoid, wantsPrefill);
      if (!chosen) return undefined;
      const placed = reserve(need, chosen);
      host.onChange();
      return placed;
    },
    prefillEngines: ({service}, decode) =>
      candidates.prefill(service.name, decode.version),
    prefillAgain(need, decode, avoid) {
      const engine = engines.choosePrefill(need, decode, avoid);
      return (
        engine && {
          engine,
          reservation: reservePrefill(engine.id, need.promptTokens),
        }
      );
    },
    release(run) {
      engineLoads.endRun(run);
      host.onChange();
      queue.process();
    },
    recordFailure(engineId) {
      candidates.recordFailure(engineId);
      host.onChange();
    },
    recordSuccess: candidates.recordSuccess,
    recordRefusal(engineId, forMs) {
      candidates.recordRefusal(engineId, forMs);
      host.onChange();
    },
    recordAcceptance: candidates.recordAcceptance,
    recordRoleMismatch(engineId) {
      candidates.recordRoleMismatch(engineId);
      host.onChange();
    },
    roleMismatches: candidates.roleMismatches,
    processQueue: queue.process,
    processQueueSoon: queue.processSoon,
    waitingRequests: queue.waitingRequests,
    suspects: candidates.suspects,
    full: candidates.full,
    queueCounts: queue.counts,
  };
}
