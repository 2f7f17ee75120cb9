/**
 * Places each stream on a decode and a prefill engine, queues it, or refuses
 * it. The hosts announce their loads to each other, so each can decide by
 * itself and none is a bottleneck or a single point of failure.
 */

import type {Service} from '../../core/routing_types.js';
import type {RequestError} from '../../core/error_kinds.js';
import type {Clock, TimerHandle} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {Random} from '../../ports/random.js';
import type {Cancellation} from '../../ports/relay.js';
import type {DecodeRun, EngineLoads} from './engine_loads.js';
import {createEngineCandidates} from './engine_candidates.js';
import {createEngineChoice, type ChosenEngines} from './engine_choice.js';
import type {PlacementGroups} from './placement_groups.js';
import type {TokenNeed} from './placement_rules.js';
import type {SharedStatistics} from './shared_statistics.js';
import type {Upstream} from '../../core/upstream.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';
import {
  compareWaiting,
  findRetryAfterMs,
  forecastWaitMs,
  spreadRetryAfterMs,
  type Waiting,
} from './wait_rules.js';

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

export interface StreamNeed extends TokenNeed {
  readonly requestId: string;
  readonly service: Service;
  readonly waiting: Waiting;
  /**
   * Expected time from the placement to the first event. The latest starts in
   * `waiting` are earlier by this time.
   */
  readonly startMs: number;
  /** How much longer the caller will wait. */
  readonly callerLeftMs: number;
}

export interface Placement {
  readonly kind: 'placed';
  readonly decode: Upstream;
  /** Absent when the decode engine prefills the prompt itself. */
  readonly prefill?: Upstream;
  readonly run: DecodeRun;
  /** Counts the prompt in the backlog of its prefill engine until it ends. */
  readonly prefillReservation: PrefillReservation;
}

/** The reservation of one prompt in the backlog of an engine. */
export interface PrefillReservation {
  readonly engineId: string;
  /**
   * Whether the engine has had no other prompt since the reservation, as far as
   * is known.
   */
  isUncontended(): boolean;
  /** Tokens in the backlog of the engine, this prompt included. */
  backlogTokens(): number;
  /** Ends the reservation; later calls do nothing. */
  end(): void;
}

export type PlacementOutcome =
  | Placement
  | {readonly kind: 'refused'; readonly error: RequestError}
  | {readonly kind: 'cancelled'};

/** A waiting request as it is announced to the peers. */
export interface WaitingRequest {
  readonly service: string;
  readonly waiting: Waiting;
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
}

interface Waiter {
  readonly need: StreamNeed;
  readonly resolve: (outcome: PlacementOutcome) => void;
}

/** How often the queue is checked without any update. */
const QUEUE_CHECK_MS = 50;
/**
 * With many peers an update arrives each millisecond; one check serves several
 * of them.
 */
const QUEUE_CHECK_DELAY_MS = 6;
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
  let waiters: Waiter[] = [];
  let timer: TimerHandle | undefined;
  let soonTimer: TimerHandle | undefined;

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
      waitingHere: waiters.length,
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

  function tryPlace(need: StreamNeed, ahead: number): Placement | undefined {
    const traits = need.service.engine;
    const chosen = traits && engines.choose(need, traits, ahead);
    return chosen && reserve(need, chosen);
  }

  /** Counts the requests at the peers that come before this one. */
  function countAheadAtPeers(need: StreamNeed): number {
    const nowMs = clock.nowMs();
    return peers
      .waiting(need.service.name)
      .filter(other => compareWaiting(other, need.waiting, nowMs) < 0).length;
  }

  function countAheadHere(need: StreamNeed): number {
    const nowMs = clock.nowMs();
    return waiters.filter(
      ({need: other}) =>
        other.service.name === need.service.name &&
        compareWaiting(other.waiting, need.waiting, nowMs) < 0,
    ).length;
  }

  function refuse(need: StreamNeed, waitMs: number): PlacementOutcome {
    const retryAfterMs = spreadRetryAfterMs(
      waitMs,
      need.callerLeftMs,
      random.nextFloat(),
    );
    return {
      kind: 'refused',
      error: {
        kind: 'overloaded',
        detail: `Room is expected in ${Math.round(waitMs)} ms.`,
        retryAfterMs,
      },
    };
  }

  function forecastMs(need: StreamNeed): number {
    return forecastWaitMs(countAheadHere(need) + countAheadAtPeers(need), {
      runs: engines.countRuns(need.service.name),
      meanRunMs: host.statistics.meanRunMs(),
    });
  }

  function remove(waiter: Waiter): void {
    waiters = waiters.filter(each => each !== waiter);
  }

  function settle(waiter: Waiter, outcome: PlacementOutcome): void {
    remove(waiter);
    waiter.resolve(outcome);
    host.onChange();
  }

  function refuseExpired(nowMs: number): void {
    for (const waiter of [...waiters]) {
      if (nowMs <= waiter.need.waiting.giveUpAtMs) continue;
      settle(waiter, refuse(waiter.need, forecastMs(waiter.need)));
    }
  }

  function processQueueSoon(): void {
    if (waiters.length === 0) return;
    soonTimer ??= clock.setTimer(QUEUE_CHECK_DELAY_MS, processQueue);
  }

  function processQueue(): void {
    for (const each of [timer, soonTimer]) if (each) clock.clearTimer(each);
    timer = undefined;
    soonTimer = undefined;
    if (waiters.length === 0) return;
    const nowMs = clock.nowMs();
    refuseExpired(nowMs);
    const inOrder = [...waiters].sort((a, b) =>
      compareWaiting(a.need.waiting, b.need.waiting, nowMs),
    );
    const blocked = new Set<string>();
    for (const waiter of inOrder) {
      const {name} = waiter.need.service;
      if (blocked.has(name)) continue;
      const placed = tryPlace(waiter.need, countAheadAtPeers(waiter.need));
      if (placed) settle(waiter, placed);
      else blocked.add(name);
    }
    if (waiters.length > 0)
      timer = clock.setTimer(QUEUE_CHECK_MS, processQueue);
  }

  function enqueue(
    need: StreamNeed,
    cancellation: Cancellation,
  ): Promise<PlacementOutcome> {
    return new Promise(resolve => {
      const waiter: Waiter = {need, resolve};
      waiters.push(waiter);
      cancellation.onCancel(() => {
        if (waiters.includes(waiter)) settle(waiter, {kind: 'cancelled'});
      });
      host.onChange();
      timer ??= clock.setTimer(QUEUE_CHECK_MS, processQueue);
    });
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
      const ahead = countAheadHere(need) + countAheadAtPeers(need);
      const placed = tryPlace(need, ahead);
      if (placed) {
        host.onChange();
        return placed;
      }
      const waitMs = forecastMs(need);
      const nowMs = clock.nowMs();
      const retryAfterMs = findRetryAfterMs(need.waiting, waitMs, nowMs);
      if (retryAfterMs !== undefined) return refuse(need, retryAfterMs);
      return enqueue(need, cancellation);
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
      if (waiters.length > 0) processQueue();
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
    processQueue,
    processQueueSoon,
    waitingRequests: () =>
      waiters.map(({need}) => ({
        service: need.service.name,
        waiting: need.waiting,
      })),
    suspects: candidates.suspects,
    full: candidates.full,
  };
}
