/**
 * Handles signals from the first moment of the program. Node ends a process by
 * a signal until a handler is installed, so this module imports nothing: the
 * bundle then has it in the file that is loaded first.
 */

import type {BufferedSignal, SignalSource} from './signal_buffer.js';

/** Signals that would end the process, or open Node's debugger (`SIGUSR1`). */
const SIGNALS: Readonly<Record<BufferedSignal, true>> = {
  SIGTERM: true,
  SIGINT: true,
  SIGQUIT: true,
  SIGHUP: true,
  SIGUSR1: true,
  SIGUSR2: true,
};

export interface EarlySignals extends SignalSource {
  /** The earliest time at which a signal may have been caught. */
  readonly sinceMs: number;
}

/** Catches signals; each is passed on once, when there is a listener for it. */
export function catchSignals(
  source: SignalSource,
  nowMs: () => number = () => performance.now(),
): EarlySignals {
  const caught: BufferedSignal[] = [];
  const listeners = new Map<BufferedSignal, () => void>();
  const sinceMs = nowMs();
  for (const signal of Object.keys(SIGNALS) as BufferedSignal[]) {
    source.on(signal, () => {
      const listener = listeners.get(signal);
      if (listener) listener();
      else caught.push(signal);
    });
  }
  return {
    sinceMs,
    on(signal, listener) {
      listeners.set(signal, listener);
      for (const each of caught) if (each === signal) listener();
    },
  };
}
