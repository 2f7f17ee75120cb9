/** What a host and the owner of an account's bucket tell each other. */

/** A request of an account that is near its limit. */
export interface QuotaAsk {
  readonly kind: 'quota-ask';
  /** New for each ask of the asking host's life. */
  readonly askId: number;
  readonly account: string;
  readonly costUnits: number;
}

export interface QuotaAnswer {
  readonly kind: 'quota-answer';
  readonly askId: number;
  readonly isGranted: boolean;
  /** What the bucket holds, without what was granted now. */
  readonly levelUnits: number;
}

export type QuotaMessage = QuotaAsk | QuotaAnswer;

export function isQuotaMessage(message: {
  readonly kind: string;
}): message is QuotaMessage {
  return message.kind === 'quota-ask' || message.kind === 'quota-answer';
}
