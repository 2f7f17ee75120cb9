/** Forwards the events of one run to the caller and detects a stalled run. */

import type {Clock, TimerHandle} from '../../ports/clock.js';
import type {
  BreakCause,
  Cancellation,
  UpstreamAnswer,
} from '../../ports/relay.js';
import type {Caller} from '../front/caller.js';
import {createEventFramer, type StreamEvent} from './event_framer.js';

export type StreamEnd =
  /** The last event was forwarded. */
  | {
      readonly kind: 'whole';
      /** Size of what followed the last whole event. */
      readonly restBytes: number;
    }
  | {readonly kind: 'caller-gone'}
  /** The deadline of the request has passed. */
  | {readonly kind: 'timeout'; readonly detail: string}
  /** The run broke off or stalled; the caller is still connected. */
  | ({readonly kind: 'broken'; readonly detail: string} & BreakCause);

export interface StreamEventsOptions {
  readonly answer: UpstreamAnswer;
  readonly caller: Caller;
  readonly cancellation: Cancellation;
  /** Whether the bytes of an event are held back until it is complete. */
  readonly wholeEventsOnly: boolean;
  /** Ends a run that sends nothing for this time; undefined disables this. */
  readonly stallTimeoutMs?: number;
  readonly deadlineAtMs: number;
  onEvent(event: StreamEvent): void;
  /**
   * Reading from the engine continues after a pause for a caller that reads
   * slowly.
   */
  onResume(): void;
}

/** An event of 18 tokens takes a few hundred bytes; one that never ends grows. */
const MAX_EVENT_BYTES = 256 * 1024;

export function relayEvents(
  host: {readonly clock: Clock},
  options: StreamEventsOptions,
): Promise<StreamEnd> {
  const {clock} = host;
  const {answer, caller, cancellation, stallTimeoutMs} = options;
  const {body} = answer;
  const framer = createEventFramer();
  return new Promise(resolve => {
    let stallTimer: TimerHandle | undefined;
    let isDone = false;
    const finish = (end: StreamEnd) => {
      if (isDone) return;
      isDone = true;
      if (stallTimer) clock.clearTimer(stallTimer);
      clock.clearTimer(deadlineTimer);
      if (end.kind !== 'whole') body.destroy();
      resolve(end);
    };
    const restartStallTimer = () => {
      if (stallTimeoutMs === undefined || isPaused) return;
      if (stallTimer) clock.clearTimer(stallTimer);
      stallTimer = clock.setTimer(stallTimeoutMs, () =>
        finish({kind: 'broken', detail: `silent for ${stallTimeoutMs} ms`}),
      );
    };
    const deadlineTimer = clock.setTimer(
      Math.max(0, options.deadlineAtMs - clock.nowMs()),
      () => finish({kind: 'timeout', detail: 'the wait is over'}),
    );
    cancellation.onCancel(() => finish({kind: 'caller-gone'}));
    // While the caller reads nothing, the run sends nothing either, and must
    // not count as stalled.
    let isPaused = false;
    const write = (bytes: Buffer) => {
      if (caller.write(bytes) || isDone) return;
      isPaused = true;
      if (stallTimer) clock.clearTimer(stallTimer);
      body.pause();
    };
    caller.onWritable(() => {
      if (isDone || !isPaused) return;
      isPaused = false;
      restartStallTimer();
      options.onResume();
      body.resume();
    });
    restartStallTimer();
    body.read({
      chunk(bytes) {
        if (isDone) return;
        restartStallTimer();
        const events = framer.push(bytes);
        if (!options.wholeEventsOnly) write(bytes);
        for (const event of events) {
          options.onEvent(event);
          if (options.wholeEventsOnly) write(event.bytes);
        }
        if (framer.rest().length <= MAX_EVENT_BYTES) return;
        const detail = `an event of over ${MAX_EVENT_BYTES} bytes`;
        finish({kind: 'broken', detail});
      },
      end() {
        if (isDone) return;
        if (options.wholeEventsOnly && framer.rest().length > 0) {
          write(framer.rest());
        }
        caller.end();
        finish({kind: 'whole', restBytes: framer.rest().length});
      },
      broken: (detail, cause) => finish({kind: 'broken', detail, ...cause}),
    });
  });
}
