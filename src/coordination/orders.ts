/**
 * Brings engines to their desired state: one orderer for each service, by
 * lease, with the lease's epoch as fencing number.
 */

import type {Clock, TimerHandle} from '../ports/clock.js';
import type {EngineOrder, OrderOutcome} from '../ports/engine.js';
import type {Logger} from '../ports/log.js';
import type {Random} from '../ports/random.js';
import {createSpendLimit} from './fair_share.js';
import type {LeaseKeeper} from './lease.js';
import {
  getOrderLifeMs,
  getQuietUntilMs,
  isDue,
  type DesiredState,
  type ObservedState,
  type OrderTerm,
  type OrderTiming,
  type SentOrder,
} from './order_rules.js';

export type {DesiredState, ObservedState, OrderAction} from './order_rules.js';

export interface OrderGiverHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly leases: LeaseKeeper;
  readonly log?: Logger;
  /** In order of urgency. */
  desired(): readonly DesiredState[];
  observed(engineId: string): ObservedState | undefined;
  order(
    engineId: string,
    order: EngineOrder,
    timeoutMs: number,
  ): Promise<OrderOutcome>;
  /** Part of the weight store's rate that this service may use now. */
  weightBytesPerSecond(): number;
}

export interface OrderGiverOptions extends OrderTiming {
  /** The lease that makes this host the orderer. */
  readonly leaseName: string;
  readonly intervalMs: number;
  readonly orderTimeoutMs: number;
}

export interface OrderGiverState {
  readonly isOrderer: boolean;
  readonly sent: number;
  readonly fenced: number;
  /** Desired states that are not observed yet. */
  readonly open: number;
}

export interface OrderGiver {
  start(): void;
  stop(): void;
  state(): OrderGiverState;
}

export function createOrderGiver(
  host: OrderGiverHost,
  options: OrderGiverOptions,
): OrderGiver {
  const {clock, random, leases, log} = host;
  const sent = new Map<string, SentOrder>();
  const weights = createSpendLimit(clock, host.weightBytesPerSecond);
  const counts = {sent: 0, fenced: 0};
  let takenAtMs: number | undefined;
  let timer: TimerHandle | undefined;
  let unlisten = () => undefined as void;

  function getTerm(): OrderTerm | undefined {
    const held = leases.held().find(({name}) => name === options.leaseName);
    if (!held || takenAtMs === undefined) return undefined;
    return {takenAtMs, leftMs: held.leftMs};
  }

  function isOpen(desired: DesiredState): boolean {
    const observed = host.observed(desired.engineId);
    return observed !== undefined && !observed.isDone(desired.action);
  }

  function giveDueOrders(): void {
    for (const desired of host.desired()) {
      const term = getTerm();
      if (!term) return;
      const isNow = isDue(
        desired,
        host.observed(desired.engineId),
        sent.get(desired.engineId),
        getQuietUntilMs(term, options),
        clock.nowMs(),
        options,
      );
      if (isNow && getOrderLifeMs(term, options) > 0) giveOrder(desired, term);
    }
  }

  function giveOrder(desired: DesiredState, term: OrderTerm): void {
    if (!weights.spend(desired.costBytes)) return;
    // Asked for last, right before the send: a holder that was paused up to
    // here has no fence and sends nothing.
    const fence = leases.currentFence(options.leaseName);
    if (!fence) return;
    const {engineId, action} = desired;
    sent.set(engineId, {sentAtMs: clock.nowMs(), action});
    counts.sent++;
    const order: EngineOrder = {
      orderId: random.nextId(),
      fence: fence.epoch,
      lifeMs: getOrderLifeMs(term, options),
      action,
    };
    void host
      .order(engineId, order, options.orderTimeoutMs)
      .then(outcome => record(engineId, outcome));
  }

  function record(engineId: string, outcome: OrderOutcome): void {
    switch (outcome.kind) {
      case 'accepted':
        return;
      case 'fenced':
        counts.fenced++;
        log?.warn('Order refused: a newer orderer acts.', {engineId});
        leases.nudge(options.leaseName);
        return;
      case 'failed':
        // Nothing is held by these, so the next round may try again. Others
        // may have taken effect; the report tells.
        if (outcome.reason === 'refused' || outcome.reason === 'unreachable') {
          sent.delete(engineId);
        }
        return;
    }
  }

  function tick(): void {
    timer = clock.setTimer(options.intervalMs, tick);
    giveDueOrders();
  }

  return {
    start() {
      unlisten = leases.changes.listen(change => {
        if (change.name !== options.leaseName) return;
        takenAtMs = change.kind === 'taken' ? clock.nowMs() : undefined;
        sent.clear();
      });
      leases.want(options.leaseName);
      timer = clock.setTimer(options.intervalMs * random.nextFloat(), tick);
    },
    stop() {
      unlisten();
      if (timer) clock.clearTimer(timer);
    },
    state: () => ({
      isOrderer: getTerm() !== undefined,
      ...counts,
      open: host.desired().filter(isOpen).length,
    }),
  };
}
