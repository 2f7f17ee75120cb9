/**
 * Selects the entries that callers should use: the ready hosts, including this
 * one if it is ready. It keeps no state and reads only from
 * `HostDirectoryHost`.
 */

import type {Clock} from '../../ports/clock.js';
import type {Random} from '../../ports/random.js';
import {createEntryWeights} from '../fleet/host_capacity.js';
import type {Member} from '../fleet/members.js';
import {selectEntries} from './entry_rotation.js';

export interface EntryList {
  /** Each is `ip:port`; in no particular order. */
  readonly addresses: readonly string[];
  /** Time for which a caller may cache the answer. */
  readonly ttlS: number;
}

/** What the directory reads of a member. */
export type EntryMember = Pick<
  Member,
  'hostId' | 'callerAddress' | 'failureDomain' | 'state' | 'capacity'
>;

export interface HostDirectoryHost {
  readonly clock: Pick<Clock, 'wallMs'>;
  readonly random: Random;
  self(): EntryMember;
  /** Live hosts except this one. */
  peers(): readonly EntryMember[];
}

/**
 * A failed entry delays each caller that chooses it by a second, so callers may
 * cache an answer only for a short time. Making an answer costs an entry a
 * fraction of a millisecond.
 */
const TTL_S = 1.5;
const MAX_ADDRESSES = 64;
/** Hosts that differ by less take equal shares of the requests. */
const MIN_UNEVEN_WEIGHT = 0.95;

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
 * Lists all ready hosts alike, in random order. If there are more than an
 * answer holds, it contains a random selection, so that all get callers.
 */
function listEvenly(
  self: EntryMember,
  readyPeers: readonly EntryMember[],
  random: Random,
): readonly string[] {
  const own = self.state === 'ready' ? [self.callerAddress] : [];
  const ready = readyPeers.map(peer => peer.callerAddress);
  return [...own, ...sample(ready, MAX_ADDRESSES - own.length, random)];
}

function listAddresses(host: HostDirectoryHost): readonly string[] {
  const self = host.self();
  const readyPeers = host.peers().filter(({state}) => state === 'ready');
  const ready = self.state === 'ready' ? [self, ...readyPeers] : readyPeers;
  const weightOf = createEntryWeights(ready);
  const weighted = ready.map(member => ({member, weight: weightOf(member)}));
  if (weighted.every(({weight}) => weight >= MIN_UNEVEN_WEIGHT)) {
    return listEvenly(self, readyPeers, host.random);
  }
  const {failureDomain} = self;
  const wallMs = host.clock.wallMs();
  const maxCount = MAX_ADDRESSES;
  return selectEntries(weighted, {failureDomain, wallMs, maxCount});
}

/** Returns undefined if no entry is ready. */
export function listEntries(host: HostDirectoryHost): EntryList | undefined {
  const addresses = listAddresses(host);
  return addresses.length > 0 ? {addresses, ttlS: TTL_S} : undefined;
}
