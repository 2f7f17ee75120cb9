/**
 * Buffers signals that arrive before a process can handle them, while modules
 * load and sockets open. Without a handler, the process would end on a SIGHUP
 * that only announces changed settings, or on a SIGTERM with the exit code of a
 * failure.
 */

export type BufferedSignal = 'SIGTERM' | 'SIGINT' | 'SIGHUP';

export type SignalHandlers = Readonly<Record<BufferedSignal, () => void>>;

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
export function bufferSignals(source: SignalSource): SignalBuffer {
  const pending: BufferedSignal[] = [];
  let handlers: SignalHandlers | undefined;
  for (const signal of SIGNALS) {
    source.on(signal, () => {
      if (handlers) handlers[signal]();
      else pending.push(signal);
    });
  }
  return {
    forwardTo(newHandlers) {
      handlers = newHandlers;
      for (const signal of pending.splice(0)) newHandlers[signal]();
    },
  };
}
