/**
 * Wires up the parts that choose engines for streams: the tracked loads, the
 * scheduler, and the messages to and from the placer of the group.
 */

import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {Random} from '../../ports/random.js';
import {createEngineLoads, type EngineLoads} from './engine_loads.js';
import {
  createEngineScheduler,
  type EngineScheduler,
} from './engine_scheduler.js';
import {FIRST_ASK_ID_RANGE} from '../fleet/peer_request_client.js';
import type {HostCapacity} from '../fleet/host_capacity.js';
import type {Member} from '../fleet/members.js';
import type {Peer, Summary, WaitingRecord} from '../fleet/peer_datagrams.js';
import {createPeerView, type UpstreamIssues} from './peer_view.js';
import {
  createPlacementClient,
  type PlacementClient,
} from './placement_client.js';
import {createPlacementServer} from './placement_server.js';
import {createPlacementGroups} from './placement_groups.js';
import type {PlacementMessage} from './placement_messages.js';
import {
  createRequestPriorities,
  type RequestPriorities,
} from './request_priority.js';
import type {RoutingState} from '../routing_state.js';
import {
  createSharedStatistics,
  type SharedStatistics,
} from './shared_statistics.js';
import type {Upstream} from '../../core/upstream.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';

export interface RelayPlacementHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly createLogger: (part: string) => Logger;
  readonly hostId: string;
  readonly routing: RoutingState;
  readonly registry: UpstreamRegistry;
  /** Undefined if not known. */
  capacity?(): HostCapacity | undefined;
  /** This host serves and is not about to leave. */
  isReady(): boolean;
  /** Live hosts except this one. */
  members(): readonly Member[];
  /** This host ordered the engine to change its role. */
  isChanging(engineId: string): boolean;
  /** The engine takes no requests from this host for now. */
  isPaused(engineId: string): boolean;
  /** New streams may begin at the engine; absent if at all. */
  mayBegin?(engine: Upstream): boolean;
  send(hostId: string, message: PlacementMessage): void;
  /** The account uses more than its share of the service; absent for never. */
  isOverShare?(service: string, account: string): boolean;
  /** This host has placed a request of the account. */
  onPlaced?(service: string, account: string, tokens: number): void;
  /** Something that is announced to the peers has changed. */
  onChange(): void;
}

export interface RelayPlacement {
  readonly engineLoads: EngineLoads;
  readonly statistics: SharedStatistics;
  readonly scheduler: EngineScheduler;
  readonly priorities: RequestPriorities;
  readonly place: PlacementClient['place'];
  isUpdatedAtOnce(hostId: string): boolean;
  /**
   * The hosts that keep the slots of a plain service; empty where hosts are
   * few.
   */
  keepers(service: string): readonly string[];
  groupCount(): number;
  receive(fromHostId: string, message: PlacementMessage): void;
  applyPeer(peer: Peer): void;
  /** Applies a coordinator's summary of what all hosts reported. */
  applySummary(fromHostId: string, summary: Summary): void;
  removeHost(hostId: string): void;
  /** The peer no longer announces to this host. */
  forgetPeer(hostId: string): void;
  /** What this host and the peers that announce to it have reported. */
  found(own: UpstreamIssues): UpstreamIssues;
  /** This host's state, the live hosts or the configuration have changed. */
  refresh(): void;
  /** The list of upstreams was read. */
  onUpstreamsRead(): void;
  /** The requests waiting at this host, to announce to the peers. */
  waitingRecords(): readonly WaitingRecord[];
  adoptedAskIds(): readonly number[];
  /** Whether this host is the placer of its group. */
  isPlacer(): boolean;
  /** Whether this host chooses engines, for itself or for others. */
  isPlacing(): boolean;
}

/**
 * Used in place of a host id to store the totals of all hosts, from a
 * coordinator's summary, beside those of the peers.
 */
const ALL_HOSTS = '*';
/**
 * A host that has just begun to receive the announcements of all others also
 * counts the last summary for this long, until each of them has announced
 * itself.
 */
const SUMMARY_LOAD_VALID_MS = 3_000;

