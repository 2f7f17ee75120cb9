/**
 * Asks the placer for engines, where many hosts share them. The placer is the
 * host that chooses engines for this host's group, and knows exactly what is
 * reserved and which requests wait.
 *
 * Hosts that decide by outdated data reserve the same room twice, and small
 * hosts cannot process each change of all others at once.
 *
 * A placer may be dead, frozen or cut off before the membership shows it. It
 * must acknowledge each request at once. If it does not, the standby is asked,
 * which receives the same announcements. If the standby does not either, this
 * host decides by its own, older data.
 */

import type {Clock, TimerHandle} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {Cancellation} from '../../ports/relay.js';
import type {EngineScheduler} from './engine_scheduler.js';
import type {PlacementOutcome, StreamNeed} from './placement_types.js';
import type {
  PlacementAnswer,
  PlacementRequest,
  PlacementMessage,
} from './placement_messages.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';

export interface PlacementClientHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly hostId: string;
  /**
   * Differs for each process start, so that answers to an earlier process are
   * not mistaken for answers to this one.
   */
  readonly firstAskId: number;
  readonly scheduler: EngineScheduler;
  readonly registry: UpstreamRegistry;
  /**
   * The placer and its standby in order of preference; empty where few hosts
   * share the engines.
   */
  placers(): readonly string[];
  send(hostId: string, message: PlacementMessage): void;
}

export interface PlacementClient {
  place(
    need: StreamNeed,
    cancellation: Cancellation,
  ): Promise<PlacementOutcome>;
  receive(fromHostId: string, answer: PlacementAnswer): void;
  /** The placer died; the requests that wait there are placed elsewhere. */
  forget(hostId: string): void;
  /** Ids of requests whose engines this host has reserved in its own load. */
  adoptedAskIds(): readonly number[];
}

/**
 * A small host answers within this time even in a burst; after it the datagram
 * is assumed lost and sent again.
 */
const RESEND_MS = 80;
/** How long datagrams that arrived during a suspension take to be read. */
const READ_MS = 25;
/** A placer that is silent for this long is skipped. */
const SILENCE_TIMEOUT_MS = 250;
/**
 * A queued request is sent again this often, to tell the placer that it still
 * waits and to check that it is still queued.
 */
const QUEUED_RESEND_MS = 300;
/** A skipped placer gets no requests for this long. */
const SKIP_MS = 600;
/**
 * The placer refuses a request that finds no engine by `giveUpAtMs`. If nothing
 * has arrived this long after it, the refusal is assumed lost.
 */
const REFUSAL_MARGIN_MS = 150;
/**
 * The id of a request whose engines are reserved is announced for this long, in
 * case an announcement is lost.
 */
const ANNOUNCE_ADOPTED_MS = 1_200;

/**
 * Result of a request to one placer: `silent` if it does not acknowledge,
 * `unknown` if it chose engines that take no requests according to this host's
 * list.
 */
type PlacerOutcome = PlacementOutcome | 'silent' | 'unknown';

interface PendingRequest {
  readonly need: StreamNeed;
  readonly placer: string;
  readonly resolve: (outcome: PlacerOutcome) => void;
  heardAtMs: number;
  isQueued: boolean;
}

