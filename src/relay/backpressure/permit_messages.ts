/** What a host and the owner of an upstream's limit tell each other. */

import type {LimitRecord} from './upstream_limits.js';

/** A request for an upstream that names a limit. */
export interface PermitAsk {
  readonly kind: 'permit-ask';
  /** New for each ask of the asking host's life. */
  readonly askId: number;
  /** The limit as the asking host knows it. */
  readonly limit: LimitRecord;
  /** How long the request may be held back. */
  readonly mostWaitMs: number;
}

export interface PermitAnswer {
  readonly kind: 'permit-answer';
  readonly askId: number;
  readonly isGranted: boolean;
  /** Until the request may be sent, or until the next one could be. */
  readonly waitMs: number;
  /** What the owner knows, where it knows newer. */
  readonly limit?: LimitRecord;
}

export type PermitMessage = PermitAsk | PermitAnswer;

export function isPermitMessage(message: {
  readonly kind: string;
}): message is PermitMessage {
  return message.kind === 'permit-ask' || message.kind === 'permit-answer';
}
