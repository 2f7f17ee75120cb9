/**
 * The border of one process of a scenario. All that comes in crosses it, so
 * that the process can be killed or paused at any moment: a killed one hears
 * nothing more, a paused one hears everything late.
 */

import type {Clock, TimerHandle} from '../ports/clock.js';

export interface ProcessFence {
  /** The clock as the process sees it. */
  readonly clock: Clock;
  /** Runs `action` now, when the pause ends, or never. */
  deliver(action: () => void): void;
  /** As `deliver`, for the result of a call. */
  admit<T>(result: Promise<T>): Promise<T>;
  kill(): void;
  pause(): void;
  resume(): void;
  isDead(): boolean;
}

interface FencedTimer extends TimerHandle {
  readonly inner: TimerHandle;
  isCleared: boolean;
}

export function createProcessFence(clock: Clock): ProcessFence {
  let state: 'running' | 'paused' | 'dead' = 'running';
  let held: Array<() => void> = [];

  function deliver(action: () => void): void {
    if (state === 'running') action();
    else if (state === 'paused') held.push(action);
  }

  return {
    clock: {
      nowMs: () => clock.nowMs(),
      wallMs: () => clock.wallMs(),
      setTimer(delayMs, callback) {
        const inner = clock.setTimer(delayMs, () =>
          deliver(() => {
            if (!timer.isCleared) callback();
          }),
        );
        const timer: FencedTimer = {kind: 'timer', inner, isCleared: false};
        return timer;
      },
      clearTimer(handle) {
        const timer = handle as FencedTimer;
        timer.isCleared = true;
        clock.clearTimer(timer.inner);
      },
    },
    deliver,
    admit: result =>
      new Promise((resolve, reject) => {
        result.then(
          value => deliver(() => resolve(value)),
          (error: unknown) => deliver(() => reject(error)),
        );
      }),
    kill() {
      state = 'dead';
      held = [];
    },
    pause() {
      if (state === 'running') state = 'paused';
    },
    resume() {
      if (state !== 'paused') return;
      state = 'running';
      const actions = held;
      held = [];
      for (const action of actions) action();
    },
    isDead: () => state === 'dead',
  };
}
