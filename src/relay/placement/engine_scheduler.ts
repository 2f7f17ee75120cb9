/**
 * Gives each stream its decode and prefill engine, or lets it wait, or refuses
 * it. Books are shared with the peers by their announcements, so that each
 * host decides by itself and no host is a bottleneck or missed when it dies.
 */

import type {Service} from '../../core/routing_types.js';
import type {RequestError} from '../../core/error_kinds.js';
import type {Clock, TimerHandle} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {Random} from '../../ports/random.js';
import type {Cancellation} from '../../ports/relay.js';
import type {DecodeRun, EngineBooks} from './engine_books.js';
import {createEngineCandidates} from './engine_candidates.js';
import {createEngineChoice, type ChosenEngines} from './engine_choice.js';
import type {PlacementGroups} from './placement_groups.js';
import type {TokenNeed} from './placement_rules.js';
import type {SharedLearning} from './shared_learning.js';
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
  readonly books: EngineBooks;
  readonly learning: SharedLearning;
  /** Requests that wait at the peers, and engines that failed them. */
  readonly peers: PeerView;
  /** Which engines this host uses first. */
  readonly groups: PlacementGroups;
  /** This host told the engine to change its role. */
  isChanging(engineId: string): boolean;
  /** The engine takes nothing from this host for now. */
  isHeld(engineId: string): boolean;
  /** Something that the peers should hear of has changed. */
  onChange(): void;
}

/** What the peers announced, on this host's clock. */
export interface PeerView {
  waiting(service: string): readonly Waiting[];
  isSuspect(engineId: string): boolean;
  /** It refused a peer's request a moment ago. */
  isFull(engineId: string): boolean;
  /** It was told to change its role and takes no new work. */
  isChanging(engineId: string): boolean;
  /** Requests wait at hosts that use the engine first. */
  isAwaited(engineId: string): boolean;
}

export interface StreamNeed extends TokenNeed {
  readonly requestId: string;
  readonly service: Service;
  readonly waiting: Waiting;
  /** What `waiting` allows for the start on the engines. */
  readonly startMs: number;
  /** How long the caller will still be there. */
  readonly callerLeftMs: number;
}

export interface Placement {
  readonly kind: 'placed';
  readonly decode: Upstream;
  /** Absent when the decode engine prefills by itself. */
  readonly prefill?: Upstream;
  readonly run: DecodeRun;
  /** The booked prefill, until it has ended. */
  readonly prefillBooking: PrefillBooking;
}

/** The place of one prompt in the backlog of an engine. */
export interface PrefillBooking {
  readonly engineId: string;
  /** The engine has had nothing else to read, as far as the books tell. */
  isAlone(): boolean;
  /** What the engine has to read, this prompt among it. */
  backlogTokens(): number;
  /** Frees the place; calls after the first do nothing. */
  end(): void;
}

export type PlacementOutcome =
  | Placement
  | {readonly kind: 'refused'; readonly error: RequestError}
  | {readonly kind: 'cancelled'};

/** One waiting request as it is announced: its age and how it stands. */
export interface WaitingAnnouncement {
  readonly service: string;
  readonly waiting: Waiting;
}

