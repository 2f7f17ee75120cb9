/**
 * Divides hosts and engines into groups, and chooses the hosts of each group
 * that place streams for the others (the placers) or keep the slots of plain
 * services (the keepers).
 *
 * A few hosts announce every change to each other and each decides by itself.
 * With many hosts that traffic would grow with the square of their number, and
 * hosts that decide by data some milliseconds old would reserve the same room
 * twice. So one host of a group places for all of it. It and a standby receive
 * each change at once; all other hosts receive it with the next periodic
 * announcement. Very many hosts form several groups, each with its own part of
 * the engines.
 *
 * Each host computes the groups from its own lists. Lists that differ for a
 * moment make placement less exact and do no other harm, because engines admit
 * requests themselves.
 */

import {hashText} from '../../core/hash_text.js';
import {createSuitability, type HostCapacity} from '../fleet/host_capacity.js';
import {isMeshSize, rankHost} from '../fleet/coordinators.js';
import type {UpstreamRole} from '../../core/upstream.js';

/** An engine of one of the model services. */
export interface GroupedEngine {
  readonly id: string;
  readonly service: string;
  readonly role?: UpstreamRole;
}

/** A live host. */
export interface GroupMember {
  readonly hostId: string;
  /** The host serves and is not about to leave. */
  readonly isReady: boolean;
  /** Absent if not known. */
  readonly capacity?: HostCapacity;
}

export interface PlacementGroupsHost {
  readonly hostId: string;
  isReady(): boolean;
  /** Undefined if not known. */
  capacity?(): HostCapacity | undefined;
  /** Live hosts except this one. */
  peers(): readonly GroupMember[];
  engines(): readonly GroupedEngine[];
  /** Engines on which this host has reserved anything. */
  usedEngineIds(): readonly string[];
}

export interface PlacementGroups {
  /**
   * The placer of this host's group and its standby, in order of preference;
   * empty where each host places by itself.
   */
  placers(): readonly string[];
  /**
   * The hosts that keep the slots of a plain service for this host's group, in
   * order of preference; empty where each host chooses by itself.
   */
  keepers(service: string): readonly string[];
  /** Number of groups of hosts. */
  groupCount(): number;
  /**
   * Whether the peer needs this host's changes at once, because it decides
   * about an engine that this host uses.
   */
  isUpdatedAtOnce(peerId: string): boolean;
  /** Whether the peer prefers the same engines as this host. */
  isInOwnGroup(peerId: string): boolean;
  /** Whether this host prefers the engine over those of other groups. */
  isPreferred(engineId: string): boolean;
  /** Whether the peer prefers the engine over those of other groups. */
  isPreferredBy(peerId: string, engineId: string): boolean;
  /** The lists of hosts or engines have changed. */
  refresh(): void;
}

/**
 * The placer of a group receives five datagrams for each stream. If each host
 * has 0.6 streams a second, a group of this size sends it some 400 datagrams a
 * second.
 */
const MAX_HOSTS_PER_GROUP = 128;
/** The placer and a standby that receives the same announcements. */
const PLACER_COUNT = 2;
/** The keeper of the slots and one that takes over when it does not answer. */
const KEEPER_COUNT = 2;
/**
 * In groups with fewer decode engines, one group is often full by chance while
 * others have room.
 */
const MIN_DECODE_ENGINES_PER_GROUP = 4;

/**
 * Assigns ids to groups of equal size such that adding or removing an id moves
 * few others. Each id goes to the group with the highest hash score for it that
 * still has room.
 */
export function assignToGroups(
  ids: readonly string[],
  groupCount: number,
): ReadonlyMap<string, number> {
  const maxSize = Math.ceil(ids.length / groupCount);
  const sizes = new Array<number>(groupCount).fill(0);
  const groups = new Map<string, number>();
  for (const id of [...ids].sort()) {
    const group = rankGroups(id, groupCount).find(
      each => sizes[each] < maxSize,
    );
    if (group === undefined) continue;
    sizes[group]++;
    groups.set(id, group);
  }
  return groups;
}

function rankGroups(id: string, groupCount: number): readonly number[] {
  const scores = Array.from({length: groupCount}, (_, group) => ({
    group,
    score: hashText(`${id}|${group}`),
  }));
  return scores.sort((a, b) => b.score - a.score).map(({group}) => group);
}

interface EngineGroup {
  /**
   * Index among the `groupCount` groups into which the engine's service is
   * divided.
   */
  readonly group: number;
  readonly groupCount: number;
}

/** A ready host, and how suitable it is to decide for others, 0 to 1. */
interface RatedHost {
  readonly hostId: string;
  readonly suitability: number;
}

interface Grouping {
  /** Whether there are so few hosts that each places by itself. */
  readonly isSmall: boolean;
  readonly groupCount: number;
  readonly readyHosts: readonly RatedHost[];
  readonly hostGroups: ReadonlyMap<string, number>;
  readonly engineGroups: ReadonlyMap<string, EngineGroup>;
  /** The placer and standby of each group. */
  readonly placers: ReadonlyMap<number, readonly string[]>;
}

