/**
 * Divides many hosts and engines into groups, and names the host of each group
 * that places for the others.
 *
 * Few hosts tell each other everything at once, and each decides by itself.
 * With many, what they send would grow with their square, and news that is
 * some milliseconds old makes them give the same room away. So one host of a
 * group places for all of it; it and a standby hear each change at once, and
 * all others hear of it with the next repeat. Very many hosts form several
 * groups, each with its own part of the engines.
 *
 * Each host computes all this from its own lists. Lists that differ for a
 * moment cost some exactness, nothing else: an engine admits by itself.
 */

import {hashText} from '../../core/hash_text.js';
import {isMeshOf, rankHost} from '../fleet/coordinators.js';
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
  /** It serves, and is not about to leave. */
  readonly isReady: boolean;
}

export interface PlacementGroupsHost {
  readonly hostId: string;
  isReady(): boolean;
  /** Live hosts, this one left out. */
  peers(): readonly GroupMember[];
  engines(): readonly GroupedEngine[];
  /** Engines that this host has promised something of. */
  usedEngineIds(): readonly string[];
}

export interface PlacementGroups {
  /**
   * The hosts that place for this host's group, first choice first; none where
   * each host places by itself.
   */
  placers(): readonly string[];
  /**
   * The hosts that keep the slots of a plain service for this host's group,
   * first choice first; none where each host chooses by itself.
   */
  keepers(service: string): readonly string[];
  /** Groups that the hosts are divided into. */
  groupCount(): number;
  /** Whether the peer decides about an engine that this host uses. */
  isNear(peerId: string): boolean;
  /** Whether the peer uses the same engines first. */
  isMate(peerId: string): boolean;
  /** Whether the engine is to be used before those of other groups. */
  isOwn(engineId: string): boolean;
  /** Whether the peer uses the engine before those of other groups. */
  isOwnOf(peerId: string, engineId: string): boolean;
  /** The lists of hosts or engines have changed. */
  refresh(): void;
}

/**
 * Most hosts of a group. Its placer takes five datagrams for each stream; with
 * 0.6 streams a second and host that is some 400 a second.
 */
const MOST_HOSTS = 128;
/** The one that places, and a standby that has heard the same. */
const PLACER_COUNT = 2;
/** The one that keeps slots, and one that takes over where it is silent. */
const KEEPER_COUNT = 2;
/**
 * Fewest decode engines of a group: with less, groups are full by chance while
 * others have room.
 */
const FEWEST_DECODE_ENGINES = 4;

/**
 * Deals ids out to groups of equal size, so that a change of one id moves few
 * others. Each id goes to the group that it ranks first among those with room.
 */
export function dealOut(
  ids: readonly string[],
  groupCount: number,
): ReadonlyMap<string, number> {
  const most = Math.ceil(ids.length / groupCount);
  const sizes = new Array<number>(groupCount).fill(0);
  const groupOf = new Map<string, number>();
  for (const id of [...ids].sort()) {
    const group = rankGroups(id, groupCount).find(each => sizes[each] < most);
    if (group === undefined) continue;
    sizes[group]++;
    groupOf.set(id, group);
  }
  return groupOf;
}

function rankGroups(id: string, groupCount: number): readonly number[] {
  const scores = Array.from({length: groupCount}, (_, group) => ({
    group,
    score: hashText(`${id}|${group}`),
  }));
  return scores.sort((a, b) => b.score - a.score).map(({group}) => group);
}

interface EnginePlace {
  /** One of as many as the engine's service has. */
  readonly group: number;
  readonly groupCount: number;
}

interface Division {
  /** Whether each host places by itself. */
  readonly isSmall: boolean;
  readonly groupCount: number;
  readonly readyIds: readonly string[];
  readonly groupOfHost: ReadonlyMap<string, number>;
  readonly placeOfEngine: ReadonlyMap<string, EnginePlace>;
  /** By group: the hosts that place for it. */
  readonly placers: ReadonlyMap<number, readonly string[]>;
}

