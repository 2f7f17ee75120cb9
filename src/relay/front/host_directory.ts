/**
 * Selects the entries that callers should use: the ready hosts, including this
 * one if it is ready. It keeps no state and reads only from
 * `HostDirectoryHost`.
 */

import type {Random} from '../../ports/random.js';
import type {Member} from '../fleet/members.js';

export interface EntryList {
  /** Each is `ip:port`; in no particular order. */
  readonly addresses: readonly string[];
  /** Time for which a caller may cache the answer. */
  readonly ttlS: number;
}

export interface HostDirectoryHost {
  readonly callerAddress: string;
  isReady(): boolean;
  readonly random: Random;
  peers(): readonly Member[];
}

/**
 * A failed entry delays each caller that chooses it by a second, so callers may
 * cache an answer only for a short time. Making an answer costs an entry a
 * fraction of a millisecond.
 */
const TTL_S = 1.5;
const MAX_ADDRESSES = 64;

/** Returns up to `count` random elements of the list. */
function sample<T>(list: readonly T[], count: number, random: Random): T[] {
  const shuffled = [...list];
  const swapCount = Math.min(count, list.length - 1);
  for (let i = 0; i < swapCount; i++) {
    const swapIndex = i + random.nextInt(shuffled.length - i);
    [shuffled[i], shuffled[swapIndex]] = [shuffled[swapIndex], shuffled[i]];
  }
  return shuffled.slice(0, count);
}

/**
 * Returns undefined if no entry is ready. If there are more entries than an
 * answer holds, it contains a random selection, so that all entries get
 * callers.
 */
export function listEntries(host: HostDirectoryHost): EntryList | undefined {
  const ready = host
    .peers()
    .filter(peer => peer.state === 'ready')
    .map(peer => peer.callerAddress);
  const own = host.isReady() ? [host.callerAddress] : [];
  const others = sample(ready, MAX_ADDRESSES - own.length, host.random);
  const addresses = [...own, ...others];
  return addresses.length > 0 ? {addresses, ttlS: TTL_S} : undefined;
}
