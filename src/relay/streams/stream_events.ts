/** Hands the events of one run on to the caller, and watches its pace. */

import type {Clock, TimerHandle} from '../../ports/clock.js';
import type {Cancellation, UpstreamAnswer} from '../../ports/relay.js';
import type {Caller} from '../front/caller.js';
import {createEventFramer, type StreamEvent} from './event_framer.js';

export type StreamEnd =
  /** The last event was handed on. */
  | {readonly kind: 'whole'}
  | {readonly kind: 'caller-gone'}
  /** The request's time is over. */
  | {readonly kind: 'timeout'; readonly detail: string}
  /** The run broke off or fell silent; the caller's connection still stands. */
  | {readonly kind: 'broken'; readonly detail: string};

export interface StreamEventsOptions {
  readonly answer: UpstreamAnswer;
  readonly caller: Caller;
  readonly cancellation: Cancellation;
  /** Keep back the bytes of an event until it is whole. */
  readonly wholeEventsOnly: boolean;
  /** Ends a run that shows nothing for this long; without it, none. */
  readonly silenceMs?: number;
  readonly deadlineAtMs: number;
  onEvent(event: StreamEvent): void;
}

export function relayEvents(
  host: {readonly clock: Clock},
  options: StreamEventsOptions,
): Promise<StreamEnd> {
  const {clock} = host;
  const {answer, caller, cancellation, silenceMs} = options;
  const {body} = answer;
  const framer = createEventFramer();
  return new Promise(resolve => {
    let silenceTimer: TimerHandle | undefined;
    let isDone = false;
    const finish = (end: StreamEnd) => {
      if (isDone) return;
      isDone = true;
      if (silenceTimer) clock.clearTimer(silenceTimer);
      clock.clearTimer(deadlineTimer);
      if (end.kind !== 'whole') body.destroy();
      resolve(end);
    };
    const watchSilence = () => {
      if (silenceMs === undefined) return;
      if (silenceTimer) clock.clearTimer(silenceTimer);
      silenceTimer = clock.setTimer(silenceMs, () =>
        finish({kind: 'broken', detail: `silent for ${silenceMs} ms`}),
      );
    };
    const deadlineTimer = clock.setTimer(
      Math.max(0, options.deadlineAtMs - clock.nowMs()),
      () => finish({kind: 'timeout', detail: 'the wait is over'}),
    );
    cancellation.onCancel(() => finish({kind: 'caller-gone'}));
    const write = (bytes: Buffer) => {
      if (!caller.write(bytes)) body.pause();
    };
    caller.onWritable(() => body.resume());
    watchSilence();
    body.read({
      chunk(bytes) {
        if (isDone) return;
        watchSilence();
        const events = framer.push(bytes);
        if (!options.wholeEventsOnly) write(bytes);
        for (const event of events) {
          if (options.wholeEventsOnly) write(event.bytes);
          options.onEvent(event);
        }
      },
      end() {
        if (isDone) return;
        if (options.wholeEventsOnly && framer.rest().length > 0) {
          write(framer.rest());
        }
        caller.end();
        finish({kind: 'whole'});
      },
      broken: detail => finish({kind: 'broken', detail}),
    });
  });
}
