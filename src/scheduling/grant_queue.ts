/**
 * The queue of one shard: who is let in, who gets the next grant, and who is
 * refused as soon as it is known that the grant would come too late.
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
import type {GrantGiver} from './grant_giver.js';
import {prefillMsOn} from './request_estimates.js';
import {isRebuilding, type ShardState, type Waiting} from './shard_state.js';

const MIN_PUMP_DELAY_MS = 2;
const LINK_RETRY_MS = 20;
/** A waiting request is dropped once its forecast is late by this much. */
const DROP_LATE_SHARE = 0.25;

export interface GrantQueue {
  /** Queues, grants or refuses a request. */
  admit(waiting: Waiting): void;
  /** Gives grants to waiting requests, in order, until none fits. */
  pump(): void;
  /** Drops what the forecast says will be late, as soon as it says so. */
  dropLate(): void;
  drop(waiting: Waiting, reason: GrantRefusal['reason'], lateMs: number): void;
  /** Refuses a request that never got into the queue. */
  refuse(
    reply: GrantReply,
    reason: GrantRefusal['reason'],
    lateMs: number,
  ): void;
  stop(): void;
}

export function createGrantQueue(
  state: ShardState,
  giver: GrantGiver,
): GrantQueue {
  let pumpTimer: TimerHandle | undefined;
  let isStopped = false;

  function refuse(
    reply: GrantReply,
    reason: GrantRefusal['reason'],
    lateMs: number,
  ): void {
    const retryAfterMs = retryAfter(lateMs, state.random.nextFloat());
    reply({kind: 'refused', reason, retryAfterMs});
  }

  function dropWaiting(
    waiting: Waiting,
    reason: GrantRefusal['reason'],
    lateMs: number,
  ): void {
    if (state.queue.remove(waiting)) refuse(waiting.reply, reason, lateMs);
  }

  /** Without the engines that failed the request, while there are others. */
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

  function tryPlace(waiting: Waiting, held?: PoolEngine) {
    return place(
      withoutFailed(state.pool.prefill, waiting.request),
      withoutFailed(state.pool.decode, waiting.request),
      {
        promptKvBytes: waiting.promptKvBytes,
        decodeKvBytes: waiting.kvBytes,
        prefillMs: waiting.prefillMs,
        prefillMsOn: engine => prefillMsOn(state, waiting, engine),
      },
      state.policy,
      state.clock.nowMs(),
      held,
    );
  }

  /** Gives grants to waiting requests, in order, until none fits. */
  function pump(): void {
    if (isStopped) return;
    let index = 0;
    let held: PoolEngine | undefined;
    let smallestBlockedKv = Number.POSITIVE_INFINITY;
    let scanned = 0;
    while (index < state.queue.size() && scanned < state.policy.scanLimit) {
      const waiting = state.queue.at(index);
      if (waiting.latestStartMs < state.clock.nowMs()) {
        dropWaiting(waiting, 'not-feasible', 0);
        continue;
      }
      if (waiting.kvBytes >= smallestBlockedKv) {
        scanned++;
        index++;
        continue;
      }
      const placement = tryPlace(waiting, held);
      if (placement.kind === 'placed') {
        state.queue.remove(waiting);
        giver.give(waiting, placement);
        continue;
      }
      if (placement.by === 'prefill' || placement.by === 'no-engine') break;
      if (placement.by === 'decode') {
        smallestBlockedKv = waiting.kvBytes;
        // The first that does not fit keeps the engine that will have room
        // first, or smaller ones would pass it for ever.
        held ??= placement.waitFor;
      }
      scanned++;
      index++;
    }
    schedulePump();
  }

  /** Prefill engines get free as time passes, without any report. */
  function schedulePump(): void {
    if (pumpTimer || state.queue.size() === 0 || isStopped) return;
    const nowMs = state.clock.nowMs();
    let delayMs = LINK_RETRY_MS;
    for (const engine of state.pool.prefill) {
      if (engine.isLeaving || engine.share <= 0) continue;
      const freeInMs = engine.backlog.freeAtMs(nowMs) - nowMs;
      const roomInMs = freeInMs - state.policy.prefillAheadMs;
      if (roomInMs > 0) delayMs = Math.min(delayMs, roomInMs);
    }
    pumpTimer = state.clock.setTimer(
      Math.max(MIN_PUMP_DELAY_MS, delayMs),
      () => {
        pumpTimer = undefined;
        pump();
      },
    );
  }

  /** The waiting request to drop so that `account` gets its share. */
  function findDisplaceable(account: string): Waiting | undefined {
    const nowMs = state.clock.nowMs();
    const ownUse = state.shares.normalizedUse(account, nowMs);
    let mostUse = ownUse;
    let victim: Waiting | undefined;
    for (const other of state.queue.accounts()) {
      const use = state.shares.normalizedUse(other, nowMs);
      if (use <= mostUse) continue;
      mostUse = use;
      victim = state.queue.ofAccount(other).at(-1);
    }
    return victim;
  }

  function lateMsOf(waiting: Waiting, ahead: WorkAhead): number {
    const nowMs = state.clock.nowMs();
    const waitMs = forecastWaitMs(
      readCapacity(state.pool, nowMs),
      ahead,
      waiting.kvBytes,
      state.model.meanHoldMs(),
    );
    return nowMs + waitMs - waiting.latestStartMs;
  }

  function admit(waiting: Waiting): void {
    if (state.queue.size() >= state.options.maxQueued) {
      const victim = state.policy.isFair
        ? findDisplaceable(waiting.account)
        : undefined;
      if (!victim) {
        refuse(waiting.reply, 'queue-full', state.model.meanHoldMs());
        return;
      }
      dropWaiting(victim, 'queue-full', state.model.meanHoldMs());
    }
    if (state.policy.refuseEarly && !isRebuilding(state)) {
      const lateMs = lateMsOf(waiting, state.queue.workBefore(waiting.orderMs));
      if (lateMs > 0) {
        const victim = state.policy.isFair
          ? findDisplaceable(waiting.account)
          : undefined;
        if (!victim || waiting.latestStartMs < state.clock.nowMs()) {
          refuse(waiting.reply, 'not-feasible', lateMs);
          return;
        }
        dropWaiting(victim, 'not-feasible', lateMs);
      }
    }
    state.queue.add(waiting);
    if (state.queue.size() === 1 || state.queue.at(0) === waiting) pump();
    else schedulePump();
  }

  /** Drops what the forecast says will be late, as soon as it says so. */
  function dropLate(): void {
    if (state.queue.size() === 0 || !state.policy.refuseEarly) return;
    if (isRebuilding(state)) return;
    const nowMs = state.clock.nowMs();
    const capacity = readCapacity(state.pool, nowMs);
    const meanHoldMs = state.model.meanHoldMs();
    let count = 0;
    let prefillMs = 0;
    let kvBytes = 0;
    const late: {waiting: Waiting; lateMs: number}[] = [];
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
      dropWaiting(each.waiting, 'not-feasible', each.lateMs);
    }
  }

  return {
    admit,
    pump,
    dropLate,
    drop: dropWaiting,
    refuse,
    stop() {
      isStopped = true;
      if (pumpTimer) state.clock.clearTimer(pumpTimer);
      for (const waiting of [...state.queue.items()]) {
        dropWaiting(waiting, 'home-moved', 0);
      }
    },
  };
}
