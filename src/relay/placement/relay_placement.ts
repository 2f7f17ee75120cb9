/**
 * What decides which engines a stream gets, put together: the books, the
 * scheduler, and the way to and from the host that places for others.
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
  /** Live hosts, this one left out. */
  members(): readonly Member[];
  /** This host told the engine to change its role. */
  isChanging(engineId: string): boolean;
  /** The engine takes nothing from this host for now. */
  isHeld(engineId: string): boolean;
  tell(hostId: string, message: PlacementMessage): void;
  /** The peers should hear of a change. */
  onChange(): void;
}

export interface RelayPlacement {
  readonly books: EngineBooks;
  readonly learning: SharedLearning;
  readonly scheduler: EngineScheduler;
  readonly place: PlacementClient['place'];
  isNear(hostId: string): boolean;
  /** Who keeps the slots of a plain service; none where hosts are few. */
  keepers(service: string): readonly string[];
  groupCount(): number;
  receive(fromHostId: string, message: PlacementMessage): void;
  heard(peer: Peer): void;
  /** A coordinator told what all hosts know. */
  told(fromHostId: string, summary: Summary): void;
  gone(hostId: string): void;
  /** The peer tells this host nothing any more. */
  unheard(hostId: string): void;
  /** What this host and the peers that it hears found out. */
  found(own: FoundUpstreams): FoundUpstreams;
  /** This host's state, the live hosts or the configuration have changed. */
  refresh(): void;
  /** The list of upstreams was read. */
  upstreamsRead(): void;
  /** Who waits here, for the peers. */
  waitingRecords(): readonly WaitingRecord[];
  adoptedAskIds(): readonly number[];
  /** Whether this host places for others now. */
  isPlacer(): boolean;
  /** Whether this host chooses engines, for itself or for others. */
  isPlacing(): boolean;
}

/** What coordinators tell stands under this name beside the peers. */
const ALL_HOSTS = '*';
/**
 * A host that hears the others itself from now on counts what it was told of
 * them until they all have told it themselves.
 */
const TOLD_LOAD_VALID_MS = 3_000;

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
  let groupedDigest: number | undefined;
  let toldLoadAtMs: number | undefined;

  function isPlacing(): boolean {
    const placers = groups.placers();
    return placers.length === 0 || placers.includes(hostId);
  }

  function unheard(peerId: string): void {
    view.forget(peerId);
    learning.forget(peerId);
  }

  function dropOldLoad(): void {
    if (toldLoadAtMs === undefined) return;
    if (clock.nowMs() - toldLoadAtMs < TOLD_LOAD_VALID_MS) return;
    toldLoadAtMs = undefined;
    books.setPeer(ALL_HOSTS, undefined);
    learning.forget(ALL_HOSTS);
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
      dropOldLoad();
      view.heard(peer);
      learning.hear(peer.hostId, peer.learned);
      desk.adopted(peer.hostId, peer.adoptedAskIds);
      // A placer hears many; a few hosts go on at once.
      if (groups.placers().length > 0) scheduler.pumpSoon();
      else scheduler.pump();
    },
    told(fromHostId, summary) {
      view.told(fromHostId, summary);
      // Who places hears by itself what the others promised.
      if (isPlacing() || !summary.load) return;
      toldLoadAtMs = clock.nowMs();
      books.setPeer(ALL_HOSTS, summary.load);
      learning.hear(ALL_HOSTS, summary.learned);
    },
    found: view.found,
    unheard,
    gone(goneHostId) {
      unheard(goneHostId);
      desk.forget(goneHostId);
      client.forget(goneHostId);
      scheduler.pump();
    },
    refresh: groups.refresh,
    upstreamsRead() {
      // Most reads of the list bring nothing but signs of life.
      if (registry.digest() !== groupedDigest) groups.refresh();
      groupedDigest = registry.digest();
      scheduler.pump();
    },
    waitingRecords: () => view.toRecords(scheduler.announcements()),
    adoptedAskIds: client.adopted,
    isPlacer: () => groups.placers()[0] === hostId,
    isPlacing,
  };
}