export function createRelayPlacement(host: RelayPlacementHost): RelayPlacement {
  const {clock, random, createLogger, hostId, routing, registry} = host;
  const engineLoads = createEngineLoads();
  const engines = () =>
    (routing.current()?.services ?? [])
      .filter(({engine}) => engine)
      .flatMap(({name}) => registry.open(name));
  const statistics = createSharedStatistics({
    clock,
    engines,
    hostCount: () => host.members().length + 1,
    log: createLogger('speeds'),
  });
  const groups = createPlacementGroups({
    hostId,
    isReady: host.isReady,
    peers: () =>
      host.members().map(({hostId: id, state, capacity}) => ({
        hostId: id,
        isReady: state === 'ready',
        capacity,
      })),
    capacity: host.capacity,
    engines,
    usedEngineIds: engineLoads.usedEngineIds,
  });
  const priorities = createRequestPriorities({routing: routing.current});
  const view = createPeerView({clock, engineLoads, groups});
  const scheduler = createEngineScheduler({
    clock,
    random,
    log: createLogger('scheduler'),
    registry,
    engineLoads,
    statistics,
    peers: view,
    groups,
    isChanging: host.isChanging,
    isPaused: host.isPaused,
    mayBegin: host.mayBegin,
    leastUrgentPriority: priorities.leastUrgent,
    isOverShare: host.isOverShare,
    onPlaced: host.onPlaced,
    onChange: host.onChange,
  });
  const client = createPlacementClient({
    clock,
    log: createLogger('placement'),
    hostId,
    firstAskId: random.nextInt(FIRST_ASK_ID_RANGE),
    scheduler,
    registry,
    placers: groups.placers,
    send: host.send,
  });
  const server = createPlacementServer({
    clock,
    scheduler,
    statistics,
    findService: routing.service,
    send: host.send,
  });
  let lastDigest: number | undefined;
  let summaryLoadAtMs: number | undefined;

  function isPlacing(): boolean {
    const placers = groups.placers();
    return placers.length === 0 || placers.includes(hostId);
  }

  function forgetPeer(peerId: string): void {
    view.forget(peerId);
    statistics.removePeer(peerId);
  }

  function dropStaleSummary(): void {
    if (summaryLoadAtMs === undefined) return;
    if (clock.nowMs() - summaryLoadAtMs < SUMMARY_LOAD_VALID_MS) return;
    summaryLoadAtMs = undefined;
    engineLoads.setPeerLoad(ALL_HOSTS, undefined);
    statistics.removePeer(ALL_HOSTS);
  }

  return {
    engineLoads,
    statistics,
    scheduler,
    priorities,
    place: client.place,
    isUpdatedAtOnce: groups.isUpdatedAtOnce,
    keepers: groups.keepers,
    groupCount: groups.groupCount,
    receive(fromHostId, message) {
      if (message.kind === 'ask' || message.kind === 'withdraw') {
        server.receive(fromHostId, message);
      } else {
        client.receive(fromHostId, message);
      }
    },
    applyPeer(peer) {
      dropStaleSummary();
      view.applyPeer(peer);
      statistics.setPeer(peer.hostId, peer.learned);
      statistics.speeds.applyPeer(peer.hostId, peer.speeds);
      server.releaseAdopted(peer.hostId, peer.adoptedAskIds);
      // A placer receives announcements from many hosts and batches them; with
      // few hosts the queue is processed at once.
      if (groups.placers().length > 0) scheduler.processQueueSoon();
      else scheduler.processQueue();
    },
    applySummary(fromHostId, summary) {
      view.applySummary(fromHostId, summary);
      // A host that chooses engines receives the loads directly.
      if (isPlacing() || !summary.load) return;
      summaryLoadAtMs = clock.nowMs();
      engineLoads.setPeerLoad(ALL_HOSTS, summary.load);
      statistics.setPeer(ALL_HOSTS, summary.learned);
    },
    found: view.found,
    forgetPeer,
    removeHost(goneHostId) {
      forgetPeer(goneHostId);
      server.forget(goneHostId);
      client.forget(goneHostId);
      scheduler.processQueue();
    },
    refresh: groups.refresh,
    onUpstreamsRead() {
      // Most reads of the list change only heartbeats.
      if (registry.digest() !== lastDigest) groups.refresh();
      lastDigest = registry.digest();
      scheduler.processQueue();
    },
    waitingRecords: () => view.toWaitingRecords(scheduler.waitingRequests()),
    adoptedAskIds: client.adoptedAskIds,
    isPlacer: () => groups.placers()[0] === hostId,
    isPlacing,
  };
}
