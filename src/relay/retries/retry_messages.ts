/** Messages between a host and the owner of a service's shared retries. */

import {hashText} from '../../core/hash_text.js';

/** Asks the owner for one retry, as this host's own part is used up. */
export interface RetryRequest {
  readonly kind: 'retry-ask';
  /** Unique among the requests of the sender's incarnation. */
  readonly askId: number;
  readonly service: string;
}

export interface RetryReply {
  readonly kind: 'retry-answer';
  readonly askId: number;
  readonly isGranted: boolean;
}

export type RetryMessage = RetryRequest | RetryReply;

export function isRetryMessage(message: {
  readonly kind: string;
}): message is RetryMessage {
  return message.kind === 'retry-ask' || message.kind === 'retry-answer';
}

/**
 * Retries of one service that a host's requests allowed and its own part had no
 * room for, since the start of its process; rounded down. The tag is that of
 * the owner that may grant them, so that two owners don't both do.
 */
export type UnusedRetries = readonly [
  service: string,
  total: number,
  ownerTag: number,
];

/** More services than any deployment has. */
const MAX_SERVICES = 64;

function isUnusedRetries(value: unknown): value is UnusedRetries {
  if (!Array.isArray(value)) return false;
  const [service, total, tag] = value as readonly unknown[];
  const isTotal = Number.isFinite(total) && Number(total) >= 0;
  return typeof service === 'string' && isTotal && Number.isFinite(tag);
}

/** Few enough digits for a datagram; owners of equal tags are rare. */
const TAG_COUNT = 1_000;

/** What a host's report calls an owner. */
export function toOwnerTag(hostId: string): number {
  return hashText(hostId) % TAG_COUNT;
}

/**
 * The valid entries of a peer's report; undefined if it has none, such as that
 * of an earlier build.
 */
export function readUnusedRetries(
  value: unknown,
): readonly UnusedRetries[] | undefined {
  if (!Array.isArray(value)) return undefined;
  return value.filter(isUnusedRetries).slice(0, MAX_SERVICES);
}
