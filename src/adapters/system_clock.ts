/** The system clock. */

import {performance} from 'node:perf_hooks';
import type {Clock, TimerHandle} from '../ports/clock.js';

interface SystemTimer extends TimerHandle {
  readonly timeout: NodeJS.Timeout;
}

export function createSystemClock(): Clock {
  return {
    nowMs: () => performance.now(),
    wallMs: () => Date.now(),
    setTimer(delayMs, callback) {
      const timer: SystemTimer = {
        kind: 'timer',
        timeout: setTimeout(callback, delayMs),
      };
      return timer;
    },
    clearTimer(timer) {
      clearTimeout((timer as SystemTimer).timeout);
    },
  };
}
