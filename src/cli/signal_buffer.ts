/**
 * Buffers signals that arrive before a process can handle them, while modules
 * load and sockets open. Without a handler, the process would end on a SIGHUP
 * that only announces changed settings, or on a SIGTERM with the exit code of a
 * failure.
 */

import {createSystemClock} from '../adapters/system_clock.js';
import type {Clock} from '../ports/clock.js';
import {createLoopLateness} from '../relay/loop_lateness.js';

export type BufferedSignal = 'SIGTERM' | 'SIGINT' | 'SIGHUP';

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

const SIGNALS: readonly BufferedSignal[] = ['SIGTERM', 'SIGINT', 'SIGHUP'];

/** Starts to buffer signals; must be called first when a process starts. */
export function bufferSignals(
  source: SignalSource,
  clock: Clock = createSystemClock(),
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
  for (const signal of SIGNALS) {
    source.on(signal, () => {
      if (handlers) handlers[signal](0);
      else pending.push({signal, atMs: lateness.handledUntilMs()});
    });
  }
  return {
    isEnding: () => pending.some(({signal}) => signal !== 'SIGHUP'),
    forwardTo(newHandlers) {
      handlers = newHandlers;
      lateness.stop();
      for (const {signal, atMs} of pending.splice(0)) {
        newHandlers[signal](clock.nowMs() - atMs);
      }
    },
  };
}
