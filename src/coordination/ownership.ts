/**
 * Determines the owner of a key by weighted rendezvous hashing over the
 * members, spread over failure domains. Each host computes it from its own
 * view. Where only one host may act, a lease decides, and ownership selects the
 * host that should acquire it.
 */

import type {Clock} from '../ports/clock.js';
import {hashText} from '../core/hash_text.js';

export interface OwnerCandidate {
  readonly hostId: string;
  readonly failureDomain: string;
  /** Relative share of keys; 1 by default. */
  readonly weight?: number;
}

export interface OwnerQuery {
  readonly key: string;
  /** Number of owners to return, in order of preference. */
  readonly count: number;
  /** Only hosts of this failure domain are used if there are any. */
  readonly preferredDomain?: string;
}

const UINT32_RANGE = 2 ** 32;

/**
 * Returns the score of a host for a key; the highest score owns the key. It does
 * not depend on other hosts, so a membership change moves only affected keys.
 */
function getScore(key: string, candidate: OwnerCandidate): number {
  const hash = hashText(`${key}|${candidate.hostId}`);
  const unit = (hash + 0.5) / UINT32_RANGE;
  return -(candidate.weight ?? 1) / Math.log(unit);
}

/** Returns the owners of a key, with different failure domains first. */
export function rankOwners<T extends OwnerCandidate>(
  candidates: readonly T[],
  query: OwnerQuery,
): readonly T[] {
  const {key, count, preferredDomain} = query;
  const inDomain = candidates.filter(
    candidate => candidate.failureDomain === preferredDomain,
  );
  const pool = inDomain.length > 0 ? inDomain : candidates;
  const sorted = pool
    .map(candidate => ({candidate, score: getScore(key, candidate)}))
    .sort((a, b) => b.score - a.score)
    .map(({candidate}) => candidate);
  return spreadOverDomains(sorted).slice(0, count);
}

function spreadOverDomains<T extends OwnerCandidate>(
  sorted: readonly T[],
): readonly T[] {
  const seen = new Set<string>();
  const first: T[] = [];
  const rest: T[] = [];
  for (const candidate of sorted) {
    if (seen.has(candidate.failureDomain)) rest.push(candidate);
    else first.push(candidate);
    seen.add(candidate.failureDomain);
  }
  return [...first, ...rest];
}

/** A change of a key's owner in this host's view. */
export interface OwnershipChange {
  readonly key: string;
  /** The owner before; undefined if there was none. */
  readonly from: string | undefined;
  /** The owner now; undefined if there is none. */
  readonly to: string | undefined;
  /** Wall clock; informational only. */
  readonly atMs: number;
}

export interface OwnershipHost {
  readonly clock: Clock;
  /** Returns the hosts that may own keys, without those that are leaving. */
  candidates(): readonly OwnerCandidate[];
}

export interface Ownership {
  /** Returns the owner in this host's view. */
  ownerOf(key: string, preferredDomain?: string): string | undefined;
  /** Returns the owner and the hosts next in order of preference. */
  ownersOf(
    key: string,
    count: number,
    preferredDomain?: string,
  ): readonly string[];
  /** Recomputes the owners of watched keys; returns the changes. */
  refresh(): readonly OwnershipChange[];
  /** Adds a key whose changes of owner are recorded. */
  watch(key: string, preferredDomain?: string): void;
  /** Returns the recorded changes, newest last. */
  history(key?: string): readonly OwnershipChange[];
}

const MAX_HISTORY = 2_000;

export function createOwnership(host: OwnershipHost): Ownership {
  const watched = new Map<string, string | undefined>();
  const owners = new Map<string, string | undefined>();
  const history: OwnershipChange[] = [];

  function ownersOf(
    key: string,
    count: number,
    preferredDomain?: string,
  ): readonly string[] {
    const query = {key, count, preferredDomain};
    return rankOwners(host.candidates(), query).map(owner => owner.hostId);
  }

  function refresh(): readonly OwnershipChange[] {
    const moved: OwnershipChange[] = [];
    for (const [key, preferredDomain] of watched) {
      const from = owners.get(key);
      const to = ownersOf(key, 1, preferredDomain).at(0);
      if (from === to) continue;
      owners.set(key, to);
      moved.push({key, from, to, atMs: host.clock.wallMs()});
    }
    history.push(...moved);
    history.splice(0, Math.max(0, history.length - MAX_HISTORY));
    return moved;
  }

  return {
    ownerOf: (key, preferredDomain) => ownersOf(key, 1, preferredDomain).at(0),
    ownersOf,
    refresh,
    watch(key, preferredDomain) {
      watched.set(key, preferredDomain);
    },
    history: key =>
      key === undefined
        ? [...history]
        : history.filter(change => change.key === key),
  };
}
