/**
 * Decides when a prefill call that is silent is given up. A silent engine may
 * have paused and go on, so its call ends only for an engine that has accepted
 * the prompt.
 *
 * The engine is asked over a new connection, and so are those that could
 * replace it:
 * - It answers: the connection is dead, or the engine doesn't get on. Another
 *   engine is called.
 * - It doesn't, but another prefill engine does: that one is called.
 * - No prefill engine answers: the call waits, and is given up for the decode
 *   engine only when the caller's patience would end.
 */

import type {Upstream} from '../../core/upstream.js';
import type {Clock, TimerHandle} from '../../ports/clock.js';
import type {Cancellation, PrefillOutcome} from '../../ports/relay.js';
import {
  createCancellation,
  type CancellationSource,
} from '../front/cancellation.js';
import type {EngineScheduler} from '../placement/engine_scheduler.js';
import type {PrefillReservation} from '../placement/placement_types.js';
import type {BudgetedCalls} from './budgeted_calls.js';
import type {EngineProbes} from '../silence/engine_probes.js';
import {toWaitingForNext, type StreamState} from './stream_state.js';

export interface PrefillWatchHost {
  readonly clock: Clock;
  readonly probes: EngineProbes;
  readonly scheduler: Pick<EngineScheduler, 'prefillEngines' | 'prefillAgain'>;
  readonly calls: Pick<
    BudgetedCalls,
    'reserveRun' | 'giveBackRun' | 'canRetryCall'
  >;
}

export interface WatchedCall {
  readonly state: StreamState;
  readonly engine: Upstream;
  /** The engine answers within this time unless something is wrong. */
  readonly timeoutMs: number;
  /** Prefill engines that the call must not be moved to. */
  readonly avoid: ReadonlySet<string>;
  /** How many other prefill engines the call may be sent to. */
  readonly maxMoves: number;
  /**
   * Sends the prompt to another engine as well; undefined if that refuses it,
   * with nothing left reserved.
   */
  start(
    next: NextPrefill,
    cancellation: Cancellation,
  ): Promise<SentPrefill | undefined>;
}

/** A call that was sent while the one before is silent. */
export interface SentPrefill {
  readonly sentAtMs: number;
  readonly outcome: Promise<PrefillOutcome>;
  cancel(): void;
  /** Cancels it, and has the engine free its result if it has one. */
  release(): void;
}

/** The next prefill engine for the prompt, for which a retry is reserved. */
export interface NextPrefill {
  readonly engine: Upstream;
  readonly reservation: PrefillReservation;
  /** Absent if the engine before has ended, so that nothing was to be kept. */
  readonly sent?: SentPrefill;
}

/** Why and for what a call is given up. */
export interface GivenUp {
  readonly detail: string;
  /** Whether the engine is at fault, and not all of them. */
  readonly isOfEngine: boolean;
  /** Absent if the decode engine is to read the prompt. */
  readonly next?: NextPrefill;
}

export interface PrefillWatch {
  /** Whether the engine has answered no probe for a while. */
  wasSilent(): boolean;
  /** The call has ended; it isn't given up any more. */
  stop(): void;
  /** Gives back what was reserved for a next call that isn't made. */
  release(next: NextPrefill): void;
}

/** How long before the timeout the engine is asked for the first time. */
const ASK_AHEAD_MS = 500;
const TICK_MS = 250;
/**
 * When engines that paused together go on, one of them is heard first. Another
 * engine must have been awake for this time before it replaces a silent one.
 */
const CONFIRMATION_MS = 250;
const ASKED_PER_TICK = 2;
/** An engine that is asked at each tick stays awake between two. */
const AWAKE_MS = 500;

