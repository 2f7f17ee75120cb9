/**
 * The queue of one shard. Admits requests, grants them in order, and refuses a
 * request as soon as the forecast says that its grant would come too late.
 */

import {
  forecastWaitMs,
  readCapacity,
  retryAfter,
} from '../core/scheduling/admission.js';
import {takesNewWork, type PoolEngine} from '../core/scheduling/engine_pool.js';
import {place} from '../core/scheduling/placement.js';
import type {WorkAhead} from '../core/scheduling/wait_queue.js';
import type {TimerHandle} from '../ports/clock.js';
import type {GrantRefusal, GrantRequest} from '../ports/grants.js';
import type {GrantReply} from './dispatcher_types.js';
import type {GrantIssuer} from './grant_issuer.js';
import {prefillMsOn} from './request_estimates.js';
import {
  isRebuilding,
  type ShardState,
  type QueuedRequest,
} from './shard_state.js';

const MIN_GRANT_DELAY_MS = 2;
const LINK_RETRY_MS = 20;
/**
 * A queued request is dropped if its forecast start is later than its latest
 * start by more than this share of the time it had left to the first token when
 * it was queued.
 */
const DROP_LATE_SHARE = 0.25;

export interface GrantQueue {
  /** Queues, grants or refuses a request. */
  admit(queued: QueuedRequest): void;
  /** Grants queued requests in order until none fits. */
  grantQueued(): void;
  /** Refuses queued requests that the forecast shows to be late. */
  dropLate(): void;
  drop(
    queued: QueuedRequest,
    reason: GrantRefusal['reason'],
    lateMs: number,
  ): void;
  /** Refuses a request that isn't in the queue. */
  refuse(
    reply: GrantReply,
    reason: GrantRefusal['reason'],
    lateMs: number,
  ): void;
  stop(): void;
}

