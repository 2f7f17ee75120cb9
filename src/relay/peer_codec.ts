/**
 * Datagrams between relays, made small: most of a state is names of fields and
 * values that hardly change. With 68 hosts the states that each tells all
 * others were nine tenths of what went over the wire between failure domains.
 */

import {deflateRawSync, inflateRawSync} from 'node:zlib';

/**
 * Text that states are made of. All hosts must have the same: another one
 * needs another `FORMAT`, so that a host of another version reads nothing
 * wrong, but nothing at all.
 */
const DICTIONARY = Buffer.from(
  '{"state":"ready","callerAddress":"10.","failureDomain":"",' +
    '"routingVersion":1,"routingAges":{"readAgeMs":1000,"ageMs":1000},' +
    '"upstreamRevision":1000,"upstreamDigest":1000000000,' +
    '"upstreamAges":{"readAgeMs":1000,"ageMs":100},"listDeltas":[],' +
    '"isStoreReachable":true,"load":{"decode":{"i-":[1,3200,3600]},' +
    '"prefill":{}},"waiting":[],"suspects":[],"full":[],"unreachable":[],' +
    '"changing":[],"learned":{"starts":{"weight":0,"sums":[0]},' +
    '"runs":{"weight":0,"sums":[0,0,0]},"prefills":{"weight":0,"sums":[0]}},' +
    '"losses":[],"adoptedAskIds":[],"from":"front-","incarnation":"",' +
    '"sequence":100,"known":["10.1.0.1:7380","10.2.0.1:7380"],"lost":[],' +
    '"nextWithinMs":1000}',
);
/** First byte of a compressed datagram; others are JSON and begin with `{`. */
const FORMAT = 2;
/** Below this, a datagram is sent as it is. */
const SMALL_BYTES = 300;
const MOST_BYTES = 256 * 1024;
/** A window of 4 kB holds the dictionary and a state; more costs memory. */
const OPTIONS = {dictionary: DICTIONARY, windowBits: 12, memLevel: 4};

export function encodeDatagram(value: unknown): Buffer {
  const text = Buffer.from(JSON.stringify(value));
  if (text.length < SMALL_BYTES) return text;
  return Buffer.concat([Buffer.of(FORMAT), deflateRawSync(text, OPTIONS)]);
}

/** Throws for what is neither. */
export function decodeDatagram(payload: Uint8Array): unknown {
  const bytes =
    payload[0] === FORMAT
      ? inflateRawSync(payload.subarray(1), {
          ...OPTIONS,
          maxOutputLength: MOST_BYTES,
        })
      : Buffer.from(payload);
  return JSON.parse(bytes.toString('utf8'));
}
