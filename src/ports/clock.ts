/**
 * The clock interface of the project. All times are in milliseconds.
 *
 * Code takes time from a `Clock`, so that tests and `scenario run` can use
 * virtual time.
 */

/** Handle that `setTimer` returns, for `clearTimer`. */
export interface TimerHandle {
  readonly kind: 'timer';
}

/** Source of time and of timers. */
export interface Clock {
  /** Monotonic time since an arbitrary fixed point. */
  nowMs(): number;
  /** Time since the Unix epoch; the host's clock may be stepped. */
  wallMs(): number;
  /** Calls `callback` once, after `delayMs`. */
  setTimer(delayMs: number, callback: () => void): TimerHandle;
  clearTimer(timer: TimerHandle): void;
}
