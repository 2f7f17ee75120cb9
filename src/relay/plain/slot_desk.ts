/**
 * Keeps the slots of plain services for the hosts of a group: gives them out
 * in order, lets calls wait that can still be of use, and refuses others at
 * once. The balancer learns here how the upstreams answer all hosts.
 *
 * Guards against slots that stay given: an end that was lost, or whose entry
 * died, frees its slot after a few times the usual duration of a call.
 */

import type {Clock, TimerHandle} from '../../ports/clock.js';
import type {Random} from '../../ports/random.js';
import type {
  PlainBalancer,
  PlainCallResult,
} from '../../scheduling/plain_balancer.js';
import {createCallLimit, type CallLimit} from './call_limit.js';
import type {SlotAnswer, SlotAsk, SlotEnd} from './slot_messages.js';
import {forecastSlotMs, mostCalls} from './slot_rules.js';
import type {Upstream} from '../../core/upstream.js';
import {
  compareWaiting,
  findRetryAfterMs,
  spreadRetryAfterMs,
  type Waiting,
} from '../placement/wait_rules.js';

export interface SlotDeskHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly balancer: PlainBalancer;
  /** Upstreams of a service that take new calls. */
  open(service: string): readonly Upstream[];
  /** Hosts that keep slots of the same upstreams, this one counted. */
  keeperCount(): number;
  tell(hostId: string, answer: SlotAnswer): void;
}

export interface SlotDesk {
  receive(fromHostId: string, message: SlotAsk | SlotEnd): void;
  /** The host died; what it was given is free. */
  forget(hostId: string): void;
  /** Calls that run or wait. */
  openCount(): number;
}

interface OpenCall {
  readonly fromHostId: string;
  readonly askId: number;
  readonly service: string;
  readonly avoid: ReadonlySet<string>;
  readonly waiting: Waiting;
  /** Set once it has a slot. */
  upstreamId?: string;
  /** Calls at the upstream when this one began, itself counted. */
  atOnce: number;
  expiry?: TimerHandle;
}

interface ServiceState {
  meanCallMs: number;
  queue: OpenCall[];
  readonly runs: Map<string, number>;
  readonly limit: CallLimit;
}

/** Until calls have ended here. */
const FIRST_CALL_MS = 40;
const SMOOTHING = 0.05;
/** One call in a hundred takes five times as long as the mean. */
const LOST_AFTER_CALLS = 6;
const LOST_AFTER_MS = 250;
/** How often those that wait are looked at without any news. */
const PUMP_EVERY_MS = 25;

