/**
 * Wraps the calls to a stand-in with latency and timeouts, and simulates
 * crashes, freezes and silent connections.
 */

import type {Clock} from '../src/ports/clock.js';
import type {Random} from '../src/ports/random.js';

/** Why a call got no answer. */
export type GateFailure = 'unreachable' | 'broken' | 'timeout';

export interface GateHost {
  readonly clock: Clock;
  readonly random: Random;
}

export interface GateOptions {
  /** One-way latency. */
  readonly latencyMs?: number;
}

export interface GateCall<T, F> {
  /** Infinity disables the timeout. */
  readonly timeoutMs: number;
  /** Uses a new connection, which a silent pooled one does not affect. */
  readonly isFresh?: boolean;
  run(): T | Promise<T>;
  /** Creates the result of a call that got no answer. */
  failed(reason: GateFailure): F;
}

export interface FaultGate {
  call<T, F>(call: GateCall<T, F>): Promise<T | F>;
  /**
   * Runs `action` at once, or at the end of a freeze unless the process crashes
   * first.
   */
  whenThawed(action: () => void): void;
  freeze(): void;
  thaw(): void;
  /**
   * Silences open connections permanently: pending calls and the next
   * `pooledConnections` calls that reuse a connection get no answer.
   */
  silence(pooledConnections?: number): void;
  crash(): void;
  restart(): void;
  /**
   * Delays each answer by a random time up to `maxMs`, which reorders answers.
   */
  delayAnswers(maxMs: number): void;
  /** Adds a handler for crashes, silenced connections and freezes. */
  onBreak(handler: (what: 'crash' | 'silence' | 'freeze') => void): void;
  isUp(): boolean;
  isFrozen(): boolean;
}

interface PendingCall {
  /** Its connection is silent: nothing arrives in either direction. */
  isSilent: boolean;
  fail(reason: GateFailure): void;
}

export function createFaultGate(
  host: GateHost,
  options: GateOptions = {},
): FaultGate {
  const {clock, random} = host;
  const latencyMs = options.latencyMs ?? 0;
  const pendingCalls = new Set<PendingCall>();
  const breakHandlers: ((what: 'crash' | 'silence' | 'freeze') => void)[] = [];
  let frozenActions: (() => void)[] = [];
  let isFrozen = false;
  let isCrashed = false;
  let silentConnectionsLeft = 0;
  let answerDelayMs = 0;

  function whenThawed(action: () => void): void {
    if (isFrozen) frozenActions.push(action);
    else action();
  }

  function runAfter(delayMs: number, action: () => void): void {
    if (delayMs > 0) clock.setTimer(delayMs, action);
    else action();
  }

  function call<T, F>(request: GateCall<T, F>): Promise<T | F> {
    return new Promise<T | F>(resolve => {
      const pendingCall: PendingCall = {
        isSilent: silentConnectionsLeft > 0 && !request.isFresh,
        fail: reason => finish(request.failed(reason)),
      };
      if (pendingCall.isSilent) silentConnectionsLeft--;
      const timer = Number.isFinite(request.timeoutMs)
        ? clock.setTimer(request.timeoutMs, () => pendingCall.fail('timeout'))
        : undefined;
      function finish(value: T | F): void {
        if (!pendingCalls.delete(pendingCall)) return;
        if (timer) clock.clearTimer(timer);
        resolve(value);
      }
      function answer(value: T): void {
        const extraDelayMs =
          answerDelayMs > 0 ? random.nextFloat() * answerDelayMs : 0;
        runAfter(latencyMs + extraDelayMs, () => {
          whenThawed(() => {
            if (!pendingCall.isSilent) finish(value);
          });
        });
      }
      pendingCalls.add(pendingCall);
      runAfter(latencyMs, () => {
        if (isCrashed) pendingCall.fail('unreachable');
        if (pendingCall.isSilent || !pendingCalls.has(pendingCall)) return;
        whenThawed(() => void Promise.resolve(request.run()).then(answer));
      });
    });
  }

  function notify(what: 'crash' | 'silence' | 'freeze'): void {
    for (const handler of breakHandlers) handler(what);
  }

  return {
    call,
    whenThawed,
    freeze() {
      if (isFrozen) return;
      isFrozen = true;
      notify('freeze');
    },
    thaw() {
      isFrozen = false;
      const actions = frozenActions;
      frozenActions = [];
      for (const action of actions) {
        // An action may crash the process; the remaining ones then do not run.
        if (isCrashed) return;
        action();
      }
    },
    silence(pooledConnections = 1) {
      silentConnectionsLeft = pooledConnections;
      for (const pendingCall of pendingCalls) pendingCall.isSilent = true;
      notify('silence');
    },
    crash() {
      if (isCrashed) return;
      isCrashed = true;
      isFrozen = false;
      frozenActions = [];
      notify('crash');
      for (const pendingCall of [...pendingCalls]) pendingCall.fail('broken');
    },
    restart() {
      isCrashed = false;
    },
    delayAnswers(maxMs) {
      answerDelayMs = maxMs;
    },
    onBreak(handler) {
      breakHandlers.push(handler);
    },
    isUp: () => !isCrashed,
    isFrozen: () => isFrozen,
  };
}
