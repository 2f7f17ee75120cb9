/**
 * Simulates a process that can be killed or paused. All its inputs (timers,
 * calls and results of calls) pass through the fence: after a kill they are
 * dropped, and during a pause they are delayed until the process resumes.
 */

import type {Clock, TimerHandle} from '../ports/clock.js';

export interface ProcessFence {
  /** The clock of the process; its timers pass through the fence. */
  readonly clock: Clock;
  /** Runs `action` now, after the pause, or never if the process is dead. */
  deliver(action: () => void): void;
  /** Like `deliver`, for the result of a call. */
  deliverResult<T>(result: Promise<T>): Promise<T>;
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
  let delayedActions: Array<() => void> = [];

  function deliver(action: () => void): void {
    if (state === 'running') action();
    else if (state === 'paused') delayedActions.push(action);
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
    deliverResult: result =>
      new Promise((resolve, reject) => {
        result.then(
          value => deliver(() => resolve(value)),
          (error: unknown) => deliver(() => reject(error)),
        );
      }),
    kill() {
      state = 'dead';
      delayedActions = [];
    },
    pause() {
      if (state === 'running') state = 'paused';
    },
    resume() {
      if (state !== 'paused') return;
      state = 'running';
      const actions = delayedActions;
      delayedActions = [];
      for (const action of actions) action();
    },
    isDead: () => state === 'dead',
  };
}