export function createSlotDesk(host: SlotDeskHost): SlotDesk {
  const {clock, random, balancer} = host;
  const calls = new Map<string, OpenCall>();
  const services = new Map<string, ServiceState>();
  let timer: TimerHandle | undefined;

  const keyOf = (hostId: string, askId: number) => `${hostId}/${askId}`;

  function stateOf(service: string): ServiceState {
    let state = services.get(service);
    if (!state) {
      state = {
        meanCallMs: FIRST_CALL_MS,
        queue: [],
        runs: new Map(),
        limit: createCallLimit({clock}),
      };
      services.set(service, state);
    }
    return state;
  }

  const mostOf = ({limit}: ServiceState, {slots}: Upstream) =>
    limit.limit(mostCalls(slots, host.keeperCount()));

  function isFull(state: ServiceState, upstream: Upstream): boolean {
    return (state.runs.get(upstream.id) ?? 0) >= mostOf(state, upstream);
  }

  function answer(call: OpenCall): void {
    const {fromHostId, askId, upstreamId} = call;
    host.tell(
      fromHostId,
      upstreamId === undefined
        ? {kind: 'slot-queued', askId}
        : {kind: 'slot-given', askId, upstream: upstreamId},
    );
  }

  function refuse(call: OpenCall, waitMs: number): void {
    const {fromHostId, askId, waiting} = call;
    calls.delete(keyOf(fromHostId, askId));
    const leftMs = Math.max(0, waiting.giveUpAtMs - clock.nowMs());
    const retryAfterMs = Math.round(
      spreadRetryAfterMs(waitMs, leftMs, random.nextFloat()),
    );
    host.tell(fromHostId, {kind: 'slot-refused', askId, retryAfterMs});
  }

  /** Gives the call a slot if an upstream has one. */
  function give(call: OpenCall): boolean {
    const state = stateOf(call.service);
    const excluded = host
      .open(call.service)
      .filter(each => call.avoid.has(each.id) || isFull(state, each))
      .map(({id}) => id);
    const picked = balancer.pick(call.service, new Set(excluded));
    if (!picked) return false;
    call.upstreamId = picked.upstreamId;
    balancer.started(call.service, picked.upstreamId);
    call.atOnce = (state.runs.get(picked.upstreamId) ?? 0) + 1;
    state.runs.set(picked.upstreamId, call.atOnce);
    const lostAfterMs = Math.max(
      LOST_AFTER_MS,
      LOST_AFTER_CALLS * state.meanCallMs,
    );
    call.expiry = clock.setTimer(lostAfterMs, () => end(call, 'cancelled', 0));
    answer(call);
    return true;
  }

  function end(
    call: OpenCall,
    result: PlainCallResult,
    durationMs: number,
  ): void {
    const state = stateOf(call.service);
    calls.delete(keyOf(call.fromHostId, call.askId));
    state.queue = state.queue.filter(each => each !== call);
    if (call.expiry) clock.clearTimer(call.expiry);
    if (call.upstreamId !== undefined) {
      const left = (state.runs.get(call.upstreamId) ?? 1) - 1;
      if (left > 0) state.runs.set(call.upstreamId, left);
      else state.runs.delete(call.upstreamId);
      balancer.ended(call.service, call.upstreamId, result, durationMs);
      if (result === 'ok') {
        state.meanCallMs += SMOOTHING * (durationMs - state.meanCallMs);
        state.limit.note(call.atOnce, durationMs);
      }
    }
    pump();
  }

  function forecast(call: OpenCall): number {
    const state = stateOf(call.service);
    const nowMs = clock.nowMs();
    const ahead = state.queue.filter(
      each => compareWaiting(each.waiting, call.waiting, nowMs) < 0,
    ).length;
    const most = host
      .open(call.service)
      .reduce((sum, each) => sum + mostOf(state, each), 0);
    return forecastSlotMs(ahead, {most, meanCallMs: state.meanCallMs});
  }

  function pumpService(state: ServiceState): void {
    const nowMs = clock.nowMs();
    const inOrder = [...state.queue].sort((a, b) =>
      compareWaiting(a.waiting, b.waiting, nowMs),
    );
    for (const call of inOrder) {
      if (nowMs > call.waiting.giveUpAtMs) {
        state.queue = state.queue.filter(each => each !== call);
        refuse(call, forecast(call));
      } else if (give(call)) {
        state.queue = state.queue.filter(each => each !== call);
      }
    }
  }

  function pump(): void {
    if (timer) clock.clearTimer(timer);
    timer = undefined;
    let isWaiting = false;
    for (const state of services.values()) {
      if (state.queue.length > 0) pumpService(state);
      isWaiting ||= state.queue.length > 0;
    }
    if (isWaiting) timer = clock.setTimer(PUMP_EVERY_MS, pump);
  }

  function take(fromHostId: string, ask: SlotAsk): void {
    const nowMs = clock.nowMs();
    const call: OpenCall = {
      fromHostId,
      askId: ask.askId,
      atOnce: 0,
      service: ask.service,
      avoid: new Set(ask.avoid),
      waiting: {
        arrivedAtMs: nowMs - ask.ageMs,
        onTimeUntilMs: nowMs + ask.onTimeMs,
        giveUpAtMs: nowMs + ask.giveUpMs,
      },
    };
    calls.set(keyOf(fromHostId, ask.askId), call);
    const state = stateOf(ask.service);
    // Those that wait come first; their turn comes with the next end.
    if (state.queue.length === 0 && give(call)) return;
    const waitMs = forecast(call);
    const retryAfterMs = findRetryAfterMs(call.waiting, waitMs, nowMs);
    if (retryAfterMs !== undefined) return refuse(call, retryAfterMs);
    state.queue.push(call);
    answer(call);
    timer ??= clock.setTimer(PUMP_EVERY_MS, pump);
  }

  return {
    receive(fromHostId, message) {
      const known = calls.get(keyOf(fromHostId, message.askId));
      switch (message.kind) {
        case 'slot-ask':
          if (known) answer(known);
          else take(fromHostId, message);
          return;
        case 'slot-end':
          if (known) end(known, message.result, message.durationMs);
          return;
      }
    },
    forget(hostId) {
      for (const call of [...calls.values()]) {
        if (call.fromHostId === hostId) end(call, 'cancelled', 0);
      }
    },
    openCount: () => calls.size,
  };
}
