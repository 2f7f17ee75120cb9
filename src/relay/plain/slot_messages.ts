/**
 * Messages between a host and the keeper of the slots of a plain service. Times
 * are relative to when a message is sent.
 */

import type {PlainCallResult} from '../../scheduling/plain_balancer.js';

/** Requests a slot for a call. */
export interface SlotRequest {
  readonly kind: 'slot-ask';
  /** Unique for each request within one process of the requesting host. */
  readonly askId: number;
  readonly service: string;
  /** Upstreams that must not be used for this call. */
  readonly avoid: readonly string[];
  readonly ageMs: number;
  readonly onTimeMs: number;
  readonly giveUpMs: number;
  /** 0 is the most urgent; absent if it is not known. */
  readonly priority?: number;
  /** The client account, if the caller has one. */
  readonly account?: string;
}

export type SlotAnswer =
  /** The call waits in the queue. */
  | {readonly kind: 'slot-queued'; readonly askId: number}
  | {
      readonly kind: 'slot-given';
      readonly askId: number;
      readonly upstream: string;
      /** The upstream resets connections at present. */
      readonly isResetting?: boolean;
    }
  | {
      readonly kind: 'slot-refused';
      readonly askId: number;
      readonly retryAfterMs: number;
    };

/** The call has ended or no longer needs a slot. */
export interface SlotEnd {
  readonly kind: 'slot-end';
  readonly askId: number;
  readonly result: PlainCallResult;
  readonly durationMs: number;
  /** The upstream did not run the call, because it was full. */
  readonly isFull?: boolean;
  /** The upstream closed a new connection without an answer. */
  readonly wasReset?: boolean;
}

export type SlotMessage = SlotRequest | SlotAnswer | SlotEnd;

const KINDS: ReadonlySet<string> = new Set<SlotMessage['kind']>([
  'slot-ask',
  'slot-queued',
  'slot-given',
  'slot-refused',
  'slot-end',
]);

export function isSlotMessage(message: {
  readonly kind: string;
}): message is SlotMessage {
  return KINDS.has(message.kind);
}
