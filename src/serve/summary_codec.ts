/** Encodes shard summaries as bodies of facts. */

import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {ShardSummarySchema} from '../generated/corianderbend/peer_pb.js';
import type {ShardSummary} from '../scheduling/dispatcher.js';

const KEY_PREFIX = 'shard/';

export function getSummaryKey(shardId: string): string {
  return KEY_PREFIX + shardId;
}

export function encodeSummary(summary: ShardSummary): Uint8Array {
  return toBinary(ShardSummarySchema, create(ShardSummarySchema, summary));
}

/** Returns undefined if the body is not a valid summary. */
export function decodeSummary(body: Uint8Array): ShardSummary | undefined {
  try {
    return fromBinary(ShardSummarySchema, body);
  } catch {
    return undefined;
  }
}
