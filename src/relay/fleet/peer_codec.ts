/**
 * Compresses datagrams between relays. Most of a state consists of field names
 * and values that rarely change.
 */

import {deflateRawSync, inflateRawSync} from 'node:zlib';

/**
 * Preset dictionary of text that is common in states. It must be the same on
 * all hosts; a change needs a new `FORMAT`, so that hosts of another version
 * reject the datagram instead of decoding it wrongly.
 */
const DICTIONARY = Buffer.from(
  '{"kind":"up","member":{"hostId":"front-","incarnation":"",' +
    '"peerAddress":"10.1.0.1:7380","callerAddress":"10.2.0.1:",' +
    '"failureDomain":"","state":"leaving","isStoreReachable":false}}' +
    '{"kind":"down","hostId":"front-"},' +
    '{"routingVersion":1,"routingAges":{"readAgeMs":1000,"ageMs":1000},' +
    '"upstreamRevision":{"era":0,"counter":1000},' +
    '"upstreamDigest":1000000000,' +
    '"upstreamAges":{"readAgeMs":1000,"ageMs":100},"listDeltas":[],' +
    '"isStoreReachable":true,"state":"ready","callerAddress":"10.",' +
    '"failureDomain":"","load":{"decode":{"i-":[1,3200,3600]},' +
    '"prefill":{}},"waiting":[],"suspects":[],"unreachable":[],' +
    '"spending":[{"account":"","offeredUnits":10000,' +
    '"admittedUnits":10000,"returnedUnits":0},],"routingCompleteUntil":' +
    '{"era":0,"storeMs":100000},' +
    '"accountLevels":[{"account":"","levelUnits":-1000,' +
    '"offeredUnitsPerS":10000}],' +
    '"changing":[],"learned":{"starts":{"weight":0,"sums":[0]},' +
    '"runs":{"weight":0,"sums":[0,0,0]},"prefills":{"weight":0,"sums":[0]}},' +
    '"losses":[],"full":[],"adoptedAskIds":[],"membersDigest":1000000000,' +
    '"memberChanges":[],"kind":"state","from":"front-","incarnation":"",' +
    '"sequence":100,"nextWithinMs":700,"known":[],"missedIds":[]}' +
    '"isSettled":true,"wants":"view"}',
);
/** First byte of a compressed datagram; uncompressed JSON begins with `{`. */
const FORMAT = 7;
/** Smaller datagrams are sent uncompressed. */
const MIN_COMPRESSED_BYTES = 300;
const MAX_DECODED_BYTES = 256 * 1024;
/**
 * A window of 4 kB holds the dictionary and a state; more would cost memory.
 */
const COMPRESSION_OPTIONS = {
  dictionary: DICTIONARY,
  windowBits: 12,
  memLevel: 4,
};

export function encodeDatagram(value: unknown): Buffer {
  const text = Buffer.from(JSON.stringify(value));
  if (text.length < MIN_COMPRESSED_BYTES) return text;
  return Buffer.concat([
    Buffer.of(FORMAT),
    deflateRawSync(text, COMPRESSION_OPTIONS),
  ]);
}

/** Throws if the payload is in neither format. */
export function decodeDatagram(payload: Uint8Array): unknown {
  const bytes =
    payload[0] === FORMAT
      ? inflateRawSync(payload.subarray(1), {
          ...COMPRESSION_OPTIONS,
          maxOutputLength: MAX_DECODED_BYTES,
        })
      : Buffer.from(payload);
  return JSON.parse(bytes.toString('utf8'));
}
