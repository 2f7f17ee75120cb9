/**
 * Keeps the slots of plain services for the hosts of a group. Assigns them in
 * order, queues calls that can still be answered in time, and refuses others at
 * once. The balancer of this host thereby learns how the upstreams answer all
 * hosts.
 */

import type {Clock, TimerHandle} from '../../ports/clock.js';
import type {Random} from '../../ports/random.js';
import type {PlainBalancer} from '../../scheduling/plain_balancer.js';
import type {OwnPart} from './own_part.js';
import {createSlotExpiry} from './slot_expiry.js';
import {
  createServiceState,
  type OpenCall,
  type ServiceState,
} from './service_state.js';
import type {SlotAnswer, SlotRequest, SlotEnd} from './slot_messages.js';
import {createResetBackoff} from './reset_backoff.js';
import {createResetMemory} from './reset_memory.js';
import {
  forecastSlotMs,
  isTooSlowFor,
  readAccount,
  readCallWaiting,
  type SlotLoad,
} from './slot_rules.js';
import type {Upstream} from '../../core/upstream.js';
import {compareWaiting, findRetryAfterMs} from '../placement/wait_rules.js';

export interface SlotServerHost {
  readonly hostId: string;
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
  /** Priority of a request whose host did not state one. */
  leastUrgent?(service: string): number | undefined;
  /** The account uses more than its share of the service; absent for never. */
  isOverShare?(service: string, account: string): boolean;
  /** A call of the account was given a slot. */
  onStarted?(service: string, account: string): void;
  send(hostId: string, answer: SlotAnswer): void;
}

export interface SlotServer {
  receive(fromHostId: string, message: SlotRequest | SlotEnd): void;
  /** The host died; its slots are released. */
  forget(hostId: string): void;
  /** Number of calls that run or wait. */
  openCount(): number;
}

type CallEnd = Omit<SlotEnd, 'kind' | 'askId'>;

const CANCELLED: CallEnd = {result: 'cancelled', durationMs: 0};
const SMOOTHING = 0.05;
/** One call in a hundred takes five times as long as the mean. */
const EXPIRY_CALL_FACTOR = 6;
const MIN_EXPIRY_MS = 250;
/** How often the queues are checked without any update. */
const QUEUE_CHECK_MS = 25;
/**
 * How long an upstream that refused gets no calls, in mean durations: its six
 * or so slots have then become free once.
 */
const FULL_CALLS = 1;
/** A forecast that is wrong for a moment must not cause a refusal. */
const HOPELESS_MS = 100;
/**
 * Calls that another keeper has started, or this host before a restart, may run
 * when the first request arrives. Nearly all of them end within this time.
 */
const UNKNOWN_CALLS_MS = 1_000;

