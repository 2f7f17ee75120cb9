/**
 * Which entries a caller should use, for how long. A pure ranking over this
 * host's own view, so there is an answer also while the platform is down.
 */

import type {Clock} from '../ports/clock.js';
import type {Random} from '../ports/random.js';
import type {Member} from './member_records.js';

/** An entry as the ranking sees it. */
export interface RankedEntry {
  readonly hostId: string;
  readonly callerAddress: string;
  readonly failureDomain: string;
  readonly state: Member['state'];
  /** Load from 0 to 1 as last heard; undefined if not heard of late. */
  readonly load?: number;
  /** Since when the entry is known as running, on this host's clock. */
  readonly sinceMs: number;
  /** Since when its domain has entries without a break. */
  readonly domainSinceMs: number;
}

export interface DirectoryAnswer {
  /** Best first; never empty on a host that runs. */
  readonly entries: readonly {
    readonly hostId: string;
    readonly callerAddress: string;
  }[];
  /** How long the caller may keep this answer. */
  readonly ttlMs: number;
}

export interface RankOptions {
  readonly count: number;
  readonly nowMs: number;
  /** An entry or domain that came back gets its full part after this long. */
  readonly rampMs: number;
}

/** Taken for an entry that was not heard of late. */
const UNKNOWN_LOAD = 0.5;
const MIN_WEIGHT = 0.02;
const SUSPECT_FACTOR = 0.1;

/**
 * Weight of an entry in the draw: its room, less while it or its domain has
 * just come back. Without the ramp all callers whose answers end in that
 * minute would go to the empty domain at once and overload it.
 */
function getWeight(entry: RankedEntry, options: RankOptions): number {
  const room = Math.max(0, 1 - (entry.load ?? UNKNOWN_LOAD));
  const sinceMs = Math.max(entry.sinceMs, entry.domainSinceMs);
  const ramp = Math.min(1, (options.nowMs - sinceMs) / options.rampMs);
  const trust = entry.state === 'suspect' ? SUSPECT_FACTOR : 1;
  return Math.max(MIN_WEIGHT, room * ramp) * trust;
}

const isOffered = (entry: RankedEntry) =>
  entry.callerAddress !== '' &&
  (entry.state === 'alive' || entry.state === 'suspect');

/** Draws entries without repeat by weight, in turn from each domain. */
export function rankEntries(
  entries: readonly RankedEntry[],
  options: RankOptions,
  random: Random,
): readonly RankedEntry[] {
  const drawn = entries
    .filter(isOffered)
    .map(entry => {
      // The order of u^(1/w) is a draw by weight without replacement.
      const unit = 1 - random.nextFloat();
      const rank = Math.log(unit) / getWeight(entry, options);
      return {entry, rank};
    })
    .sort((a, b) => b.rank - a.rank)
    .map(({entry}) => entry);
  const seen = new Set<string>();
  const first: RankedEntry[] = [];
  const rest: RankedEntry[] = [];
  for (const entry of drawn) {
    (seen.has(entry.failureDomain) ? rest : first).push(entry);
    seen.add(entry.failureDomain);
  }
  return [...first, ...rest].slice(0, options.count);
}

export interface DirectoryHost {
  readonly clock: Clock;
  readonly random: Random;
  /** Members thought to run, this host included. */
  members(): readonly Member[];
  /** Load of an entry from 0 to 1, if heard of late. */
  loadOf(hostId: string): number | undefined;
}

export interface DirectoryOptions {
  readonly hostId: string;
  readonly callerAddress: string;
  readonly ttlMs: number;
  /** Entries in an answer. */
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

  /** Notes when each entry and domain appeared, and forgets those gone. */
  function noteTimes(members: readonly Member[]): void {
    const nowMs = clock.nowMs();
    // What is there when this host starts has been there before.
    const isFirst = nowMs - startedAtMs < rampMs;
    const atMs = isFirst ? -Infinity : nowMs;
    keep(sinceMs, new Set(members.map(member => member.hostId)), atMs);
    const domains = new Set(members.map(member => member.failureDomain));
    keep(domainSinceMs, domains, atMs);
  }

  function keep(
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

  const toEntry = (member: Member): RankedEntry => ({
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
      noteTimes(members);
      const ranked = rankEntries(
        members.map(toEntry),
        {count: options.count, nowMs: clock.nowMs(), rampMs},
        random,
      );
      // A host alone in its view, or leaving last, still names itself.
      const {hostId, callerAddress} = options;
      const entries =
        ranked.length > 0
          ? ranked.map(({hostId, callerAddress}) => ({hostId, callerAddress}))
          : [{hostId, callerAddress}];
      // Jitter keeps callers that asked together from asking together again.
      const factor = 1 - TTL_JITTER * random.nextFloat();
      return {entries, ttlMs: Math.round(options.ttlMs * factor)};
    },
  };
}
