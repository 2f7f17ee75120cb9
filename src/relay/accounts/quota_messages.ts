/** Messages between a host and the owner of an account's bucket. */

/** Asks the owner to admit a request of an account that is near its limit. */
export interface QuotaRequest {
  readonly kind: 'quota-ask';
  /** Unique among the requests of the sender's incarnation. */
  readonly askId: number;
  readonly account: string;
  readonly costUnits: number;
  /**
   * 0 is the most urgent. Absent if all requests of the account are equally
   * urgent, and from hosts of the build before priorities.
   */
  readonly priority?: number;
  /**
   * Units that must stay in the bucket for more urgent requests of the account,
   * as estimated by the sender; 0 if absent. The owner's own estimate takes
   * precedence once it has one.
   */
  readonly reserveUnits?: number;
}

export interface QuotaReply {
  readonly kind: 'quota-answer';
  readonly askId: number;
  readonly isGranted: boolean;
  /** Level of the bucket after this grant. */
  readonly levelUnits: number;
  /** Of a refusal: units that had to stay in the bucket; 0 if absent. */
  readonly reserveUnits?: number;
  /** Of a refusal: share of the limit that the owner may grant; 1 if absent. */
  readonly share?: number;
}

export type QuotaMessage = QuotaRequest | QuotaReply;

export function isQuotaMessage(message: {
  readonly kind: string;
}): message is QuotaMessage {
  return message.kind === 'quota-ask' || message.kind === 'quota-answer';
}
