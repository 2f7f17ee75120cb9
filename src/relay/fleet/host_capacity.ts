/**
 * Capacity of a host, from its settings. Hosts announce it so that work for
 * others goes to hosts that can handle it.
 */

import type {RelaySettings} from '../relay_settings.js';

/**
 * Link rate in Mbit/s, processor cores, and memory in MB; 0 for a value that is
 * not known.
 */
export type HostCapacity = readonly [
  linkMbps: number,
  cores: number,
  memoryMb: number,
];

const VALUE_COUNT = 3;
/** Three digits after the point keep the datagrams short. */
const CORE_DIGITS = 3;

/** Undefined if the settings state none of the values. */
export function toHostCapacity({
  linkMbps = 0,
  cpuShare = 0,
  coreCount = 0,
  memoryMb = 0,
}: Pick<RelaySettings, 'linkMbps' | 'cpuShare' | 'coreCount' | 'memoryMb'>):
  HostCapacity | undefined {
  const cores = Number((cpuShare * coreCount).toFixed(CORE_DIGITS));
  const capacity: HostCapacity = [linkMbps, cores, memoryMb];
  return capacity.some(value => value > 0) ? capacity : undefined;
}

/** Undefined for anything that is not a capacity, such as a peer's mistake. */
export function readHostCapacity(value: unknown): HostCapacity | undefined {
  if (!Array.isArray(value) || value.length !== VALUE_COUNT) return undefined;
  const isValid = value.every(
    each => typeof each === 'number' && Number.isFinite(each) && each >= 0,
  );
  return isValid ? (value as unknown as HostCapacity) : undefined;
}

/** A record without an invalid capacity; the same one if there is none. */
export function withValidCapacity<T extends {readonly capacity?: unknown}>(
  record: T,
): T {
  if (record.capacity === undefined) return record;
  if (readHostCapacity(record.capacity)) return record;
  return {...record, capacity: undefined};
}

interface Capable {
  readonly capacity?: HostCapacity;
}

/**
 * A host with a quarter of the largest link rate can exchange messages with all
 * others: the 7 Mbit/s of the smallest hosts were exceeded by the requests of
 * one burst, several times as much was not.
 */
const MIN_LINK_SHARE = 1 / 4;
/** Half of the largest core count decides within a few ms even in a burst. */
const MIN_CORE_SHARE = 1 / 2;

/** By how much of what is required each value suffices; 1 at most. */
function shareOfRequired(value: number, required: number): number {
  return required > 0 ? Math.min(1, value / required) : 1;
}

function largest(hosts: readonly Capable[], index: 0 | 1): number {
  return Math.max(0, ...hosts.map(({capacity}) => capacity?.[index] ?? 0));
}

/**
 * Returns a function that rates how suitable a host is to decide for the
 * others: 1 for those that are able to, less the more a host lacks. With equal
 * or unknown capacities it is 1 for all. If any host's capacity is known, it is
 * 0 for those whose capacity is not.
 */
export function createSuitability(
  hosts: readonly Capable[],
): (host: Capable) => number {
  const minLinkMbps = largest(hosts, 0) * MIN_LINK_SHARE;
  const minCores = largest(hosts, 1) * MIN_CORE_SHARE;
  return ({capacity: [linkMbps, cores] = [0, 0, 0]}) =>
    Math.min(
      shareOfRequired(linkMbps, minLinkMbps),
      shareOfRequired(cores, minCores),
    );
}

/**
 * Returns a function that computes how many requests of callers a host can take
 * relative to the largest: in proportion to its cores, which requests use up
 * first. A link counts only below the share above, as streams need little of
 * it. It is 1 for hosts of unknown capacity, as before capacities were known.
 */
export function createEntryWeights(
  hosts: readonly Capable[],
): (host: Capable) => number {
  const minLinkMbps = largest(hosts, 0) * MIN_LINK_SHARE;
  const maxCores = largest(hosts, 1);
  return ({capacity}) => {
    if (!capacity) return 1;
    const [linkMbps, cores] = capacity;
    return Math.min(
      linkMbps > 0 ? shareOfRequired(linkMbps, minLinkMbps) : 1,
      cores > 0 ? shareOfRequired(cores, maxCores) : 1,
    );
  };
}
