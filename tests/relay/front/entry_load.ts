/**
 * Simulates callers that take their entries from the directory of their failure
 * domain, in virtual time, with hosts of uneven size. Three ways to list the
 * entries can be compared on the same seeds.
 */

import {createSeededRandom} from '../../../src/core/seeded_random.js';
import {createEntryWeights} from '../../../src/relay/fleet/host_capacity.js';
import type {HostCapacity} from '../../../src/relay/fleet/host_capacity.js';
import {
  listEntries,
  type EntryMember,
} from '../../../src/relay/front/host_directory.js';

export type EntryWay = 'all' | 'drawn' | 'rotated';

export interface EntryFigures {
  /** Requests per core of the most loaded host, relative to the mean. */
  readonly highestLoad: number;
  /** The same for the open streams, which last 20 s. */
  readonly highestStreams: number;
  /** Share of the hosts in an answer that the next answer lacks. */
  readonly dropped: number;
  readonly leastListed: number;
}

const HOST_COUNT = 63;
const DOMAINS = ['d0', 'd1', 'd2'];
const TTL_MS = 1_500;
const PLAY_MS = 240_000;
const STREAM_MS = 20_000;
const REQUESTS_PER_ANSWER = 60;

export function makeEntryHosts(seed: number): readonly EntryMember[] {
  const random = createSeededRandom(seed);
  return Array.from({length: HOST_COUNT}, (_, i) => {
    const cores = 0.243 + random.nextFloat() * (1.35 - 0.243);
    const linkMbps = 7 * 20 ** random.nextFloat();
    const capacity: HostCapacity = [linkMbps, cores, 400];
    return {
      hostId: `host-${i}`,
      callerAddress: `host-${i}:80`,
      failureDomain: DOMAINS[i % DOMAINS.length],
      state: 'ready' as const,
      capacity,
    };
  });
}

export function simulateEntries(seed: number, way: EntryWay): EntryFigures {
  const random = createSeededRandom(seed + 1_000);
  const hosts = makeEntryHosts(seed);
  const weightOf = createEntryWeights(hosts);
  const weights = new Map(
    hosts.map(each => [each.callerAddress, weightOf(each)]),
  );
  const requests = new Map<string, number>();
  const streams = new Map<string, number>();
  const peakStreams = new Map<string, number>();
  const ends: Array<{readonly atMs: number; readonly address: string}> = [];
  const before = new Map<string, ReadonlySet<string>>();
  let dropped = 0;
  let listed = 0;
  let leastListed = Infinity;

  /** Draws each host by its weight for each answer. */
  function draw(): readonly string[] {
    const drawn = hosts.filter(each => random.nextFloat() < weightOf(each));
    return drawn.map(({callerAddress}) => callerAddress);
  }

  function list(domain: string, nowMs: number): readonly string[] {
    if (way === 'drawn') return draw();
    const bare = (each: EntryMember): EntryMember => ({
      ...each,
      capacity: undefined,
    });
    const known = way === 'all' ? hosts.map(bare) : hosts;
    const ofDomain = known.filter(each => each.failureDomain === domain);
    const self = ofDomain[random.nextInt(ofDomain.length)];
    return listEntries({
      clock: {wallMs: () => nowMs},
      random,
      self: () => self,
      peers: () => known.filter(each => each !== self),
    })!.addresses;
  }

  function addStreams(address: string, count: number): void {
    const open = (streams.get(address) ?? 0) + count;
    streams.set(address, open);
    peakStreams.set(address, Math.max(open, peakStreams.get(address) ?? 0));
  }

  for (let nowMs = 0; nowMs < PLAY_MS; nowMs += TTL_MS) {
    while (ends.length > 0 && ends[0].atMs <= nowMs) {
      addStreams(ends.shift()!.address, -1);
    }
    for (const domain of DOMAINS) {
      const answer = list(domain, nowMs);
      const isListed = new Set(answer);
      leastListed = Math.min(leastListed, answer.length);
      for (const address of before.get(domain) ?? []) {
        listed++;
        if (!isListed.has(address)) dropped++;
      }
      before.set(domain, isListed);
      for (let i = 0; i < REQUESTS_PER_ANSWER; i++) {
        const address = answer[random.nextInt(answer.length)];
        requests.set(address, (requests.get(address) ?? 0) + 1);
        addStreams(address, 1);
        ends.push({atMs: nowMs + STREAM_MS, address});
      }
    }
  }

  /** Highest number per weight, relative to all numbers by all weights. */
  function highest(numbers: ReadonlyMap<string, number>): number {
    const sum = (values: Iterable<number>) =>
      [...values].reduce((a, b) => a + b, 0);
    const mean = sum(numbers.values()) / sum(weights.values());
    const ratios = [...numbers].map(([id, n]) => n / weights.get(id)! / mean);
    return Math.max(...ratios);
  }

  return {
    highestLoad: highest(requests),
    highestStreams: highest(peakStreams),
    dropped: dropped / listed,
    leastListed,
  };
}