function assignEngines(
  engines: readonly GroupedEngine[],
  hostGroupCount: number,
): ReadonlyMap<string, EngineGroup> {
  const engineGroups = new Map<string, EngineGroup>();
  for (const service of new Set(engines.map(each => each.service))) {
    const ofService = engines.filter(each => each.service === service);
    const decode = ofService.filter(({role}) => role === 'decode');
    const maxGroupCount = Math.floor(
      decode.length / MIN_DECODE_ENGINES_PER_GROUP,
    );
    const groupCount = Math.max(1, Math.min(hostGroupCount, maxGroupCount));
    const others = ofService.filter(({role}) => role !== 'decode');
    for (const part of [decode, others]) {
      const ids = part.map(({id}) => id);
      for (const [id, group] of assignToGroups(ids, groupCount)) {
        engineGroups.set(id, {group, groupCount});
      }
    }
  }
  return engineGroups;
}

function rateReadyHosts(members: readonly GroupMember[]): readonly RatedHost[] {
  const ready = members.filter(({isReady}) => isReady);
  const suitabilityOf = createSuitability(ready);
  return ready.map(each => ({
    hostId: each.hostId,
    suitability: suitabilityOf(each),
  }));
}

/**
 * Orders hosts by rank, the suitable ones first. The others follow by how close
 * they come, as a group may have fewer suitable hosts than it needs.
 */
function orderBySuitability(
  hosts: readonly RatedHost[],
  rankOf: (hostId: string) => number,
): readonly string[] {
  return hosts
    .map(host => ({...host, rank: rankOf(host.hostId)}))
    .sort((a, b) => b.suitability - a.suitability || a.rank - b.rank)
    .map(({hostId}) => hostId);
}

function choosePlacers(
  readyHosts: readonly RatedHost[],
  hostGroups: ReadonlyMap<string, number>,
): ReadonlyMap<number, readonly string[]> {
  const placers = new Map<number, string[]>();
  for (const hostId of orderBySuitability(readyHosts, rankHost)) {
    const group = hostGroups.get(hostId) ?? 0;
    const chosen = placers.get(group) ?? [];
    if (chosen.length < PLACER_COUNT) {
      placers.set(group, [...chosen, hostId]);
    }
  }
  return placers;
}

function computeGrouping(
  members: readonly GroupMember[],
  engines: readonly GroupedEngine[],
): Grouping {
  const groupCount = Math.ceil(members.length / MAX_HOSTS_PER_GROUP);
  const hostIds = members.map(({hostId}) => hostId);
  const hostGroups = assignToGroups(hostIds, groupCount);
  const isSmall = isMeshSize(members.length);
  const readyHosts = rateReadyHosts(members);
  return {
    isSmall,
    groupCount,
    readyHosts,
    hostGroups,
    engineGroups: assignEngines(engines, groupCount),
    placers: isSmall ? new Map() : choosePlacers(readyHosts, hostGroups),
  };
}

export function createPlacementGroups(
  host: PlacementGroupsHost,
): PlacementGroups {
  let current: Grouping | undefined;
  const keepersByService = new Map<string, readonly string[]>();

  function grouping(): Grouping {
    current ??= computeGrouping(
      [
        {
          hostId: host.hostId,
          isReady: host.isReady(),
          capacity: host.capacity?.(),
        },
        ...host.peers(),
      ],
      host.engines(),
    );
    return current;
  }

  function ownGroup(): number {
    return grouping().hostGroups.get(host.hostId) ?? 0;
  }

  /**
   * If a service has fewer groups of engines than there are groups of hosts,
   * several groups of hosts share each group of engines.
   */
  function prefersEngine(hostGroup: number, engineGroup: EngineGroup): boolean {
    return hostGroup % engineGroup.groupCount === engineGroup.group;
  }

  function isPreferredBy(hostId: string, engineId: string): boolean {
    const {hostGroups, engineGroups} = grouping();
    const engineGroup = engineGroups.get(engineId);
    return (
      !engineGroup || prefersEngine(hostGroups.get(hostId) ?? 0, engineGroup)
    );
  }

  /** Whether the peer is placer or standby of the group. */
  function isPlacerOf(peerId: string, group: number): boolean {
    return grouping().placers.get(group)?.includes(peerId) ?? false;
  }

  /**
   * Ranks the hosts differently for each service, so that no host keeps the
   * slots of all of them.
   */
  function chooseKeepers(service: string): readonly string[] {
    const {isSmall, readyHosts, hostGroups} = grouping();
    if (isSmall) return [];
    const candidates = readyHosts.filter(
      ({hostId}) => hostGroups.get(hostId) === ownGroup(),
    );
    return orderBySuitability(candidates, id =>
      hashText(`keeper|${service}|${id}`),
    ).slice(0, KEEPER_COUNT);
  }

  return {
    keepers(service) {
      const known = keepersByService.get(service) ?? chooseKeepers(service);
      keepersByService.set(service, known);
      return known;
    },
    groupCount: () => grouping().groupCount,
    placers: () => grouping().placers.get(ownGroup()) ?? [],
    isUpdatedAtOnce(peerId) {
      const {isSmall, hostGroups} = grouping();
      if (isSmall) return true;
      const group = hostGroups.get(peerId);
      if (group === undefined || !isPlacerOf(peerId, group)) return false;
      if (group === ownGroup()) return true;
      return host.usedEngineIds().some(id => isPreferredBy(peerId, id));
    },
    isInOwnGroup(peerId) {
      const {isSmall, hostGroups} = grouping();
      return isSmall || hostGroups.get(peerId) === ownGroup();
    },
    isPreferred: engineId => isPreferredBy(host.hostId, engineId),
    isPreferredBy,
    refresh() {
      keepersByService.clear();
      current = undefined;
    },
  };
}
