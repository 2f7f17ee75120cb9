/**
 * Keeps the slots of plain services for the hosts of a group. Assigns them in
 * order, queues calls that can still be answered in time, and refuses others at
 * once. The balancer of this host thereby learns how the upstreams answer all
 * hosts.
 *
 * A slot whose end message was lost, or whose host died, expires after a few
 * times the usual duration of a call.
 */

import type {Clock, TimerHandle} from '../../ports/clock.js';
import type {Random} from '../../ports/random.js';
import type {
  PlainBalancer,
  PlainCallResult,
} from '../../scheduling/plain_balancer.js';
import {createCallLimit, type CallLimit} from './call_limit.js';
import type {OwnPart} from './own_part.js';
import type {SlotAnswer, SlotRequest, SlotEnd} from './slot_messages.js';
import {forecastSlotMs} from './slot_rules.js';
import type {Upstream} from '../../core/upstream.js';
import {
  compareWaiting,
  findRetryAfterMs,
  spreadRetryAfterMs,
  type Waiting,
} from '../placement/wait_rules.js';

export interface SlotServerHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly balancer: PlainBalancer;
  /** Upstreams of a service that take new calls. */
  open(service: string): readonly Upstream[];
  /** Calls that may run at the upstream at once. */
  maxCallsAt(upstream: Upstream): number;
  /**
   * Bounds the calls to all upstreams of a service together. Only for the calls
   * of this host itself, whose ends are never lost.
   */
  readonly part?: OwnPart;
  send(hostId: string, answer: SlotAnswer): void;
}

export interface SlotServer {
  receive(fromHostId: string, message: SlotRequest | SlotEnd): void;
  /** The host died; its slots are released. */
  forget(hostId: string): void;
  /** Number of calls that run or wait. */
  openCount(): number;
}

interface OpenCall {
  readonly fromHostId: string;
  readonly askId: number;
  readonly service: string;
  readonly avoid: ReadonlySet<string>;
  readonly waiting: Waiting;
  /** Set once the call has a slot. */
  upstreamId?: string;
  /** Calls at the upstream when this one began, including itself. */
  concurrency: number;
  expiry?: TimerHandle;
}

interface ServiceState {
  meanCallMs: number;
  queue: OpenCall[];
  readonly runs: Map<string, number>;
  readonly limit: CallLimit;
}

/** Assumed until calls have ended here. */
const INITIAL_CALL_MS = 40;
const SMOOTHING = 0.05;
/** One call in a hundred takes five times as long as the mean. */
const EXPIRY_CALL_FACTOR = 6;
const MIN_EXPIRY_MS = 250;
/** How often the queues are checked without any update. */
const QUEUE_CHECK_MS = 25;

