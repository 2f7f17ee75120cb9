/** Forwards the events of one run to the caller. */

import type {Clock} from '../../ports/clock.js';
import type {
  BreakCause,
  Cancellation,
  UpstreamAnswer,
} from '../../ports/relay.js';
import {createHeldAnswer} from '../limits/held_answer.js';
import type {MemoryBudget} from '../limits/memory_budget.js';
import type {Caller} from '../front/caller.js';
import type {RunWatch} from '../silence/run_watch.js';
import {createEventFramer, type FramedEvents} from './event_framer.js';

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
  /** This host has no room in memory for the event that has begun. */
  | {readonly kind: 'dropped'}
  /** The run was left for its silence; another one is ready. */
  | {readonly kind: 'left'}
  /** The run broke off; the caller is still connected. */
  | ({readonly kind: 'broken'; readonly detail: string} & BreakCause);

export interface StreamEventsHost {
  readonly clock: Clock;
  readonly memory: Pick<MemoryBudget, 'open'>;
}

export interface StreamEventsOptions {
  readonly requestId: string;
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
  /** Events are complete, at least one. */
  onEvents(events: FramedEvents): void;
  /**
   * Reading from the engine continues after a pause for a caller that reads
   * slowly.
   */
  onResume(): void;
}

/**
 * Most bytes from one event to the end of the next, with the comments between
 * them. An event of 18 tokens takes a few hundred bytes; one that never ends
 * grows.
 */
const MAX_EVENT_BYTES = 256 * 1024;

/**
 * The head of the answer is sent with the first whole event: until then, an
 * error can still be sent instead. What a chunk completes is written at once:
 * a chunk may hold thousands of events.
 */
export function relayEvents(
  host: StreamEventsHost,
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
      held.close();
      clock.clearTimer(deadlineTimer);
      if (end.kind !== 'whole') body.destroy();
      resolve(end);
    };
    const held = createHeldAnswer(host.memory, {
      requestId: options.requestId,
      end: () => finish({kind: 'dropped'}),
    });
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
    const take = options.wholeEventsOnly ? framer.takeWhole : framer.takeAll;
    const write = (bytes: Buffer | undefined) => {
      if (!bytes) return;
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
        const events = framer.push(bytes);
        if (events.count > 0) options.onEvents(events);
        if (events.count > 0 || caller.hasBegun) {
          write(take());
        }
        if (isDone) return;
        held.set(framer.heldBytes());
        if (framer.bytesSinceEvent() <= MAX_EVENT_BYTES) return;
        const detail = `no whole event in ${MAX_EVENT_BYTES} bytes`;
        finish({kind: 'broken', detail});
      },
      end() {
        if (isDone) return;
        const restBytes = framer.restBytes();
        write(framer.takeAll());
        begin();
        caller.end();
        finish({kind: 'whole', restBytes});
      },
      broken: (detail, cause) => finish({kind: 'broken', detail, ...cause}),
    });
  });
}
