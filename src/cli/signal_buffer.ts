/**
 * Buffers signals that arrive before a process can handle them, while modules
 * load and sockets open. Without a handler, the process would end on a SIGHUP
 * that only announces changed settings, or on a SIGTERM with the exit code of a
 * failure.
 */

import {createSystemClock} from '../adapters/system_clock.js';
import type {Clock} from '../ports/clock.js';
import {createLoopLateness} from '../relay/loop_lateness.js';

export type BufferedSignal =
  'SIGTERM' | 'SIGINT' | 'SIGQUIT' | 'SIGHUP' | 'SIGUSR1' | 'SIGUSR2';

/** Called with the longest time for which the signal may have waited, in ms. */
export type SignalHandler = (waitedMs: number) => void;

export type SignalHandlers = Readonly<Record<BufferedSignal, SignalHandler>>;

/** The part of `process` that is used here. */
export interface SignalSource {
  on(signal: BufferedSignal, listener: () => void): unknown;
}

export interface SignalBuffer {
  /** Forwards the buffered signals and then all later ones to the handlers. */
  forwardTo(handlers: SignalHandlers): void;
  /** Whether a signal that ends the process is buffered. */
  isEnding(): boolean;
}

/** Which signals end the process. */
const ENDS_PROCESS: Readonly<Record<BufferedSignal, boolean>> = {
  SIGTERM: true,
  SIGINT: true,
  SIGQUIT: true,
  SIGHUP: false,
  SIGUSR1: false,
  SIGUSR2: false,
};
const SIGNALS = Object.keys(ENDS_PROCESS) as readonly BufferedSignal[];

/**
 * Starts to buffer signals. Those that the source passes on at once, because it
 * has caught them before, may have arrived since `sinceMs`.
 */
export function bufferSignals(
  source: SignalSource,
  clock: Clock = createSystemClock(),
  sinceMs: number = clock.nowMs(),
): SignalBuffer {
  const pending: Array<{
    readonly signal: BufferedSignal;
    /** The earliest time at which it may have arrived. */
    readonly atMs: number;
  }> = [];
  let handlers: SignalHandlers | undefined;
  // Loading modules blocks the loop, and signals that arrive meanwhile wait.
  const lateness = createLoopLateness(clock);
  lateness.start();
  let isSubscribing = true;
  for (const signal of SIGNALS) {
    source.on(signal, () => {
      const atMs = isSubscribing ? sinceMs : lateness.handledUntilMs();
      if (handlers) handlers[signal](0);
      else pending.push({signal, atMs});
    });
  }
  isSubscribing = false;
  return {
    isEnding: () => pending.some(({signal}) => ENDS_PROCESS[signal]),
    forwardTo(newHandlers) {
      handlers = newHandlers;
      lateness.stop();
      for (const {signal, atMs} of pending.splice(0)) {
        newHandlers[signal](clock.nowMs() - atMs);
      }
    },
  };
}