export function createPlacementClient(
  host: PlacementClientHost,
): PlacementClient {
  const {clock, log, scheduler, registry} = host;
  const pending = new Map<number, PendingRequest>();
  const adoptedAtMs = new Map<number, number>();
  const skippedUntilMs = new Map<string, number>();
  let lastPlacer: string | undefined;
  let nextAskId = host.firstAskId;

  function toRequest(
    askId: number,
    {need, isQueued}: PendingRequest,
  ): PlacementRequest {
    const {waiting} = need;
    const nowMs = clock.nowMs();
    return {
      kind: 'ask',
      askId,
      requestId: need.requestId,
      service: need.service.name,
      promptTokens: need.promptTokens,
      expectedOutputTokens: Math.round(need.expectedOutputTokens),
      ageMs: Math.round(nowMs - waiting.arrivedAtMs),
      onTimeMs: Math.round(waiting.onTimeUntilMs - nowMs),
      giveUpMs: Math.round(waiting.giveUpAtMs - nowMs),
      startMs: Math.round(need.startMs),
      callerLeftMs: Math.round(need.callerLeftMs),
      priority: waiting.priority,
      // Saves bytes in the repeats of a queued request; a placer that has lost
      // it has lost the shares of the accounts, too.
      account: isQueued ? undefined : need.account,
      version: need.version,
    };
  }

  function requestFrom(
    placer: string,
    need: StreamNeed,
    cancellation: Cancellation,
  ): Promise<PlacerOutcome> {
    const askId = nextAskId++;
    return new Promise(resolve => {
      let timer: TimerHandle | undefined;
      const finish = (outcome: PlacerOutcome) => {
        if (!pending.delete(askId)) return;
        if (timer) clock.clearTimer(timer);
        resolve(outcome);
      };
      const request: PendingRequest = {
        need,
        placer,
        resolve: finish,
        heardAtMs: clock.nowMs(),
        isQueued: false,
      };
      const check = (dueMs: number) => {
        const nowMs = clock.nowMs();
        const lateMs = nowMs - dueMs;
        // This host was suspended; its timers run before it reads datagrams.
        if (lateMs >= RESEND_MS) {
          request.heardAtMs = Math.min(nowMs, request.heardAtMs + lateMs);
          return checkIn(READ_MS);
        }
        const isSilent =
          nowMs - request.heardAtMs >= SILENCE_TIMEOUT_MS + graceMs(request);
        if (isSilent || nowMs > need.waiting.giveUpAtMs + REFUSAL_MARGIN_MS) {
          host.send(placer, {kind: 'withdraw', askId});
          return finish('silent');
        }
        host.send(placer, toRequest(askId, request));
        checkIn(graceMs(request) + RESEND_MS);
      };
      const checkIn = (delayMs: number) => {
        const dueMs = clock.nowMs() + delayMs;
        timer = clock.setTimer(delayMs, () => check(dueMs));
      };
      pending.set(askId, request);
      cancellation.onCancel(() => {
        if (pending.has(askId)) host.send(placer, {kind: 'withdraw', askId});
        finish({kind: 'cancelled'});
      });
      if (pending.has(askId)) check(clock.nowMs());
    });
  }

  /**
   * Added to the time limits of a queued request, which is sent again less
   * often.
   */
  function graceMs({isQueued}: PendingRequest): number {
    return isQueued ? QUEUED_RESEND_MS : 0;
  }

  function skip(placer: string, need: StreamNeed): void {
    skippedUntilMs.set(placer, clock.nowMs() + SKIP_MS);
    log.warn('Placer does not answer.', {
      request: need.requestId,
      placer,
      ageMs: Math.round(clock.nowMs() - need.waiting.arrivedAtMs),
    });
  }

  function isSkipped(placer: string): boolean {
    return (skippedUntilMs.get(placer) ?? 0) > clock.nowMs();
  }

  /**
   * Reserves the chosen engines, unless they take no requests according to this
   * host's list.
   */
  function reserveChosen(
    answer: Extract<PlacementAnswer, {kind: 'placed'}>,
    need: StreamNeed,
  ): PlacementOutcome | 'unknown' {
    const {decode: decodeId, prefill: prefillId} = answer;
    const decode = registry.getOpen(decodeId);
    const prefill = prefillId ? registry.getOpen(prefillId) : undefined;
    const isKnown = decode && (prefill || !prefillId);
    if (!isKnown) return 'unknown';
    // A placer of an earlier build knows no versions.
    const {version = decode.version} = need;
    const isOfVersion = decode.version === version;
    if (!isOfVersion || (prefill && prefill.version !== version)) {
      return 'unknown';
    }
    adoptedAtMs.set(answer.askId, clock.nowMs());
    return scheduler.reserveChosen(need, {decode, prefill});
  }

  function logPlacerChange(placer: string | undefined): void {
    if (placer === lastPlacer) return;
    log.info('Placer changed.', {placer, before: lastPlacer});
    lastPlacer = placer;
  }

  return {
    async place(need, cancellation) {
      const placers = host.placers();
      logPlacerChange(placers.at(0));
      for (const placer of placers) {
        if (cancellation.isCancelled) return {kind: 'cancelled'};
        if (placer === host.hostId) break;
        if (isSkipped(placer)) continue;
        const outcome = await requestFrom(placer, need, cancellation);
        // The placer's list of upstreams differs from this host's, but the
        // placer works, so it is asked again for the next request.
        if (outcome === 'unknown') break;
        if (outcome !== 'silent') return outcome;
        skip(placer, need);
      }
      return scheduler.place(need, cancellation);
    },
    receive(fromHostId, answer) {
      const request = pending.get(answer.askId);
      if (!request || request.placer !== fromHostId) {
        // No request waits for this answer any more, so the placer can free the
        // room.
        if (answer.kind !== 'placed' || adoptedAtMs.has(answer.askId)) return;
        host.send(fromHostId, {kind: 'withdraw', askId: answer.askId});
        return;
      }
      request.heardAtMs = clock.nowMs();
      switch (answer.kind) {
        case 'queued':
          request.isQueued = true;
          return;
        case 'placed':
          request.resolve(reserveChosen(answer, request.need));
          return;
        case 'refused': {
          const {detail, retryAfterMs} = answer;
          const error = {kind: 'overloaded', detail, retryAfterMs} as const;
          request.resolve({kind: 'refused', error});
          return;
        }
      }
    },
    forget(hostId) {
      for (const request of [...pending.values()]) {
        if (request.placer === hostId) request.resolve('silent');
      }
    },
    adoptedAskIds() {
      const nowMs = clock.nowMs();
      for (const [askId, atMs] of adoptedAtMs) {
        if (nowMs - atMs > ANNOUNCE_ADOPTED_MS) adoptedAtMs.delete(askId);
      }
      return [...adoptedAtMs.keys()];
    },
  };
}
