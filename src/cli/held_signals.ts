/**
 * Keeps signals that come before a process can act on them.
 *
 * Guards against a signal in the first tenths of a second, while modules load
 * and sockets open: without a handler the process ends at once, by a SIGHUP
 * that only says that settings changed, or by a SIGTERM with a failure's code.
 */

export type HeldSignal = 'SIGTERM' | 'SIGINT' | 'SIGHUP';

export type SignalHandlers = Readonly<Record<HeldSignal, () => void>>;

/** The part of a process that is needed here. */
export interface SignalSource {
  on(signal: HeldSignal, listener: () => void): unknown;
}

export interface HeldSignals {
  /** Passes signals on from now, those that came before first. */
  handTo(handlers: SignalHandlers): void;
}

const SIGNALS: readonly HeldSignal[] = ['SIGTERM', 'SIGINT', 'SIGHUP'];

/** To be called as the first thing that a process does. */
export function holdSignals(source: SignalSource): HeldSignals {
  const held: HeldSignal[] = [];
  let handlers: SignalHandlers | undefined;
  for (const signal of SIGNALS) {
    source.on(signal, () => {
      if (handlers) handlers[signal]();
      else held.push(signal);
    });
  }
  return {
    handTo(next) {
      handlers = next;
      for (const signal of held.splice(0)) next[signal]();
    },
  };
}
