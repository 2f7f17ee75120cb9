/**
 * A process of the site, as far as faults are concerned: it can be paused, so
 * that nothing in it moves while the world does, and it can die.
 */

import type {Clock, TimerHandle} from '../../src/ports/clock.js';

export interface ProcessShell {
  readonly clock: Clock;
  isAlive(): boolean;
  isPaused(): boolean;
  kill(): void;
  pause(): void;
  resume(): void;
  /** Runs something inside the process: now, after a pause, or never. */
  inside(action: () => void): void;
  /** Carries a result into the process. */
  receive<T>(result: Promise<T>): Promise<T>;
  /** The same port, called from inside: results come as `receive` says. */
  port<T extends object>(target: T): T;
}

const NEVER = new Promise<never>(() => {});

export function createProcessShell(world: Clock): ProcessShell {
  let isAlive = true;
  let isPaused = false;
  let held: (() => void)[] = [];

  function inside(action: () => void): void {
    if (!isAlive) return;
    if (isPaused) held.push(action);
    else action();
  }

  function receive<T>(result: Promise<T>): Promise<T> {
    return new Promise((resolve, reject) => {
      result.then(
        value => inside(() => resolve(value)),
        (cause: unknown) => inside(() => reject(cause)),
      );
    });
  }

  const clock: Clock = {
    nowMs: () => world.nowMs(),
    wallMs: () => world.wallMs(),
    setTimer(delayMs, callback): TimerHandle {
      return world.setTimer(delayMs, () => inside(callback));
    },
    clearTimer: timer => world.clearTimer(timer),
  };

  function call(
    target: object,
    member: (...args: unknown[]) => unknown,
    args: readonly unknown[],
  ): unknown {
    if (!isAlive) return NEVER;
    const result = member.apply(target, [...args]);
    return result instanceof Promise ? receive(result) : result;
  }

  return {
    clock,
    isAlive: () => isAlive,
    isPaused: () => isPaused,
    kill() {
      isAlive = false;
      held = [];
    },
    pause() {
      isPaused = true;
    },
    resume() {
      isPaused = false;
      const actions = held;
      held = [];
      actions.forEach(inside);
    },
    inside,
    receive,
    port: target =>
      new Proxy(target, {
        get(object, name) {
          const member: unknown = Reflect.get(object, name);
          if (typeof member !== 'function') return member;
          const method = member as (...args: unknown[]) => unknown;
          return (...args: unknown[]) => call(object, method, args);
        },
      }),
  };
}
