/**
 * Pure rules of orders to upstreams: what differs from the desired state, and
 * when an order may be sent under a lease.
 *
 * Engines that check fences refuse a former orderer by its older fence. For
 * engines that do not, an order lives only within the sender's lease, and a
 * successor waits out the longest life of an order and then looks at a fresh
 * report before it acts. What stays is a sender that is paused between its
 * check and the send: its order arrives late, its life begins on arrival, and
 * such an engine runs it. See docs/design/orders.md.
 */

import type {EngineOrder} from '../ports/engine.js';

export type OrderAction = EngineOrder['action'];

/** Something that an engine should have or be. */
export interface DesiredState {
  readonly engineId: string;
  readonly action: OrderAction;
  /** Read from the weight store to get there; 0 for none. */
  readonly costBytes: number;
}

/** How an engine was last seen. */
export interface ObservedState {
  readonly engineId: string;
  /** On this host's clock, when the report was asked for. */
  readonly askedAtMs: number;
  readonly leaving: boolean;
  /** Whether the action's result is there. */
  isDone(action: OrderAction): boolean;
}

/** An order sent by this host whose effect is not seen yet. */
export interface SentOrder {
  readonly sentAtMs: number;
  readonly action: OrderAction;
}

export interface OrderTiming {
  /** Longest life of an order. */
  readonly orderLifeMs: number;
  readonly clockRateError: number;
  /** After this, an order without effect is given again. */
  readonly effectWaitMs: number;
  /** Whether the engines refuse an older fence. */
  readonly enginesCheckFences: boolean;
}

export interface OrderTerm {
  /** When this host took the lease, on its own clock. */
  readonly takenAtMs: number;
  /** How long it may still act. */
  readonly leftMs: number;
}

/** From when a new orderer may act on engines that ignore fences. */
export function getQuietUntilMs(term: OrderTerm, timing: OrderTiming): number {
  if (timing.enginesCheckFences) return term.takenAtMs;
  const lifeMs = timing.orderLifeMs * (1 + timing.clockRateError);
  return term.takenAtMs + lifeMs;
}

/** Life to give an order sent now; 0: do not send. */
export function getOrderLifeMs(term: OrderTerm, timing: OrderTiming): number {
  if (timing.enginesCheckFences) return timing.orderLifeMs;
  // Ends within the lease by the engine's clock as well as by ours.
  const insideMs = term.leftMs * (1 - timing.clockRateError);
  return Math.floor(Math.min(timing.orderLifeMs, insideMs));
}

/** Whether an order should be given now. */
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
