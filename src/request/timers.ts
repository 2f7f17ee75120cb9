/** The named timers of one task. Setting a name again replaces its timer. */

import type {Clock, TimerHandle} from '../ports/clock.js';

export interface NamedTimers<Name extends string> {
  set(name: Name, delayMs: number, callback: () => void): void;
  clear(name: Name): void;
  clearAll(): void;
}

export function createNamedTimers<Name extends string>(
  clock: Clock,
): NamedTimers<Name> {
  const timers = new Map<Name, TimerHandle>();

  function clear(name: Name): void {
    const timer = timers.get(name);
    if (!timer) return;
    clock.clearTimer(timer);
    timers.delete(name);
  }

  return {
    set(name, delayMs, callback) {
      clear(name);
      const timer = clock.setTimer(delayMs, () => {
        timers.delete(name);
        callback();
      });
      timers.set(name, timer);
    },
    clear,
    clearAll() {
      for (const name of [...timers.keys()]) clear(name);
    },
  };
}
