/**
 * The way in and out of a stand-in: carries calls with latency and timeouts,
 * and is where a process death, a freeze, or connections going silent show.
 */

import type {Clock} from '../src/ports/clock.js';
import type {Random} from '../src/ports/random.js';

/** How a call fails that gets no answer. */
export type GateFailure = 'unreachable' | 'broken' | 'timeout';

export interface GateHost {
  readonly clock: Clock;
  readonly random: Random;
}

export interface GateOptions {
  /** One way. */
  readonly latencyMs?: number;
}

export interface GateCall<T, F> {
  /** Infinity: the call waits for its answer for good. */
  readonly timeoutMs: number;
  /** Opens a connection of its own, so that a silent pooled one is avoided. */
  readonly isFresh?: boolean;
  run(): T | Promise<T>;
  /** Makes the result of a call that gets no answer. */
  failed(reason: GateFailure): F;
}

export interface FaultGate {
  call<T, F>(call: GateCall<T, F>): Promise<T | F>;
  /** Runs `action` at once, or when a freeze ends; never after a crash. */
  whenThawed(action: () => void): void;
  freeze(): void;
  thaw(): void;
  /**
   * Open connections stop answering for good. Calls in flight get no answer,
   * and so do the next `pooledConnections` calls that open none of their own.
   */
  silence(pooledConnections?: number): void;
  crash(): void;
  restart(): void;
  /** Answers are held back by a random time up to this, so that they cross. */
  delayAnswers(maxMs: number): void;
  /** Called on each crash and each silence, with what happened. */
  onBreak(handler: (what: 'crash' | 'silence' | 'freeze') => void): void;
  isUp(): boolean;
  isFrozen(): boolean;
}

interface Flight {
  /** Its connection has gone silent: nothing more arrives either way. */
  isSilent: boolean;
  fail(reason: GateFailure): void;
}

export function createFaultGate(
  host: GateHost,
  options: GateOptions = {},
): FaultGate {
  const {clock, random} = host;
  const latencyMs = options.latencyMs ?? 0;
  const flights = new Set<Flight>();
  const breakHandlers: ((what: 'crash' | 'silence' | 'freeze') => void)[] = [];
  let frozenActions: (() => void)[] = [];
  let isFrozen = false;
  let isCrashed = false;
  let silentPooled = 0;
  let answerDelayMs = 0;

  function whenThawed(action: () => void): void {
    if (isFrozen) frozenActions.push(action);
    else action();
  }

  function after(delayMs: number, action: () => void): void {
    if (delayMs > 0) clock.setTimer(delayMs, action);
    else action();
  }

  function call<T, F>(request: GateCall<T, F>): Promise<T | F> {
    return new Promise<T | F>(resolve => {
      const flight: Flight = {
        isSilent: silentPooled > 0 && !request.isFresh,
        fail: reason => finish(request.failed(reason)),
      };
      if (flight.isSilent) silentPooled--;
      const timer = Number.isFinite(request.timeoutMs)
        ? clock.setTimer(request.timeoutMs, () => flight.fail('timeout'))
        : undefined;
      function finish(value: T | F): void {
        if (!flights.delete(flight)) return;
        if (timer) clock.clearTimer(timer);
        resolve(value);
      }
      function answer(value: T): void {
        const heldMs =
          answerDelayMs > 0 ? random.nextFloat() * answerDelayMs : 0;
        after(latencyMs + heldMs, () => {
          whenThawed(() => {
            if (!flight.isSilent) finish(value);
          });
        });
      }
      flights.add(flight);
      after(latencyMs, () => {
        if (isCrashed) flight.fail('unreachable');
        if (flight.isSilent || !flights.has(flight)) return;
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
        // One of them may have crashed the process; the rest died with it.
        if (isCrashed) return;
        action();
      }
    },
    silence(pooledConnections = 1) {
      silentPooled = pooledConnections;
      for (const flight of flights) flight.isSilent = true;
      notify('silence');
    },
    crash() {
      if (isCrashed) return;
      isCrashed = true;
      isFrozen = false;
      frozenActions = [];
      notify('crash');
      for (const flight of [...flights]) flight.fail('broken');
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