export interface EngineScheduler {
  place(
    need: StreamNeed,
    cancellation: Cancellation,
  ): Promise<PlacementOutcome>;
  /** Books engines that the host which places for the group has chosen. */
  bookChosen(need: StreamNeed, chosen: ChosenEngines): Placement;
  /**
   * Another decode engine at once, or none; for a request under way. With
   * `wantsPrefill` a prefill engine is booked, too, if there is one.
   */
  placeAgain(
    need: StreamNeed,
    avoid: ReadonlySet<string>,
    wantsPrefill: boolean,
  ): Placement | undefined;
  /** Another prefill engine for a request under way. */
  prefillAgain(
    need: StreamNeed,
    decode: Upstream,
    avoid: ReadonlySet<string>,
  ): {readonly engine: Upstream; readonly booking: PrefillBooking} | undefined;
  /** The run ended; its memory is free. */
  release(run: DecodeRun): void;
  noteFailure(engineId: string): void;
  noteSuccess(engineId: string): void;
  /**
   * The engine refused a request, for lack of room as a rule; it is left out
   * for `forMs` if it says so.
   */
  noteFull(engineId: string, forMs?: number): void;
  /** The engine took a request. */
  noteTaken(engineId: string): void;
  /** The engine refused a request that is for the other role. */
  noteOtherRole(engineId: string): void;
  /** Engines that have another role than the list says. */
  inOtherRole(): readonly string[];
  /** Looks whether somebody who waits can go now. */
  pump(): void;
  /** As above, a moment later, with what else comes in until then. */
  pumpSoon(): void;
  announcements(): readonly WaitingAnnouncement[];
  suspects(): readonly string[];
  /** Engines that refused this host a moment ago. */
  full(): readonly string[];
}

interface Waiter {
  readonly need: StreamNeed;
  readonly resolve: (outcome: PlacementOutcome) => void;
}

/** How often those who wait are looked at without any news. */
const PUMP_EVERY_MS = 50;
/** News of many peers come in each millisecond; one look serves them all. */
const PUMP_SOON_MS = 6;
/** A refusal without any engine: they are listed again within seconds. */
const NO_ENGINE_RETRY_MS = 1_000;

