/** Messages between a host and the owner of an upstream's limit. */

import type {LimitRecord} from './upstream_limits.js';

/** Asks the owner for permission to send a request to the upstream. */
export interface PermitRequest {
  readonly kind: 'permit-ask';
  /** Unique among the requests of the sender's incarnation. */
  readonly askId: number;
  /** The limit as known to the sender. */
  readonly limit: LimitRecord;
  /** Maximum time for which the request may be delayed. */
  readonly mostWaitMs: number;
}

export interface PermitReply {
  readonly kind: 'permit-answer';
  readonly askId: number;
  readonly isGranted: boolean;
  /** Time until this request, if granted, or else the next may be sent. */
  readonly waitMs: number;
  /** The limit as known to the owner, if it differs from the request's. */
  readonly limit?: LimitRecord;
}

export type PermitMessage = PermitRequest | PermitReply;

export function isPermitMessage(message: {
  readonly kind: string;
}): message is PermitMessage {
  return message.kind === 'permit-ask' || message.kind === 'permit-answer';
}