function placeEngines(
  engines: readonly GroupedEngine[],
  hostGroupCount: number,
): ReadonlyMap<string, EnginePlace> {
  const places = new Map<string, EnginePlace>();
  for (const service of new Set(engines.map(each => each.service))) {
    const ofService = engines.filter(each => each.service === service);
    const decode = ofService.filter(({role}) => role === 'decode');
    const most = Math.floor(decode.length / FEWEST_DECODE_ENGINES);
    const groupCount = Math.max(1, Math.min(hostGroupCount, most));
    const others = ofService.filter(({role}) => role !== 'decode');
    for (const part of [decode, others]) {
      const ids = part.map(({id}) => id);
      for (const [id, group] of dealOut(ids, groupCount)) {
        places.set(id, {group, groupCount});
      }
    }
  }
  return places;
}

function choosePlacers(
  members: readonly GroupMember[],
  groupOfHost: ReadonlyMap<string, number>,
): ReadonlyMap<number, readonly string[]> {
  const ranked = members
    .filter(({isReady}) => isReady)
    .map(({hostId}) => ({hostId, rank: rankHost(hostId)}))
    .sort((a, b) => a.rank - b.rank);
  const placers = new Map<number, string[]>();
  for (const {hostId} of ranked) {
    const group = groupOfHost.get(hostId) ?? 0;
    const chosen = placers.get(group) ?? [];
    if (chosen.length < PLACER_COUNT) {
      placers.set(group, [...chosen, hostId]);
    }
  }
  return placers;
}

function divide(
  members: readonly GroupMember[],
  engines: readonly GroupedEngine[],
): Division {
  const groupCount = Math.ceil(members.length / MOST_HOSTS);
  const hostIds = members.map(({hostId}) => hostId);
  const groupOfHost = dealOut(hostIds, groupCount);
  const isSmall = isMeshOf(members.length);
  return {
    isSmall,
    groupCount,
    readyIds: members.filter(each => each.isReady).map(each => each.hostId),
    groupOfHost,
    placeOfEngine: placeEngines(engines, groupCount),
    placers: isSmall ? new Map() : choosePlacers(members, groupOfHost),
  };
}

export function createPlacementGroups(
  host: PlacementGroupsHost,
): PlacementGroups {
  let current: Division | undefined;
  const keepersOf = new Map<string, readonly string[]>();

  function division(): Division {
    const self = {hostId: host.hostId, isReady: host.isReady()};
    current ??= divide([self, ...host.peers()], host.engines());
    return current;
  }

  function ownGroup(): number {
    return division().groupOfHost.get(host.hostId) ?? 0;
  }

  /** A service with fewer groups than there are of hosts shares its engines. */
  function usesEngine(hostGroup: number, place: EnginePlace): boolean {
    return hostGroup % place.groupCount === place.group;
  }

  function isOwnOf(hostId: string, engineId: string): boolean {
    const {groupOfHost, placeOfEngine} = division();
    const place = placeOfEngine.get(engineId);
    return !place || usesEngine(groupOfHost.get(hostId) ?? 0, place);
  }

  /** Whether the peer places for the group. */
  function isPlacerOf(peerId: string, group: number): boolean {
    return division().placers.get(group)?.includes(peerId) ?? false;
  }

  /** Another host for each service, so that no host carries all of them. */
  function chooseKeepers(service: string): readonly string[] {
    const {isSmall, readyIds, groupOfHost} = division();
    if (isSmall) return [];
    return readyIds
      .filter(id => groupOfHost.get(id) === ownGroup())
      .map(id => ({id, rank: hashText(`keeper|${service}|${id}`)}))
      .sort((a, b) => a.rank - b.rank)
      .slice(0, KEEPER_COUNT)
      .map(({id}) => id);
  }

  return {
    keepers(service) {
      const known = keepersOf.get(service) ?? chooseKeepers(service);
      keepersOf.set(service, known);
      return known;
    },
    groupCount: () => division().groupCount,
    placers: () => division().placers.get(ownGroup()) ?? [],
    isNear(peerId) {
      const {isSmall, groupOfHost} = division();
      if (isSmall) return true;
      const group = groupOfHost.get(peerId);
      if (group === undefined || !isPlacerOf(peerId, group)) return false;
      if (group === ownGroup()) return true;
      return host.usedEngineIds().some(id => isOwnOf(peerId, id));
    },
    isMate(peerId) {
      const {isSmall, groupOfHost} = division();
      return isSmall || groupOfHost.get(peerId) === ownGroup();
    },
    isOwn: engineId => isOwnOf(host.hostId, engineId),
    isOwnOf,
    refresh() {
      keepersOf.clear();
      current = undefined;
    },
  };
}
