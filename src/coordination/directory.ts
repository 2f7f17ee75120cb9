/**
 * Selects the entries that a caller should use, and for how long. The ranking
 * uses only this host's own view, so it works while the platform is unavailable.
 */

import type {Clock} from '../ports/clock.js';
import type {Random} from '../ports/random.js';
import type {Member} from './member_records.js';

/** Input of the ranking for one entry. */
export interface RankedEntry {
  readonly hostId: string;
  readonly callerAddress: string;
  readonly failureDomain: string;
  readonly state: Member['state'];
  /** Last reported load from 0 to 1; undefined if there is no recent report. */
  readonly load?: number;
  /** Time since which the entry has been running, on this host's clock. */
  readonly sinceMs: number;
  /** Time since which its failure domain has had entries continuously. */
  readonly domainSinceMs: number;
}

export interface DirectoryAnswer {
  /** Best entry first; never empty. */
  readonly entries: readonly {
    readonly hostId: string;
    readonly callerAddress: string;
  }[];
  /** How long the caller may cache this answer. */
  readonly ttlMs: number;
}

export interface RankOptions {
  readonly count: number;
  readonly nowMs: number;
  /** Time until a returning entry or domain receives its full share. */
  readonly rampMs: number;
}

/** Assumed load of an entry without a recent report. */
const UNKNOWN_LOAD = 0.5;
const MIN_WEIGHT = 0.02;
const SUSPECT_FACTOR = 0.1;

/**
 * Returns the selection weight of an entry: its spare capacity, reduced while
 * the entry or its domain has just returned. Without the ramp all callers
 * whose answers expire in that minute would overload the empty domain.
 */
function getWeight(entry: RankedEntry, options: RankOptions): number {
  const spareCapacity = Math.max(0, 1 - (entry.load ?? UNKNOWN_LOAD));
  const sinceMs = Math.max(entry.sinceMs, entry.domainSinceMs);
  const ramp = Math.min(1, (options.nowMs - sinceMs) / options.rampMs);
  const stateFactor = entry.state === 'suspect' ? SUSPECT_FACTOR : 1;
  return Math.max(MIN_WEIGHT, spareCapacity * ramp) * stateFactor;
}

const isEligible = (entry: RankedEntry) =>
  entry.callerAddress !== '' &&
  (entry.state === 'alive' || entry.state === 'suspect');

/** Samples entries by weight without replacement, one per domain first. */
export function rankEntries(
  entries: readonly RankedEntry[],
  options: RankOptions,
  random: Random,
): readonly RankedEntry[] {
  const sampled = entries
    .filter(isEligible)
    .map(entry => {
      // Sorting by u^(1/w) samples by weight without replacement.
      const unit = 1 - random.nextFloat();
      const rank = Math.log(unit) / getWeight(entry, options);
      return {entry, rank};
    })
    .sort((a, b) => b.rank - a.rank)
    .map(({entry}) => entry);
  const seen = new Set<string>();
  const first: RankedEntry[] = [];
  const rest: RankedEntry[] = [];
  for (const entry of sampled) {
    (seen.has(entry.failureDomain) ? rest : first).push(entry);
    seen.add(entry.failureDomain);
  }
  return [...first, ...rest].slice(0, options.count);
}

export interface DirectoryHost {
  readonly clock: Clock;
  readonly random: Random;
  /** Members believed to be running, including this host. */
  members(): readonly Member[];
  /** Returns the recently reported load of an entry, from 0 to 1. */
  loadOf(hostId: string): number | undefined;
}

export interface DirectoryOptions {
  readonly hostId: string;
  readonly callerAddress: string;
  readonly ttlMs: number;
  /** Number of entries in an answer. */
  readonly count: number;
  readonly rampMs?: number;
}

export interface Directory {
  answer(): DirectoryAnswer;
}

const DEFAULT_RAMP_MS = 30_000;
const TTL_JITTER = 0.4;

export function createDirectory(
  host: DirectoryHost,
  options: DirectoryOptions,
): Directory {
  const {clock, random} = host;
  const rampMs = options.rampMs ?? DEFAULT_RAMP_MS;
  const startedAtMs = clock.nowMs();
  const sinceMs = new Map<string, number>();
  const domainSinceMs = new Map<string, number>();

  /** Records when entries and domains appeared, and removes those gone. */
  function updateTimes(members: readonly Member[]): void {
    const nowMs = clock.nowMs();
    // Members found during startup are assumed to have run before.
    const isStartingUp = nowMs - startedAtMs < rampMs;
    const atMs = isStartingUp ? -Infinity : nowMs;
    syncTimes(sinceMs, new Set(members.map(member => member.hostId)), atMs);
    const domains = new Set(members.map(member => member.failureDomain));
    syncTimes(domainSinceMs, domains, atMs);
  }

  function syncTimes(
    times: Map<string, number>,
    present: ReadonlySet<string>,
    atMs: number,
  ): void {
    for (const name of present) {
      if (!times.has(name)) times.set(name, atMs);
    }
    for (const name of times.keys()) {
      if (!present.has(name)) times.delete(name);
    }
  }

  const toRankedEntry = (member: Member): RankedEntry => ({
    hostId: member.hostId,
    callerAddress: member.callerAddress,
    failureDomain: member.failureDomain,
    state: member.state,
    load: host.loadOf(member.hostId),
    sinceMs: sinceMs.get(member.hostId) ?? -Infinity,
    domainSinceMs: domainSinceMs.get(member.failureDomain) ?? -Infinity,
  });

  return {
    answer() {
      const members = host.members();
      updateTimes(members);
      const ranked = rankEntries(
        members.map(toRankedEntry),
        {count: options.count, nowMs: clock.nowMs(), rampMs},
        random,
      );
      // A host without other eligible entries returns itself.
      const {hostId, callerAddress} = options;
      const entries =
        ranked.length > 0
          ? ranked.map(({hostId, callerAddress}) => ({hostId, callerAddress}))
          : [{hostId, callerAddress}];
      // Jitter prevents callers from refreshing at the same time.
      const factor = 1 - TTL_JITTER * random.nextFloat();
      return {entries, ttlMs: Math.round(options.ttlMs * factor)};
    },
  };
}
