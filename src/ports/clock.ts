/**
 * The one clock of the project. All times are milliseconds.
 *
 * Decisions take a `Clock` so that tests and `scenario run` can drive them in
 * virtual time.
 */

/** What `setTimer` hands back; give it to `clearTimer`. */
export interface TimerHandle {
  readonly kind: 'timer';
}

/** Source of time and of timers. */
export interface Clock {
  /** Milliseconds since an arbitrary fixed point; never goes backwards. */
  nowMs(): number;
  /** Milliseconds since the Unix epoch; may be stepped by the host. */
  wallMs(): number;
  /** Calls `callback` once, `delayMs` from now. */
  setTimer(delayMs: number, callback: () => void): TimerHandle;
  clearTimer(timer: TimerHandle): void;
}
