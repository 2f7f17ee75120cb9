/** Messages between a host and the owner of an account's bucket. */

/** Asks the owner to admit a request of an account that is near its limit. */
export interface QuotaRequest {
  readonly kind: 'quota-ask';
  /** Unique among the requests of the sender's incarnation. */
  readonly askId: number;
  readonly account: string;
  readonly costUnits: number;
}

export interface QuotaReply {
  readonly kind: 'quota-answer';
  readonly askId: number;
  readonly isGranted: boolean;
  /** Level of the bucket after this grant. */
  readonly levelUnits: number;
}

export type QuotaMessage = QuotaRequest | QuotaReply;

export function isQuotaMessage(message: {
  readonly kind: string;
}): message is QuotaMessage {
  return message.kind === 'quota-ask' || message.kind === 'quota-answer';
}