export function watchPrefill(
  {clock, probes, scheduler, calls}: PrefillWatchHost,
  call: WatchedCall,
  onGivenUp: (end: GivenUp) => void,
): PrefillWatch {
  const {state, engine, avoid} = call;
  const timeoutMs = Math.round(call.timeoutMs);
  const {need, placement} = state;
  const startedAtMs = clock.nowMs();
  const isAwake = (engineId: string) =>
    probes.hasAnsweredWithin(engineId, AWAKE_MS);
  const patienceEndMs = toWaitingForNext(state).giveUpAtMs;
  let isStopped = false;
  let tickCount = 0;
  let starting: CancellationSource | undefined;
  const refusing = new Set<string>();
  let wasSilent = false;
  /** Since when the engine, and any other prefill engine, has been awake. */
  let awakeSinceMs: number | undefined;
  let othersAwakeSinceMs: number | undefined;

  let timer: TimerHandle = clock.setTimer(
    Math.max(0, timeoutMs - ASK_AHEAD_MS),
    () => void tick(),
  );

  function findOthers(): readonly Upstream[] {
    if (refusing.size >= call.maxMoves) return [];
    return scheduler
      .prefillEngines(need, placement.decode)
      .filter(
        ({id}) => id !== engine.id && !avoid.has(id) && !refusing.has(id),
      );
  }

  /** Asks those that were heard, or some of the others in turn. */
  function ask(others: readonly Upstream[]): void {
    probes.ask(engine);
    const awake = others.filter(({id}) => isAwake(id));
    const first = (tickCount * ASKED_PER_TICK) % Math.max(1, others.length);
    const asked =
      awake.length > 0
        ? awake
        : [...others.slice(first), ...others.slice(0, first)];
    for (const each of asked.slice(0, ASKED_PER_TICK)) probes.ask(each);
    if (awake.length === 0) probes.ask(placement.decode);
  }

  /** Keeps since when this engine and the others have been awake. */
  function update(others: readonly Upstream[]): void {
    const nowMs = clock.nowMs();
    if (isAwake(engine.id)) {
      awakeSinceMs ??= wasSilent ? nowMs : startedAtMs;
    } else {
      awakeSinceMs = undefined;
      wasSilent = true;
    }
    const isAnyAwake = others.some(({id}) => isAwake(id));
    othersAwakeSinceMs = isAnyAwake ? (othersAwakeSinceMs ?? nowMs) : undefined;
  }

  const hasEnded = () => probes.hasEndedSince(engine.id, startedAtMs);

  /** Why the engine is not waited for; undefined if it still is. */
  function findFault(): string | undefined {
    const nowMs = clock.nowMs();
    if (hasEnded()) return 'the engine has ended';
    if (nowMs < startedAtMs + timeoutMs) return undefined;
    if (awakeSinceMs !== undefined) {
      // An engine that goes on after a pause gets the whole time once more.
      const isOverdue = nowMs >= awakeSinceMs + timeoutMs;
      return isOverdue ? 'the engine answers a probe' : undefined;
    }
    const isConfirmed =
      othersAwakeSinceMs !== undefined &&
      nowMs >= othersAwakeSinceMs + CONFIRMATION_MS;
    return isConfirmed ? 'another engine answers a probe' : undefined;
  }

  /** Books and reserves what the next call needs. */
  async function reserveNext(
    others: readonly Upstream[],
  ): Promise<NextPrefill | undefined> {
    if (!others.some(({id}) => isAwake(id))) return undefined;
    if (!(await calls.reserveRun(state))) return undefined;
    const silent = others.filter(({id}) => !isAwake(id));
    const passedOver = new Set([
      ...avoid,
      ...refusing,
      engine.id,
      ...silent.map(({id}) => id),
    ]);
    const next = isStopped
      ? undefined
      : scheduler.prefillAgain(need, placement.decode, passedOver);
    if (!next) calls.giveBackRun(state);
    return next;
  }

  /** Undefined if no other engine takes the prompt. */
  async function takeNext(
    others: readonly Upstream[],
  ): Promise<NextPrefill | undefined> {
    const next = await reserveNext(others);
    if (!next || hasEnded()) return next;
    const cancellation = createCancellation();
    starting = cancellation;
    const sent = await call.start(next, cancellation);
    if (!sent) {
      refusing.add(next.engine.id);
      return undefined;
    }
    if (!isStopped) starting = undefined;
    return {...next, sent};
  }

  /** Whether the decode engine can read the prompt now. */
  const canDecodeRead = () =>
    isAwake(placement.decode.id) && calls.canRetryCall(state);

  async function findEnd(
    others: readonly Upstream[],
  ): Promise<GivenUp | undefined> {
    const silentMs = Math.round(clock.nowMs() - startedAtMs);
    const toDetail = (cause: string) => `silent for ${silentMs} ms; ${cause}`;
    const fault = findFault();
    if (fault !== undefined) {
      const next = await takeNext(others);
      const end = {detail: toDetail(fault), isOfEngine: true};
      if (next) return {...end, next};
      if (hasEnded()) return end;
      const isAnyAwake = others.some(({id}) => isAwake(id));
      return isAnyAwake || !canDecodeRead() ? undefined : end;
    }
    const isPatienceOver = clock.nowMs() >= patienceEndMs;
    const isAnyAwake = [engine, ...others].some(({id}) => isAwake(id));
    if (!isPatienceOver || isAnyAwake || !canDecodeRead()) return undefined;
    return {
      detail: toDetail('no prefill engine answers a probe'),
      isOfEngine: false,
    };
  }

  async function tick(): Promise<void> {
    const others = findOthers();
    // The first tick only asks; a late timer of this host shows nothing.
    if (tickCount > 0) update(others);
    ask(others);
    const end = tickCount > 0 ? await findEnd(others) : undefined;
    if (isStopped) {
      if (end?.next) release(end.next);
      return;
    }
    tickCount++;
    if (end) onGivenUp(end);
    else timer = clock.setTimer(TICK_MS, () => void tick());
  }

  function release({reservation, sent}: NextPrefill): void {
    reservation.end();
    if (sent) sent.release();
    else calls.giveBackRun(state);
  }

  return {
    wasSilent: () => wasSilent,
    release,
    stop() {
      isStopped = true;
      clock.clearTimer(timer);
      starting?.cancel();
    },
  };
}