export function createSlotServer(host: SlotServerHost): SlotServer {
  const {clock, random, balancer, part} = host;
  const calls = new Map<string, OpenCall>();
  const services = new Map<string, ServiceState>();
  let timer: TimerHandle | undefined;

  const keyOf = (hostId: string, askId: number) => `${hostId}/${askId}`;

  function stateOf(service: string): ServiceState {
    let state = services.get(service);
    if (!state) {
      state = {
        meanCallMs: INITIAL_CALL_MS,
        queue: [],
        runs: new Map(),
        limit: createCallLimit({clock}),
      };
      services.set(service, state);
    }
    return state;
  }

  const maxCallsAt = ({limit}: ServiceState, upstream: Upstream) =>
    limit.limit(host.maxCallsAt(upstream));

  function isFull(state: ServiceState, upstream: Upstream): boolean {
    return (state.runs.get(upstream.id) ?? 0) >= maxCallsAt(state, upstream);
  }

  /** Without room, the calls of a long queue need not be tried one by one. */
  function hasRoom(service: string, state: ServiceState): boolean {
    const runs = [...state.runs.values()].reduce((sum, n) => sum + n, 0);
    if (part && !part.mayStart(service, runs)) return false;
    return host.open(service).some(upstream => !isFull(state, upstream));
  }

  function sendAnswer(call: OpenCall): void {
    const {fromHostId, askId, upstreamId} = call;
    host.send(
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
    host.send(fromHostId, {kind: 'slot-refused', askId, retryAfterMs});
  }

  /** Assigns a slot to the call if an upstream has one. */
  function assignSlot(call: OpenCall): boolean {
    const state = stateOf(call.service);
    const excluded = host
      .open(call.service)
      .filter(each => call.avoid.has(each.id) || isFull(state, each))
      .map(({id}) => id);
    const picked = balancer.pick(call.service, new Set(excluded));
    if (!picked) return false;
    call.upstreamId = picked.upstreamId;
    balancer.started(call.service, picked.upstreamId);
    part?.noteStart(call.service);
    call.concurrency = (state.runs.get(picked.upstreamId) ?? 0) + 1;
    state.runs.set(picked.upstreamId, call.concurrency);
    if (!part) {
      const usualMs = EXPIRY_CALL_FACTOR * state.meanCallMs;
      const expiryMs = Math.max(MIN_EXPIRY_MS, usualMs);
      call.expiry = clock.setTimer(expiryMs, () => end(call, 'cancelled', 0));
    }
    sendAnswer(call);
    return true;
  }

  function end(
    call: OpenCall,
    result: PlainCallResult,
    durationMs: number,
    isFull = false,
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
        state.limit.record(call.concurrency, durationMs);
        part?.noteEnd(call.service, {kind: 'ok', durationMs});
      }
      if (isFull) part?.noteEnd(call.service, {kind: 'full'});
    }
    processQueues();
  }

  function forecastMs(call: OpenCall): number {
    const state = stateOf(call.service);
    const nowMs = clock.nowMs();
    const ahead = state.queue.filter(
      each => compareWaiting(each.waiting, call.waiting, nowMs) < 0,
    ).length;
    const maxCalls = Math.min(
      part?.maxCalls(call.service) ?? Infinity,
      host
        .open(call.service)
        .reduce((sum, each) => sum + maxCallsAt(state, each), 0),
    );
    return forecastSlotMs(ahead, {maxCalls, meanCallMs: state.meanCallMs});
  }

  function processQueue(service: string, state: ServiceState): void {
    const nowMs = clock.nowMs();
    const inOrder = [...state.queue].sort((a, b) =>
      compareWaiting(a.waiting, b.waiting, nowMs),
    );
    for (const call of inOrder) {
      if (nowMs > call.waiting.giveUpAtMs) {
        state.queue = state.queue.filter(each => each !== call);
        refuse(call, forecastMs(call));
      } else if (hasRoom(service, state) && assignSlot(call)) {
        state.queue = state.queue.filter(each => each !== call);
      }
    }
  }

  function processQueues(): void {
    if (timer) clock.clearTimer(timer);
    timer = undefined;
    let isWaiting = false;
    for (const [service, state] of services) {
      if (state.queue.length > 0) processQueue(service, state);
      isWaiting ||= state.queue.length > 0;
    }
    if (isWaiting) timer = clock.setTimer(QUEUE_CHECK_MS, processQueues);
  }

  function admit(fromHostId: string, request: SlotRequest): void {
    const nowMs = clock.nowMs();
    const call: OpenCall = {
      fromHostId,
      askId: request.askId,
      concurrency: 0,
      service: request.service,
      avoid: new Set(request.avoid),
      waiting: {
        arrivedAtMs: nowMs - request.ageMs,
        onTimeUntilMs: nowMs + request.onTimeMs,
        giveUpAtMs: nowMs + request.giveUpMs,
      },
    };
    calls.set(keyOf(fromHostId, request.askId), call);
    const state = stateOf(request.service);
    // Queued calls come first; they are assigned slots when other calls end.
    const isFirst = state.queue.length === 0;
    if (isFirst && hasRoom(call.service, state) && assignSlot(call)) return;
    const waitMs = forecastMs(call);
    const retryAfterMs = findRetryAfterMs(call.waiting, waitMs, nowMs);
    if (retryAfterMs !== undefined) return refuse(call, retryAfterMs);
    state.queue.push(call);
    sendAnswer(call);
    timer ??= clock.setTimer(QUEUE_CHECK_MS, processQueues);
  }

  return {
    receive(fromHostId, message) {
      const known = calls.get(keyOf(fromHostId, message.askId));
      switch (message.kind) {
        case 'slot-ask':
          if (known) sendAnswer(known);
          else admit(fromHostId, message);
          return;
        case 'slot-end':
          if (!known) return;
          end(known, message.result, message.durationMs, message.isFull);
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
