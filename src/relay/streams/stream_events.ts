/** Forwards the events of one run to the caller. */

import type {Clock} from '../../ports/clock.js';
import type {
  BreakCause,
  Cancellation,
  UpstreamAnswer,
} from '../../ports/relay.js';
import type {Caller} from '../front/caller.js';
import type {RunWatch} from '../silence/run_watch.js';
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
  /** The run was left for its silence; another one is ready. */
  | {readonly kind: 'left'}
  /** The run broke off; the caller is still connected. */
  | ({readonly kind: 'broken'; readonly detail: string} & BreakCause);

export interface StreamEventsOptions {
  readonly answer: UpstreamAnswer;
  readonly caller: Caller;
  readonly cancellation: Cancellation;
  /** Whether the bytes of an event are held back until it is complete. */
  readonly wholeEventsOnly: boolean;
  /** Absent if no other run may follow. */
  readonly watch?: Pick<
    RunWatch<unknown>,
    'leaving' | 'noteData' | 'pause' | 'resume' | 'end'
  >;
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

/**
 * The head of the answer is sent with the first whole event: until then, an
 * error can still be sent instead.
 */
export function relayEvents(
  host: {readonly clock: Clock},
  options: StreamEventsOptions,
): Promise<StreamEnd> {
  const {clock} = host;
  const {answer, caller, cancellation, watch} = options;
  const {body} = answer;
  const framer = createEventFramer();
  return new Promise(resolve => {
    let isDone = false;
    const finish = (end: StreamEnd) => {
      if (isDone) return;
      isDone = true;
      watch?.end();
      clock.clearTimer(deadlineTimer);
      if (end.kind !== 'whole') body.destroy();
      resolve(end);
    };
    const deadlineTimer = clock.setTimer(
      Math.max(0, options.deadlineAtMs - clock.nowMs()),
      () => finish({kind: 'timeout', detail: 'the wait is over'}),
    );
    cancellation.onCancel(() => finish({kind: 'caller-gone'}));
    watch?.leaving.onCancel(() => finish({kind: 'left'}));
    let isPaused = false;
    const begin = () => {
      if (!caller.hasBegun) caller.begin(answer.status, answer.headers);
    };
    const write = (bytes: Buffer) => {
      begin();
      if (caller.write(bytes) || isDone) return;
      isPaused = true;
      watch?.pause();
      body.pause();
    };
    caller.onWritable(() => {
      if (isDone || !isPaused) return;
      isPaused = false;
      watch?.resume();
      options.onResume();
      body.resume();
    });
    body.read({
      chunk(bytes) {
        if (isDone) return;
        watch?.noteData();
        const held = framer.rest();
        const events = framer.push(bytes);
        if (!options.wholeEventsOnly) {
          if (caller.hasBegun) write(bytes);
          else if (events.length > 0) write(Buffer.concat([held, bytes]));
        }
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
        const isHeld = options.wholeEventsOnly || !caller.hasBegun;
        if (isHeld && framer.rest().length > 0) write(framer.rest());
        begin();
        caller.end();
        finish({kind: 'whole', restBytes: framer.rest().length});
      },
      broken: (detail, cause) => finish({kind: 'broken', detail, ...cause}),
    });
  });
}
