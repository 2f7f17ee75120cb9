/** Which hosts decide about a thing that one of them has to decide. */

import {hashText} from '../../core/hash_text.js';

/**
 * The hosts in the order in which they own it: the same at all hosts that know
 * the same ones, and another for each key, so that none owns everything.
 */
export function rankOwners(
  topic: string,
  key: string,
  hostIds: readonly string[],
): readonly string[] {
  return hostIds
    .map(hostId => ({hostId, rank: hashText(`${topic}|${key}|${hostId}`)}))
    .sort((a, b) => a.rank - b.rank)
    .map(({hostId}) => hostId);
}
