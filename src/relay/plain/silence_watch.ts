/** Reports that an attempt has no answer for long, and again while it has none. */

import type {Clock, TimerHandle} from '../../ports/clock.js';

export interface SilenceWatchHost {
  readonly clock: Clock;
  /** When an attempt without an answer counts as silent. */
  readonly afterMs: number;
  onSilent(): void;
}

export interface SilenceWatch {
  start(): void;
  /** The attempt has ended. */
  stop(): void;
  isSilent(): boolean;
}

/** First interval between reports; doubled each time. */
const REPORT_INTERVAL_MS = 250;

export function createSilenceWatch(host: SilenceWatchHost): SilenceWatch {
  const {clock, afterMs} = host;
  let timer: TimerHandle | undefined;
  let isSilent = false;

  function report(nextMs: number): void {
    isSilent = true;
    timer = clock.setTimer(nextMs, () => report(2 * nextMs));
    host.onSilent();
  }

  return {
    start() {
      timer ??= clock.setTimer(afterMs, () => report(REPORT_INTERVAL_MS));
    },
    stop() {
      if (timer) clock.clearTimer(timer);
    },
    isSilent: () => isSilent,
  };
}
