/**
 * Sends orders that bring engines to their desired state. A lease selects one
 * sending host for each service; its epoch is the fencing token of the orders.
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
  /** Returns the desired states, most urgent first. */
  desired(): readonly DesiredState[];
  observed(engineId: string): ObservedState | undefined;
  order(
    engineId: string,
    order: EngineOrder,
    timeoutMs: number,
  ): Promise<OrderOutcome>;
  /** Returns the share of the weight store's rate for this service. */
  weightBytesPerSecond(): number;
}

export interface OrderGiverOptions extends OrderTiming {
  /** Name of the lease that entitles a host to send orders. */
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
  const weightLimit = createSpendLimit(clock, host.weightBytesPerSecond);
  const counts = {sent: 0, fenced: 0};
  let takenAtMs: number | undefined;
  let timer: TimerHandle | undefined;
  let unsubscribe = () => undefined as void;

  function getTerm(): OrderTerm | undefined {
    const held = leases.held().find(({name}) => name === options.leaseName);
    if (!held || takenAtMs === undefined) return undefined;
    return {takenAtMs, leftMs: held.leftMs};
  }

  function isPending(desired: DesiredState): boolean {
    const observed = host.observed(desired.engineId);
    return observed !== undefined && !observed.isDone(desired.action);
  }

  function sendDueOrders(): void {
    for (const desired of host.desired()) {
      const term = getTerm();
      if (!term) return;
      const isOrderDue = isDue(
        desired,
        host.observed(desired.engineId),
        sent.get(desired.engineId),
        getQuietUntilMs(term, options),
        clock.nowMs(),
        options,
      );
      if (isOrderDue && getOrderLifeMs(term, options) > 0)
        sendOrder(desired, term);
    }
  }

  function sendOrder(desired: DesiredState, term: OrderTerm): void {
    if (!weightLimit.spend(desired.costBytes)) return;
    // Read right before the send: if the lease expired during a pause of this
    // process, there is no fence and nothing is sent.
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
        log?.warn('Order rejected: an order with a newer fence was seen.', {
          engineId,
        });
        leases.nudge(options.leaseName);
        return;
      case 'failed':
        // These orders had no effect and may be retried in the next round. An
        // order that failed otherwise may have taken effect.
        if (outcome.reason === 'refused' || outcome.reason === 'unreachable') {
          sent.delete(engineId);
        }
        return;
    }
  }

  function tick(): void {
    timer = clock.setTimer(options.intervalMs, tick);
    sendDueOrders();
  }

  return {
    start() {
      unsubscribe = leases.changes.listen(change => {
        if (change.name !== options.leaseName) return;
        takenAtMs = change.kind === 'taken' ? clock.nowMs() : undefined;
        sent.clear();
      });
      leases.want(options.leaseName);
      timer = clock.setTimer(options.intervalMs * random.nextFloat(), tick);
    },
    stop() {
      unsubscribe();
      if (timer) clock.clearTimer(timer);
    },
    state: () => ({
      isOrderer: getTerm() !== undefined,
      ...counts,
      open: host.desired().filter(isPending).length,
    }),
  };
}
