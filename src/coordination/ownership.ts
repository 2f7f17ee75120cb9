/**
 * Who owns a key: weighted rendezvous hashing over the members, spread over
 * failure domains. Each host computes it from its own view; where two views
 * may not both act, a lease decides and this only says who should want it.
 */

import type {Clock} from '../ports/clock.js';
import {hashText} from '../core/hash_text.js';

export interface OwnerCandidate {
  readonly hostId: string;
  readonly failureDomain: string;
  /** Share of keys compared with the others; 1 by default. */
  readonly weight?: number;
}

export interface OwnerQuery {
  readonly key: string;
  /** How many owners, the first one first. */
  readonly count: number;
  /** Take hosts of this failure domain while there are any. */
  readonly preferredDomain?: string;
}

const UINT32_RANGE = 2 ** 32;

/**
 * Higher is better. A host's score for a key depends on nothing else, so a
 * change of members moves only the keys that it must.
 */
function getScore(key: string, candidate: OwnerCandidate): number {
  const hash = hashText(`${key}|${candidate.hostId}`);
  const unit = (hash + 0.5) / UINT32_RANGE;
  return -(candidate.weight ?? 1) / Math.log(unit);
}

/** Owners of a key; successive ones are in other failure domains if any are. */
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

/** One change of a key's owner, as this host saw it. */
export interface OwnershipChange {
  readonly key: string;
  /** Undefined when there was none, or is none now. */
  readonly from: string | undefined;
  readonly to: string | undefined;
  /** Wall clock, for people. */
  readonly atMs: number;
}

export interface OwnershipHost {
  readonly clock: Clock;
  /** Hosts that may own now; those that leave are not among them. */
  candidates(): readonly OwnerCandidate[];
}

export interface Ownership {
  /** The owner by this host's view. */
  ownerOf(key: string, preferredDomain?: string): string | undefined;
  /** The owner and those who follow it. */
  ownersOf(
    key: string,
    count: number,
    preferredDomain?: string,
  ): readonly string[];
  /** Call it when the candidates changed; hands back what moved. */
  refresh(): readonly OwnershipChange[];
  /** Watches a key, so that its owners are remembered. */
  watch(key: string, preferredDomain?: string): void;
  /** Newest last. */
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
      key === undefined ? [...history] : history.filter(h => h.key === key),
  };
}
