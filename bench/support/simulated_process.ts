/**
 * Simulates a process of the site that can be paused and killed. A paused
 * process runs its pending timers and results when it resumes.
 */

import type {Clock, TimerHandle} from '../../src/ports/clock.js';

export interface SimulatedProcess {
  readonly clock: Clock;
  isAlive(): boolean;
  isPaused(): boolean;
  kill(): void;
  pause(): void;
  resume(): void;
  /** Runs `action` now or, if paused, on resume. Does nothing after a kill. */
  run(action: () => void): void;
  /** Settles like `result`, but only while the process runs. */
  deliver<T>(result: Promise<T>): Promise<T>;
  /** Wraps a port so that its results pass through `deliver`. */
  wrapPort<T extends object>(target: T): T;
}

const NEVER = new Promise<never>(() => {});

export function createSimulatedProcess(siteClock: Clock): SimulatedProcess {
  let isAlive = true;
  let isPaused = false;
  let pendingActions: (() => void)[] = [];

  function run(action: () => void): void {
    if (!isAlive) return;
    if (isPaused) pendingActions.push(action);
    else action();
  }

  function deliver<T>(result: Promise<T>): Promise<T> {
    return new Promise((resolve, reject) => {
      result.then(
        value => run(() => resolve(value)),
        (cause: unknown) => run(() => reject(cause)),
      );
    });
  }

  const clock: Clock = {
    nowMs: () => siteClock.nowMs(),
    wallMs: () => siteClock.wallMs(),
    setTimer(delayMs, callback): TimerHandle {
      return siteClock.setTimer(delayMs, () => run(callback));
    },
    clearTimer: timer => siteClock.clearTimer(timer),
  };

  function callPort(
    target: object,
    member: (...args: unknown[]) => unknown,
    args: readonly unknown[],
  ): unknown {
    if (!isAlive) return NEVER;
    const result = member.apply(target, [...args]);
    return result instanceof Promise ? deliver(result) : result;
  }

  return {
    clock,
    isAlive: () => isAlive,
    isPaused: () => isPaused,
    kill() {
      isAlive = false;
      pendingActions = [];
    },
    pause() {
      isPaused = true;
    },
    resume() {
      isPaused = false;
      const actions = pendingActions;
      pendingActions = [];
      actions.forEach(run);
    },
    run,
    deliver,
    wrapPort: target =>
      new Proxy(target, {
        get(object, name) {
          const member: unknown = Reflect.get(object, name);
          if (typeof member !== 'function') return member;
          const method = member as (...args: unknown[]) => unknown;
          return (...args: unknown[]) => callPort(object, method, args);
        },
      }),
  };
}
