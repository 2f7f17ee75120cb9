/**
 * Buffers signals that arrive before a process can handle them, while modules
 * load and sockets open. Without a handler, the process would end on a SIGHUP
 * that only announces changed settings, or on a SIGTERM with the exit code of a
 * failure.
 */

export type BufferedSignal = 'SIGTERM' | 'SIGINT' | 'SIGHUP';

/** Called with the time for which the signal was buffered, in ms. */
export type SignalHandler = (waitedMs: number) => void;

export type SignalHandlers = Readonly<Record<BufferedSignal, SignalHandler>>;

/** The part of `process` that is used here. */
export interface SignalSource {
  on(signal: BufferedSignal, listener: () => void): unknown;
}

export interface SignalBuffer {
  /** Forwards the buffered signals and then all later ones to the handlers. */
  forwardTo(handlers: SignalHandlers): void;
}

const SIGNALS: readonly BufferedSignal[] = ['SIGTERM', 'SIGINT', 'SIGHUP'];

/** Starts to buffer signals; must be called first when a process starts. */
export function bufferSignals(
  source: SignalSource,
  nowMs: () => number = () => performance.now(),
): SignalBuffer {
  const pending: Array<{
    readonly signal: BufferedSignal;
    readonly atMs: number;
  }> = [];
  let handlers: SignalHandlers | undefined;
  for (const signal of SIGNALS) {
    source.on(signal, () => {
      if (handlers) handlers[signal](0);
      else pending.push({signal, atMs: nowMs()});
    });
  }
  return {
    forwardTo(newHandlers) {
      handlers = newHandlers;
      for (const {signal, atMs} of pending.splice(0)) {
        newHandlers[signal](nowMs() - atMs);
      }
    },
  };
}
