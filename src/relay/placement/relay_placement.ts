/**
 * Wires up the parts that choose engines for streams: the tracked loads, the
 * scheduler, and the messages to and from the placer of the group.
 */

import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {Random} from '../../ports/random.js';
import {createEngineBooks, type EngineBooks} from './engine_books.js';
import {
  createEngineScheduler,
  type EngineScheduler,
} from './engine_scheduler.js';
import {FIRST_ASK_IDS} from '../fleet/ask_client.js';
import type {Member} from '../fleet/members.js';
import type {Peer, Summary, WaitingRecord} from '../fleet/peer_datagrams.js';
import {createPeerView, type FoundUpstreams} from './peer_view.js';
import {
  createPlacementClient,
  type PlacementClient,
} from './placement_client.js';
import {createPlacementDesk} from './placement_desk.js';
import {createPlacementGroups} from './placement_groups.js';
import type {PlacementMessage} from './placement_messages.js';
import type {RoutingState} from '../routing_state.js';
import {createSharedLearning, type SharedLearning} from './shared_learning.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';

export interface RelayPlacementHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly createLogger: (part: string) => Logger;
  readonly hostId: string;
  readonly routing: RoutingState;
  readonly registry: UpstreamRegistry;
  /** This host serves and is not about to leave. */
  isReady(): boolean;
  /** Live hosts except this one. */
  members(): readonly Member[];
  /** This host ordered the engine to change its role. */
  isChanging(engineId: string): boolean;
  /** The engine takes no requests from this host for now. */
  isHeld(engineId: string): boolean;
  tell(hostId: string, message: PlacementMessage): void;
  /** Something that is announced to the peers has changed. */
  onChange(): void;
}

export interface RelayPlacement {
  readonly books: EngineBooks;
  readonly learning: SharedLearning;
  readonly scheduler: EngineScheduler;
  readonly place: PlacementClient['place'];
  isNear(hostId: string): boolean;
  /**
   * The hosts that keep the slots of a plain service; empty where hosts are
   * few.
   */
  keepers(service: string): readonly string[];
  groupCount(): number;
  receive(fromHostId: string, message: PlacementMessage): void;
  heard(peer: Peer): void;
  /** Applies a coordinator's summary of what all hosts reported. */
  told(fromHostId: string, summary: Summary): void;
  gone(hostId: string): void;
  /** The peer no longer announces to this host. */
  unheard(hostId: string): void;
  /** What this host and the peers that announce to it have reported. */
  found(own: FoundUpstreams): FoundUpstreams;
  /** This host's state, the live hosts or the configuration have changed. */
  refresh(): void;
  /** The list of upstreams was read. */
  upstreamsRead(): void;
  /** The requests waiting at this host, to announce to the peers. */
  waitingRecords(): readonly WaitingRecord[];
  adoptedAskIds(): readonly number[];
  /** Whether this host is the placer of its group. */
  isPlacer(): boolean;
  /** Whether this host chooses engines, for itself or for others. */
  isPlacing(): boolean;
}

/**
 * Stands for all hosts where a coordinator's summary is stored beside the
 * peers.
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
  const books = createEngineBooks();
  const learning = createSharedLearning({clock});
  const groups = createPlacementGroups({
    hostId,
    isReady: host.isReady,
    peers: () =>
      host.members().map(({hostId: id, state}) => ({
        hostId: id,
        isReady: state === 'ready',
      })),
    engines: () =>
      (routing.current()?.services ?? [])
        .filter(({engine}) => engine)
        .flatMap(({name}) => registry.open(name)),
    usedEngineIds: books.usedEngineIds,
  });
  const view = createPeerView({clock, books, groups});
  const scheduler = createEngineScheduler({
    clock,
    random,
    log: createLogger('scheduler'),
    registry,
    books,
    learning,
    peers: view,
    groups,
    isChanging: host.isChanging,
    isHeld: host.isHeld,
    onChange: host.onChange,
  });
  const client = createPlacementClient({
    clock,
    log: createLogger('placement'),
    hostId,
    firstAskId: random.nextInt(FIRST_ASK_IDS),
    scheduler,
    registry,
    placers: groups.placers,
    tell: host.tell,
  });
  const desk = createPlacementDesk({
    clock,
    scheduler,
    learning,
    findService: routing.service,
    tell: host.tell,
  });
  let lastDigest: number | undefined;
  let summaryLoadAtMs: number | undefined;

  function isPlacing(): boolean {
    const placers = groups.placers();
    return placers.length === 0 || placers.includes(hostId);
  }

  function unheard(peerId: string): void {
    view.forget(peerId);
    learning.removePeer(peerId);
  }

  function dropStaleSummary(): void {
    if (summaryLoadAtMs === undefined) return;
    if (clock.nowMs() - summaryLoadAtMs < SUMMARY_LOAD_VALID_MS) return;
    summaryLoadAtMs = undefined;
    books.setPeer(ALL_HOSTS, undefined);
    learning.removePeer(ALL_HOSTS);
  }

  return {
    books,
    learning,
    scheduler,
    place: client.place,
    isNear: groups.isNear,
    keepers: groups.keepers,
    groupCount: groups.groupCount,
    receive(fromHostId, message) {
      if (message.kind === 'ask' || message.kind === 'withdraw') {
        desk.receive(fromHostId, message);
      } else {
        client.receive(fromHostId, message);
      }
    },
    heard(peer) {
      dropStaleSummary();
      view.applyPeer(peer);
      learning.setPeer(peer.hostId, peer.learned);
      desk.adopted(peer.hostId, peer.adoptedAskIds);
      // A placer receives announcements from many hosts and batches them; with
      // few hosts the queue is processed at once.
      if (groups.placers().length > 0) scheduler.pumpSoon();
      else scheduler.processQueue();
    },
    told(fromHostId, summary) {
      view.applySummary(fromHostId, summary);
      // A host that chooses engines receives the loads directly.
      if (isPlacing() || !summary.load) return;
      summaryLoadAtMs = clock.nowMs();
      books.setPeer(ALL_HOSTS, summary.load);
      learning.setPeer(ALL_HOSTS, summary.learned);
    },
    found: view.found,
    unheard,
    gone(goneHostId) {
      unheard(goneHostId);
      desk.forget(goneHostId);
      client.forget(goneHostId);
      scheduler.processQueue();
    },
    refresh: groups.refresh,
    upstreamsRead() {
      // Most reads of the list change only heartbeats.
      if (registry.digest() !== lastDigest) groups.refresh();
      lastDigest = registry.digest();
      scheduler.processQueue();
    },
    waitingRecords: () => view.toWaitingRecords(scheduler.announcements()),
    adoptedAskIds: client.adoptedAskIds,
    isPlacer: () => groups.placers()[0] === hostId,
    isPlacing,
  };
}
