/**
 * Pure rules of orders to upstreams: which desired states need an order, and
 * when an order may be sent under a lease.
 *
 * Engines that check fences reject an order with an older fence. For other
 * engines, an order is valid only within the sender's lease; a new holder waits
 * for the longest validity of an order and then for a fresh report before it
 * sends one. A risk remains: if a sender is paused between its check and the
 * send, its order arrives late, its validity begins on arrival, and an engine
 * without fence checks runs it. See docs/design/orders.md.
 */

import type {EngineOrder} from '../ports/engine.js';

export type OrderAction = EngineOrder['action'];

/** The state that an engine should reach, and the action for it. */
export interface DesiredState {
  readonly engineId: string;
  readonly action: OrderAction;
  /** Bytes read from the weight store by the action; 0 for none. */
  readonly costBytes: number;
}

/** The last reported state of an engine. */
export interface ObservedState {
  readonly engineId: string;
  /** Time at which the report was requested, on this host's clock. */
  readonly askedAtMs: number;
  readonly leaving: boolean;
  /** Whether the result of the action is observed. */
  isDone(action: OrderAction): boolean;
}

/** An order sent by this host whose effect is not observed yet. */
export interface SentOrder {
  readonly sentAtMs: number;
  readonly action: OrderAction;
}

export interface OrderTiming {
  /** Longest validity of an order. */
  readonly orderLifeMs: number;
  readonly clockRateError: number;
  /** An order without effect is sent again after this time. */
  readonly effectWaitMs: number;
  /** Whether the engines reject an older fence. */
  readonly enginesCheckFences: boolean;
}

export interface OrderTerm {
  /** When this host acquired the lease, on its own clock. */
  readonly takenAtMs: number;
  /** Remaining time of the lease. */
  readonly leftMs: number;
}

/** Returns when a new holder may send orders. */
export function getQuietUntilMs(term: OrderTerm, timing: OrderTiming): number {
  if (timing.enginesCheckFences) return term.takenAtMs;
  const lifeMs = timing.orderLifeMs * (1 + timing.clockRateError);
  return term.takenAtMs + lifeMs;
}

/** Returns the validity of an order sent now; 0 if it must not be sent. */
export function getOrderLifeMs(term: OrderTerm, timing: OrderTiming): number {
  if (timing.enginesCheckFences) return timing.orderLifeMs;
  // The order must expire within the lease on the engine's clock as well.
  const withinLeaseMs = term.leftMs * (1 - timing.clockRateError);
  return Math.floor(Math.min(timing.orderLifeMs, withinLeaseMs));
}

/** Whether an order should be sent now. */
export function isDue(
  desired: DesiredState,
  observed: ObservedState | undefined,
  sent: SentOrder | undefined,
  quietUntilMs: number,
  nowMs: number,
  timing: OrderTiming,
): boolean {
  if (!observed || observed.leaving) return false;
  if (nowMs < quietUntilMs || observed.askedAtMs < quietUntilMs) return false;
  if (observed.isDone(desired.action)) return false;
  const isSame =
    sent && JSON.stringify(sent.action) === JSON.stringify(desired.action);
  return !isSame || nowMs - sent.sentAtMs >= timing.effectWaitMs;
}