export function createEngineScheduler(
  host: EngineSchedulerHost,
): EngineScheduler {
  const {clock, random, registry, books, peers, groups} = host;
  const candidates = createEngineCandidates({
    clock,
    registry,
    isSuspect: peers.isSuspect,
    isFullAtPeer: peers.isFull,
    isChanging: id => peers.isChanging(id) || host.isChanging(id),
    isHeld: host.isHeld,
  });
  const engines = createEngineChoice({
    random,
    registry,
    books,
    candidates,
    groups,
    tokensPerMs: host.learning.tokensPerMs,
    isAwaited: peers.isAwaited,
  });
  let waiters: Waiter[] = [];
  let timer: TimerHandle | undefined;
  let soonTimer: TimerHandle | undefined;

  function book(need: StreamNeed, chosen: ChosenEngines): Placement {
    const {decode, prefill} = chosen;
    const {runs, tokensNow, tokensAtEnd} = books.decodeLoad(decode.id);
    host.log.info('Placed.', {
      request: need.requestId,
      upstream: decode.id,
      prefill: prefill?.id,
      promptTokens: need.promptTokens,
      expectedTokens: Math.round(need.expectedOutputTokens),
      ageMs: Math.round(clock.nowMs() - need.waiting.arrivedAtMs),
      bookedRuns: runs,
      bookedTokens: Math.round(tokensNow),
      bookedAtEnd: Math.round(tokensAtEnd),
      waitingHere: waiters.length,
    });
    candidates.notePlaced(decode.id);
    const run = books.startRun({
      engineId: decode.id,
      promptTokens: need.promptTokens,
      expectedOutputTokens: need.expectedOutputTokens,
    });
    const reader = prefill ?? decode;
    const prefillBooking = bookPrefill(reader.id, need.promptTokens);
    return {kind: 'placed', decode, prefill, run, prefillBooking};
  }

  function bookPrefill(engineId: string, tokens: number): PrefillBooking {
    const wasAlone = books.prefillLoad(engineId).prompts === 0;
    let isOpen = true;
    books.startPrefill(engineId, tokens);
    candidates.notePlaced(engineId);
    return {
      engineId,
      // Peers may have sent theirs at the same moment; their word comes later.
      isAlone: () => wasAlone && books.prefillLoad(engineId).prompts === 1,
      backlogTokens: () => books.prefillLoad(engineId).tokens,
      end() {
        if (!isOpen) return;
        isOpen = false;
        books.endPrefill(engineId, tokens);
        host.onChange();
      },
    };
  }

  function tryPlace(need: StreamNeed, ahead: number): Placement | undefined {
    const traits = need.service.engine;
    const chosen = traits && engines.choose(need, traits, ahead);
    return chosen && book(need, chosen);
  }

  /** Requests at the peers that go before this one. */
  function aheadAtPeers(need: StreamNeed): number {
    const nowMs = clock.nowMs();
    return peers
      .waiting(need.service.name)
      .filter(other => compareWaiting(other, need.waiting, nowMs) < 0).length;
  }

  function aheadHere(need: StreamNeed): number {
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

  function forecast(need: StreamNeed): number {
    return forecastWaitMs(aheadHere(need) + aheadAtPeers(need), {
      runs: engines.countRuns(need.service.name),
      meanRunMs: host.learning.meanRunMs(),
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

  function expire(nowMs: number): void {
    for (const waiter of [...waiters]) {
      if (nowMs <= waiter.need.waiting.giveUpAtMs) continue;
      settle(waiter, refuse(waiter.need, forecast(waiter.need)));
    }
  }

  function pumpSoon(): void {
    if (waiters.length === 0) return;
    soonTimer ??= clock.setTimer(PUMP_SOON_MS, pump);
  }

  function pump(): void {
    for (const each of [timer, soonTimer]) if (each) clock.clearTimer(each);
    timer = undefined;
    soonTimer = undefined;
    if (waiters.length === 0) return;
    const nowMs = clock.nowMs();
    expire(nowMs);
    const inOrder = [...waiters].sort((a, b) =>
      compareWaiting(a.need.waiting, b.need.waiting, nowMs),
    );
    const blocked = new Set<string>();
    for (const waiter of inOrder) {
      const {name} = waiter.need.service;
      if (blocked.has(name)) continue;
      const placed = tryPlace(waiter.need, aheadAtPeers(waiter.need));
      if (placed) settle(waiter, placed);
      else blocked.add(name);
    }
    if (waiters.length > 0) timer = clock.setTimer(PUMP_EVERY_MS, pump);
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
      timer ??= clock.setTimer(PUMP_EVERY_MS, pump);
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
      const ahead = aheadHere(need) + aheadAtPeers(need);
      const placed = tryPlace(need, ahead);
      if (placed) {
        host.onChange();
        return placed;
      }
      const waitMs = forecast(need);
      const nowMs = clock.nowMs();
      const retryAfterMs = findRetryAfterMs(need.waiting, waitMs, nowMs);
      if (retryAfterMs !== undefined) return refuse(need, retryAfterMs);
      return enqueue(need, cancellation);
    },
    bookChosen(need, chosen) {
      const placed = book(need, chosen);
      host.onChange();
      return placed;
    },
    placeAgain(need, avoid, wantsPrefill) {
      const traits = need.service.engine;
      const chosen =
        traits && engines.chooseAgain(need, traits, avoid, wantsPrefill);
      if (!chosen) return undefined;
      const placed = book(need, chosen);
      host.onChange();
      return placed;
    },
    prefillAgain(need, decode, avoid) {
      const engine = engines.choosePrefill(need.service.name, decode, avoid);
      return (
        engine && {engine, booking: bookPrefill(engine.id, need.promptTokens)}
      );
    },
    release(run) {
      books.endRun(run);
      host.onChange();
      if (waiters.length > 0) pump();
    },
    noteFailure(engineId) {
      candidates.noteFailure(engineId);
      host.onChange();
    },
    noteSuccess: candidates.noteSuccess,
    noteFull(engineId, forMs) {
      candidates.noteFull(engineId, forMs);
      host.onChange();
    },
    noteTaken: candidates.noteTaken,
    noteOtherRole(engineId) {
      candidates.noteOtherRole(engineId);
      host.onChange();
    },
    inOtherRole: candidates.inOtherRole,
    pump,
    pumpSoon,
    announcements: () =>
      waiters.map(({need}) => ({
        service: need.service.name,
        waiting: need.waiting,
      })),
    suspects: candidates.suspects,
    full: candidates.full,
  };
}
