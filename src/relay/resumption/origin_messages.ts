/** Messages about where streams began, and their validation. */

import {MAX_VERSIONS, type SeenVersions} from './version_history.js';
import type {StreamOrigin} from './stream_origins.js';

/** Copies of origins that the receiver keeps. */
export interface OriginCopies {
  readonly kind: 'stream-origins';
  readonly origins: readonly StreamOrigin[];
  /** Whether the receiver is to write them to the store. */
  readonly isForArchive?: boolean;
}

/** Asks what the receiver knows about a stream that a caller takes up. */
export interface OriginRequest {
  readonly kind: 'stream-origin-ask';
  readonly askId: number;
  /** Id of the attempt that brought the first event; empty if not known. */
  readonly requestId: string;
  readonly service: string;
  /** For how long back versions are to be reported. */
  readonly windowMs: number;
}

export interface OriginReply {
  readonly kind: 'stream-origin-answer';
  readonly askId: number;
  readonly origin?: StreamOrigin;
  readonly seen: SeenVersions;
}

export type OriginMessage = OriginCopies | OriginRequest | OriginReply;

/** Longer ids are not looked up. */
export const MAX_ID_LENGTH = 128;
const MAX_TEXT_LENGTH = 256;
/** As many as fit into a datagram on any link. */
export const MAX_COPIES = 8;

const isText = (value: unknown): value is string =>
  typeof value === 'string' && value.length <= MAX_TEXT_LENGTH;

const isDuration = (value: unknown): boolean =>
  Number.isFinite(value) && Number(value) >= 0;

const isObject = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null;

function isOrigin(value: unknown): value is StreamOrigin {
  if (!isObject(value)) return false;
  const {requestId, route, account, service, version} = value;
  return (
    [requestId, route, service, version].every(isText) &&
    (account === undefined || isText(account)) &&
    isDuration(value['leftMs']) &&
    isDuration(value['ageMs'])
  );
}

function isSeen(value: unknown): value is SeenVersions {
  if (!isObject(value)) return false;
  const {versions, observedMs} = value;
  return (
    Array.isArray(versions) &&
    versions.length <= MAX_VERSIONS &&
    versions.every(isText) &&
    isDuration(observedMs)
  );
}

const VALIDATORS: Readonly<
  Record<OriginMessage['kind'], (value: Record<string, unknown>) => boolean>
> = {
  'stream-origins': ({origins, isForArchive}) =>
    (isForArchive === undefined || typeof isForArchive === 'boolean') &&
    Array.isArray(origins) &&
    origins.length <= MAX_COPIES &&
    origins.every(isOrigin),
  'stream-origin-ask': ({askId, requestId, service, windowMs}) =>
    Number.isFinite(askId) &&
    isText(requestId) &&
    isText(service) &&
    isDuration(windowMs),
  'stream-origin-answer': ({askId, origin, seen}) =>
    Number.isFinite(askId) &&
    (origin === undefined || isOrigin(origin)) &&
    isSeen(seen),
};

export function isOriginMessage(message: {
  readonly kind: string;
}): message is OriginMessage {
  return Object.hasOwn(VALIDATORS, message.kind);
}

/** Checks a message that a peer sent; the port is open to any sender. */
export function isValidOriginMessage(message: OriginMessage): boolean {
  return VALIDATORS[message.kind]({...message});
}
