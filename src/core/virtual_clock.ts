/** A clock that is advanced explicitly, for tests, scenarios and benches. */

import type {Clock, TimerHandle} from '../ports/clock.js';

interface VirtualTimer extends TimerHandle {
  readonly dueMs: number;
  readonly order: number;
  /** Undefined once run or cleared. */
  callback: (() => void) | undefined;
}

export interface VirtualClock extends Clock {
  /** Runs all timers due within `durationMs`, in order of time. */
  advance(durationMs: number): Promise<void>;
  /** Like `advance`, but promises do not settle between timers. */
  advanceSync(durationMs: number): void;
  /** Lets time pass without running timers, which are late after it. */
  standStill(durationMs: number): void;
  /** Returns the number of pending timers. */
  pendingCount(): number;
}

/** Waits until all promises that can settle have settled. */
async function settle(): Promise<void> {
  await new Promise<void>(resolve => setImmediate(resolve));
}

export function createVirtualClock(startMs = 0): VirtualClock {
  let nowMs = startMs;
  let nextOrder = 0;
  const heap: VirtualTimer[] = [];
  let liveCount = 0;

  const isBefore = (a: VirtualTimer, b: VirtualTimer) =>
    a.dueMs < b.dueMs || (a.dueMs === b.dueMs && a.order < b.order);

  function push(timer: VirtualTimer): void {
    let index = heap.length;
    heap.push(timer);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(timer, heap[parent])) break;
      heap[index] = heap[parent];
      index = parent;
    }
    heap[index] = timer;
  }

  function pop(): VirtualTimer {
    const top = heap[0];
    const last = heap.pop()!;
    if (heap.length === 0) return top;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && isBefore(heap[child + 1], heap[child])) {
        child++;
      }
      if (!isBefore(heap[child], last)) break;
      heap[index] = heap[child];
      index = child;
    }
    heap[index] = last;
    return top;
  }

  function takeDue(untilMs: number): VirtualTimer | undefined {
    while (heap.length > 0 && heap[0].dueMs <= untilMs) {
      const timer = pop();
      if (timer.callback) return timer;
    }
    return undefined;
  }

  function run(timer: VirtualTimer): void {
    nowMs = Math.max(nowMs, timer.dueMs);
    const callback = timer.callback;
    timer.callback = undefined;
    liveCount--;
    callback?.();
  }

  return {
    nowMs: () => nowMs,
    wallMs: () => nowMs,
    setTimer(delayMs, callback) {
      const dueMs = nowMs + Math.max(0, delayMs);
      const timer: VirtualTimer = {
        kind: 'timer',
        dueMs,
        order: nextOrder++,
        callback,
      };
      push(timer);
      liveCount++;
      return timer;
    },
    clearTimer(timer) {
      const virtual = timer as VirtualTimer;
      if (!virtual.callback) return;
      virtual.callback = undefined;
      liveCount--;
    },
    async advance(durationMs) {
      const untilMs = nowMs + durationMs;
      await settle();
      for (let timer = takeDue(untilMs); timer; timer = takeDue(untilMs)) {
        run(timer);
        await settle();
      }
      nowMs = untilMs;
    },
    advanceSync(durationMs) {
      const untilMs = nowMs + durationMs;
      for (let timer = takeDue(untilMs); timer; timer = takeDue(untilMs)) {
        run(timer);
      }
      nowMs = untilMs;
    },
    standStill(durationMs) {
      nowMs += durationMs;
    },
    pendingCount: () => liveCount,
  };
}