export function createSlotServer(host: SlotServerHost): SlotServer {
  const {clock, balancer, part} = host;
  const calls = new Map<string, OpenCall>();
  const services = new Map<string, ServiceState>();
  const resets = createResetMemory({clock});
  const backoff = createResetBackoff({clock});
  const expiry = createSlotExpiry(host);
  let timer: TimerHandle | undefined;

  const keyOf = (hostId: string, askId: number) => `${hostId}/${askId}`;

  function stateOf(service: string): ServiceState {
    const state = services.get(service) ?? createServiceState(host);
    services.set(service, state);
    return state;
  }

  function maxCallsAt(state: ServiceState, upstream: Upstream): number {
    const maxCalls = state.slow.limit(
      upstream.id,
      state.limit.limit(host.maxCallsAt(upstream)),
    );
    const isHalf = clock.nowMs() < state.unknownUntilMs;
    return isHalf ? Math.max(1, Math.floor(maxCalls / 2)) : maxCalls;
  }

  function isFull(state: ServiceState, upstream: Upstream): boolean {
    if (clock.nowMs() < (state.fullUntilMs.get(upstream.id) ?? 0)) return true;
    const maxCalls = backoff.limit(upstream.id, maxCallsAt(state, upstream));
    return (state.runs.get(upstream.id) ?? 0) >= maxCalls;
  }

  function hasRoom(service: string, state: ServiceState): boolean {
    const runs = [...state.runs.values()].reduce((sum, n) => sum + n, 0);
    if (part && !part.mayStart(service, runs)) return false;
    return host.open(service).some(upstream => !isFull(state, upstream));
  }

  function sendAnswer(call: OpenCall): void {
    const {fromHostId, askId, upstreamId: upstream} = call;
    if (upstream === undefined) {
      host.send(fromHostId, {kind: 'slot-queued', askId});
      return;
    }
    const isResetting = resets.isResetting(upstream) || undefined;
    host.send(fromHostId, {kind: 'slot-given', askId, upstream, isResetting});
  }

  function refuse(call: OpenCall, waitMs: number): void {
    const {fromHostId, askId, waiting, service} = call;
    calls.delete(keyOf(fromHostId, askId));
    const leftMs = Math.max(0, waiting.giveUpAtMs - clock.nowMs());
    const state = stateOf(service);
    const intervalMs = forecastSlotMs(0, loadOf(service, state));
    const retryAfterMs = Math.round(
      state.retries.add({
        waitMs,
        leftMs,
        intervalMs,
        priority: waiting.priority,
      }),
    );
    host.send(fromHostId, {kind: 'slot-refused', askId, retryAfterMs});
  }

  function isTooSlow(call: OpenCall, state: ServiceState, {id}: Upstream) {
    const slowdown = state.slow.slowdown(id);
    const nowMs = clock.nowMs();
    return isTooSlowFor(call.waiting, nowMs, slowdown, state.meanCallMs);
  }

  /** Assigns a slot to the call if an upstream has one. */
  function assignSlot(call: OpenCall): boolean {
    const state = stateOf(call.service);
    const excluded = host
      .open(call.service)
      .filter(
        each =>
          call.avoid.has(each.id) ||
          isFull(state, each) ||
          isTooSlow(call, state, each),
      )
      .map(({id}) => id);
    const picked = balancer.pick(call.service, new Set(excluded));
    if (!picked) return false;
    call.upstreamId = picked.upstreamId;
    balancer.started(call.service, picked.upstreamId);
    part?.noteStart(call.service);
    if (call.account !== undefined)
      host.onStarted?.(call.service, call.account);
    call.concurrency = (state.runs.get(picked.upstreamId) ?? 0) + 1;
    state.runs.set(picked.upstreamId, call.concurrency);
    if (!part) {
      const {upstreamId} = picked;
      const expire = () => end(call, CANCELLED);
      call.expiry = expiry.start(upstreamId, () => expiryMs(state), expire);
    }
    sendAnswer(call);
    return true;
  }

  const expiryMs = (state: ServiceState) =>
    Math.max(MIN_EXPIRY_MS, EXPIRY_CALL_FACTOR * state.meanCallMs);

  /** A call whose slot would have expired may have run through a pause. */
  const isMeasured = (durationMs: number, state: ServiceState) =>
    durationMs <= (part ? Number.MAX_VALUE : expiryMs(state));

  function end(call: OpenCall, message: CallEnd): void {
    const {result, durationMs} = message;
    const state = stateOf(call.service);
    calls.delete(keyOf(call.fromHostId, call.askId));
    state.queue = state.queue.filter(each => each !== call);
    call.expiry?.stop();
    if (call.upstreamId !== undefined) {
      const left = (state.runs.get(call.upstreamId) ?? 1) - 1;
      if (left > 0) state.runs.set(call.upstreamId, left);
      else state.runs.delete(call.upstreamId);
      balancer.ended(call.service, call.upstreamId, result, durationMs);
      if (result === 'ok') {
        expiry.noteAnswer(call.upstreamId);
        backoff.noteAnswer(call.upstreamId);
      }
      if (result === 'ok' && isMeasured(durationMs, state)) {
        state.meanCallMs += SMOOTHING * (durationMs - state.meanCallMs);
        state.limit.record(call.concurrency, durationMs);
        state.slow.record(call.upstreamId, durationMs);
        part?.noteEnd(call.service, {kind: 'ok', durationMs});
      }
      if (message.isFull === true) noteFull(call.service, call.upstreamId);
      if (message.wasReset === true) {
        resets.note(call.upstreamId);
        backoff.noteReset(call.upstreamId);
      }
    }
    startAll();
  }

  function noteFull(service: string, upstreamId: string): void {
    const state = stateOf(service);
    const nowMs = clock.nowMs();
    for (const [id, untilMs] of state.fullUntilMs)
      if (untilMs <= nowMs) state.fullUntilMs.delete(id);
    state.fullUntilMs.set(upstreamId, nowMs + FULL_CALLS * state.meanCallMs);
    part?.noteEnd(service, {kind: 'full'});
  }

  function loadOf(service: string, state: ServiceState): SlotLoad {
    const open = host.open(service);
    const sound = open.filter(({id}) => !backoff.isHeldBack(id));
    // If all reset connections, any of them may go on within the wait.
    const counted = sound.length > 0 ? sound : open;
    const sum = counted.reduce((n, each) => n + maxCallsAt(state, each), 0);
    // An upstream that was lost just now is often back while a call waits.
    const maxCalls = Math.min(
      part?.maxCalls(service) ?? Infinity,
      state.capacity.update(sum),
    );
    return {maxCalls, meanCallMs: state.meanCallMs};
  }

  /** Forecasts when a new call would get a slot, after due retries of others. */
  function forecastMs({service, waiting}: OpenCall): number {
    const state = stateOf(service);
    const nowMs = clock.nowMs();
    const ahead = state.queue.filter(
      each => compareWaiting(each.waiting, waiting, nowMs) < 0,
    ).length;
    const load = loadOf(service, state);
    const untilMs = forecastSlotMs(ahead, load);
    const retries = state.retries.countDue(untilMs, waiting.priority);
    return forecastSlotMs(ahead + retries, load);
  }

  /** Shares change while calls wait. */
  function updateShare(call: OpenCall): void {
    const {service, account, waiting} = call;
    if (account === undefined || !host.isOverShare) return;
    const isOverShare = host.isOverShare(service, account);
    if (isOverShare === (waiting.isOverShare ?? false)) return;
    call.waiting = {...waiting, isOverShare};
  }

  const inOrder = (queue: readonly OpenCall[]) => {
    const nowMs = clock.nowMs();
    queue.forEach(updateShare);
    return [...queue].sort((a, b) =>
      compareWaiting(a.waiting, b.waiting, nowMs),
    );
  };

  function startCalls(service: string, state: ServiceState): void {
    // Without room, the calls of a long queue need not be sorted.
    if (state.queue.length === 0 || !hasRoom(service, state)) return;
    const started = new Set<OpenCall>();
    for (const call of inOrder(state.queue)) {
      if (!hasRoom(service, state)) break;
      if (clock.nowMs() > call.waiting.giveUpAtMs) continue;
      if (assignSlot(call)) started.add(call);
    }
    state.queue = state.queue.filter(each => !started.has(each));
  }

  /** Whether the call cannot start in time, by forecasts of some time. */
  function isHopeless(call: OpenCall, waitMs: number): boolean {
    const nowMs = clock.nowMs();
    const {giveUpAtMs} = call.waiting;
    if (nowMs > giveUpAtMs) return true;
    if (nowMs + waitMs <= giveUpAtMs) call.hopelessSinceMs = undefined;
    else call.hopelessSinceMs ??= nowMs;
    const {hopelessSinceMs = Infinity} = call;
    return nowMs - hopelessSinceMs >= HOPELESS_MS;
  }

  function refuseHopeless(service: string, state: ServiceState): void {
    const load = loadOf(service, state);
    const refused = new Set<OpenCall>();
    let ahead = 0;
    for (const call of inOrder(state.queue)) {
      const waitMs = forecastSlotMs(ahead, load);
      if (isHopeless(call, waitMs)) {
        refused.add(call);
        refuse(call, waitMs);
      } else {
        ahead++;
      }
    }
    state.queue = state.queue.filter(each => !refused.has(each));
  }

  function startAll(): void {
    for (const [service, state] of services) startCalls(service, state);
  }

  function checkQueues(): void {
    timer = undefined;
    for (const [service, state] of services) {
      startCalls(service, state);
      if (state.queue.length > 0) refuseHopeless(service, state);
      if (state.queue.length > 0) planCheck();
    }
  }

  function planCheck(): void {
    timer ??= clock.setTimer(QUEUE_CHECK_MS, checkQueues);
  }

  /** Probes are not counted: hosts send them to a keeper that they do not use. */
  function noteRequest(state: ServiceState): void {
    const nowMs = clock.nowMs();
    if (part || state.unknownUntilMs > -Infinity) return;
    state.unknownUntilMs = nowMs + UNKNOWN_CALLS_MS;
  }

  function admit(fromHostId: string, request: SlotRequest): void {
    const nowMs = clock.nowMs();
    const leastUrgent = host.leastUrgent?.(request.service);
    const waiting = readCallWaiting(request, nowMs, leastUrgent);
    if (!waiting) return;
    const call: OpenCall = {
      fromHostId,
      askId: request.askId,
      concurrency: 0,
      service: request.service,
      avoid: new Set(request.avoid),
      account: readAccount(request.account),
      waiting,
    };
    updateShare(call);
    calls.set(keyOf(fromHostId, request.askId), call);
    const state = stateOf(request.service);
    if (request.giveUpMs >= 0) noteRequest(state);
    // Queued calls come first; they are assigned slots when other calls end.
    const isFirst = state.queue.length === 0;
    if (isFirst && hasRoom(call.service, state) && assignSlot(call)) return;
    const waitMs = forecastMs(call);
    const retryAfterMs = findRetryAfterMs(call.waiting, waitMs, nowMs);
    if (retryAfterMs !== undefined) return refuse(call, retryAfterMs);
    state.queue.push(call);
    sendAnswer(call);
    planCheck();
  }

  return {
    receive(fromHostId, message) {
      expiry.noteMessage(fromHostId);
      const known = calls.get(keyOf(fromHostId, message.askId));
      switch (message.kind) {
        case 'slot-ask':
          if (known) sendAnswer(known);
          else admit(fromHostId, message);
          return;
        case 'slot-end':
          if (known && message.durationMs >= 0) end(known, message);
          return;
      }
    },
    forget(hostId) {
      for (const call of [...calls.values()]) {
        if (call.fromHostId === hostId) end(call, CANCELLED);
      }
    },
    openCount: () => calls.size,
  };
}
