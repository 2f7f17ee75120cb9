/**
 * Selects the entries for callers such that each ready host is listed for a
 * share of the time that is in proportion to its capacity.
 *
 * Each host has a fixed place in a cycle, which differs by failure domain, and
 * is listed for its share of the cycle, without a break. So a host's callers
 * keep their connections for as long as that takes, all hosts of a failure
 * domain list the same entries without telling each other, and at any time
 * about the same number of hosts is listed.
 */

import {hashText} from '../../core/hash_text.js';
import type {Member} from '../fleet/members.js';

export interface RotationOptions {
  /** Of the host whose directory is asked. */
  readonly failureDomain: string;
  /** Time since the epoch, so that all hosts are at the same place. */
  readonly wallMs: number;
  readonly maxCount: number;
}

/** An entry, and the share of the time for which it is to be listed. */
export interface WeightedEntry {
  readonly member: Pick<Member, 'hostId' | 'callerAddress'>;
  readonly weight: number;
}

/**
 * A host with a quarter of the largest capacity is listed for 5 s at a time:
 * longer than callers keep an answer (1.5 s), and shorter than most streams
 * (20 s), so that the number of its open streams hardly changes.
 */
export const ROTATION_MS = 20_000;
/**
 * With this many entries, a caller that finds one or two of them dead still
 * spreads its requests.
 */
export const MIN_ENTRIES = 8;
const HASH_RANGE = 2 ** 32;
/** Bounds the rank of a host with almost no capacity. */
const MIN_WEIGHT = 0.001;

/**
 * Returns the caller addresses to list. If fewer than `MIN_ENTRIES` hosts are
 * due, the next ones are added.
 */
export function selectEntries(
  entries: readonly WeightedEntry[],
  {failureDomain, wallMs, maxCount}: RotationOptions,
): readonly string[] {
  const progress = (wallMs % ROTATION_MS) / ROTATION_MS;
  const ranked = entries
    .map(({member, weight}) => {
      const offset = hashText(`entry|${failureDomain}|${member.hostId}`);
      const phase = (offset / HASH_RANGE + progress) % 1;
      return {member, rank: phase / Math.max(MIN_WEIGHT, weight)};
    })
    .sort((a, b) => a.rank - b.rank);
  // A rank below 1 means that the place in the cycle is within the share.
  const dueCount = ranked.filter(({rank}) => rank < 1).length;
  const count = Math.min(maxCount, Math.max(MIN_ENTRIES, dueCount));
  return ranked.slice(0, count).map(({member}) => member.callerAddress);
}
