/**
 * What an entry and the host that keeps the slots of a plain service tell each
 * other. Times count from when the message was sent.
 */

import type {PlainCallResult} from '../../scheduling/plain_balancer.js';

/** A call that needs a slot. */
export interface SlotAsk {
  readonly kind: 'slot-ask';
  /** New for each ask of the asking host's life. */
  readonly askId: number;
  readonly service: string;
  /** Upstreams that are not to be used for this call. */
  readonly avoid: readonly string[];
  readonly ageMs: number;
  readonly onTimeMs: number;
  readonly giveUpMs: number;
}

export type SlotAnswer =
  /** It waits in the queue. */
  | {readonly kind: 'slot-queued'; readonly askId: number}
  | {
      readonly kind: 'slot-given';
      readonly askId: number;
      readonly upstream: string;
    }
  | {
      readonly kind: 'slot-refused';
      readonly askId: number;
      readonly retryAfterMs: number;
    };

/** The call has ended, or needs no slot any more. */
export interface SlotEnd {
  readonly kind: 'slot-end';
  readonly askId: number;
  readonly result: PlainCallResult;
  readonly durationMs: number;
}

export type SlotMessage = SlotAsk | SlotAnswer | SlotEnd;

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