export function createGrantQueue(
  state: ShardState,
  issuer: GrantIssuer,
): GrantQueue {
  let grantTimer: TimerHandle | undefined;
  let isStopped = false;

  function refuse(
    reply: GrantReply,
    reason: GrantRefusal['reason'],
    lateMs: number,
  ): void {
    const retryAfterMs = retryAfter(lateMs, state.random.nextFloat());
    reply({kind: 'refused', reason, retryAfterMs});
  }

  function dropQueued(
    queued: QueuedRequest,
    reason: GrantRefusal['reason'],
    lateMs: number,
  ): void {
    if (state.queue.remove(queued)) refuse(queued.reply, reason, lateMs);
  }

  /**
   * Returns the engines without those on which the request failed, or all if no
   * other takes new work.
   */
  function withoutFailed(
    engines: readonly PoolEngine[],
    {avoidEngineIds = []}: GrantRequest,
  ): readonly PoolEngine[] {
    if (avoidEngineIds.length === 0) return engines;
    const others = engines.filter(
      engine => !avoidEngineIds.includes(engine.description.engineId),
    );
    return others.some(takesNewWork) ? others : engines;
  }

  function tryPlace(queued: QueuedRequest, held?: PoolEngine) {
    return place(
      withoutFailed(state.pool.prefill, queued.request),
      withoutFailed(state.pool.decode, queued.request),
      {
        promptKvBytes: queued.promptKvBytes,
        decodeKvBytes: queued.kvBytes,
        prefillMs: queued.prefillMs,
        prefillMsOn: engine => prefillMsOn(state, queued, engine),
      },
      state.policy,
      state.clock.nowMs(),
      held,
    );
  }

  function grantQueued(): void {
    if (isStopped) return;
    let index = 0;
    let held: PoolEngine | undefined;
    let smallestBlockedKv = Number.POSITIVE_INFINITY;
    let scanned = 0;
    while (index < state.queue.size() && scanned < state.policy.scanLimit) {
      const queued = state.queue.at(index);
      if (queued.latestStartMs < state.clock.nowMs()) {
        dropQueued(queued, 'not-feasible', 0);
        continue;
      }
      if (queued.kvBytes >= smallestBlockedKv) {
        scanned++;
        index++;
        continue;
      }
      const placement = tryPlace(queued, held);
      if (placement.kind === 'placed') {
        state.queue.remove(queued);
        issuer.issue(queued, placement);
        continue;
      }
      if (placement.by === 'prefill' || placement.by === 'no-engine') break;
      if (placement.by === 'decode') {
        smallestBlockedKv = queued.kvBytes;
        // The engine that will have room first is kept for the first request
        // that doesn't fit. Otherwise smaller requests could be granted before
        // it forever.
        held ??= placement.waitFor;
      }
      scanned++;
      index++;
    }
    scheduleGrants();
  }

  /**
   * Schedules another attempt, since no report says when a prefill engine
   * becomes free.
   */
  function scheduleGrants(): void {
    if (grantTimer || state.queue.size() === 0 || isStopped) return;
    const nowMs = state.clock.nowMs();
    let delayMs = LINK_RETRY_MS;
    for (const engine of state.pool.prefill) {
      if (engine.isLeaving || engine.share <= 0) continue;
      const freeInMs = engine.backlog.freeAtMs(nowMs) - nowMs;
      const roomInMs = freeInMs - state.policy.prefillAheadMs;
      if (roomInMs > 0) delayMs = Math.min(delayMs, roomInMs);
    }
    grantTimer = state.clock.setTimer(
      Math.max(MIN_GRANT_DELAY_MS, delayMs),
      () => {
        grantTimer = undefined;
        grantQueued();
      },
    );
  }

  /**
   * Finds the queued request to drop so that `account` gets its share: the last
   * one of the account with the highest use, if that is higher than the use of
   * `account`.
   */
  function findDisplaceable(account: string): QueuedRequest | undefined {
    const nowMs = state.clock.nowMs();
    const ownUse = state.shares.normalizedUse(account, nowMs);
    let mostUse = ownUse;
    let displaced: QueuedRequest | undefined;
    for (const other of state.queue.accounts()) {
      const use = state.shares.normalizedUse(other, nowMs);
      if (use <= mostUse) continue;
      mostUse = use;
      displaced = state.queue.ofAccount(other).at(-1);
    }
    return displaced;
  }

  function lateMsOf(queued: QueuedRequest, ahead: WorkAhead): number {
    const nowMs = state.clock.nowMs();
    const waitMs = forecastWaitMs(
      readCapacity(state.pool, nowMs),
      ahead,
      queued.kvBytes,
      state.model.meanHoldMs(),
    );
    return nowMs + waitMs - queued.latestStartMs;
  }

  function admit(queued: QueuedRequest): void {
    if (state.queue.size() >= state.options.maxQueued) {
      const displaced = state.policy.isFair
        ? findDisplaceable(queued.account)
        : undefined;
      if (!displaced) {
        refuse(queued.reply, 'queue-full', state.model.meanHoldMs());
        return;
      }
      dropQueued(displaced, 'queue-full', state.model.meanHoldMs());
    }
    if (state.policy.refuseEarly && !isRebuilding(state)) {
      const lateMs = lateMsOf(queued, state.queue.workBefore(queued.orderMs));
      if (lateMs > 0) {
        const displaced = state.policy.isFair
          ? findDisplaceable(queued.account)
          : undefined;
        if (!displaced || queued.latestStartMs < state.clock.nowMs()) {
          refuse(queued.reply, 'not-feasible', lateMs);
          return;
        }
        dropQueued(displaced, 'not-feasible', lateMs);
      }
    }
    state.queue.add(queued);
    if (state.queue.size() === 1 || state.queue.at(0) === queued) grantQueued();
    else scheduleGrants();
  }

  function dropLate(): void {
    if (state.queue.size() === 0 || !state.policy.refuseEarly) return;
    if (isRebuilding(state)) return;
    const nowMs = state.clock.nowMs();
    const capacity = readCapacity(state.pool, nowMs);
    const meanHoldMs = state.model.meanHoldMs();
    let count = 0;
    let prefillMs = 0;
    let kvBytes = 0;
    const late: {waiting: QueuedRequest; lateMs: number}[] = [];
    for (const waiting of state.queue.items()) {
      const ahead = {count, prefillMs, kvBytes};
      const waitMs = forecastWaitMs(
        capacity,
        ahead,
        waiting.kvBytes,
        meanHoldMs,
      );
      const slackMs = waiting.latestStartMs - nowMs;
      const allowedMs = slackMs + DROP_LATE_SHARE * waiting.request.ttftLeftMs;
      if (slackMs < 0 || waitMs > allowedMs) {
        late.push({waiting, lateMs: waitMs - slackMs});
        continue;
      }
      count++;
      prefillMs += waiting.prefillMs;
      kvBytes += waiting.kvBytes;
    }
    for (const each of late) {
      dropQueued(each.waiting, 'not-feasible', each.lateMs);
    }
  }

  return {
    admit,
    grantQueued,
    dropLate,
    drop: dropQueued,
    refuse,
    stop() {
      isStopped = true;
      if (grantTimer) state.clock.clearTimer(grantTimer);
      for (const queued of [...state.queue.items()]) {
        dropQueued(queued, 'home-moved', 0);
      }
    },
  };
}
