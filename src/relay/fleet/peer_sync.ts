/**
 * Fetches the configuration and the list of upstreams from a peer when this
 * host cannot read them from the store, and serves both to peers.
 *
 * Guards against a host that cannot reach the store while the others can: it
 * would send requests to upstreams that left long ago, or, if just started,
 * refuse every caller.
 */

import {readWhole, type HttpExchange} from '../../adapters/http_exchange.js';
import {compareRevisions, type StoreMoment} from '../../core/store_revision.js';
import type {Clock, TimerHandle} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {RoutingSource} from '../../ports/relay.js';
import {withValidCapacity} from './host_capacity.js';
import type {Member} from './members.js';
import type {PeerSyncState} from './peer_datagrams.js';
import type {RoutingState} from '../routing_state.js';
import type {AuxiliaryHandler} from '../front/auxiliary_server.js';
import type {UpstreamSnapshot} from '../../core/upstream.js';
import {startHedgedCall} from '../store/hedged_call.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';
import type {StoreTime} from '../accounts/store_time.js';

export interface PeerSyncHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly exchange: HttpExchange;
  readonly routing: RoutingState;
  readonly routingSource: RoutingSource;
  readonly registry: UpstreamRegistry;
  readonly storeTime: StoreTime;
  /** Live peers that send datagrams to this host. */
  peers(): readonly PeerSyncState[];
  /** Live hosts including this one. */
  members(): readonly Member[];
  /** Whether the store answered this host's last call. */
  isStoreReachable(): boolean;
  /** Age of this host's list of upstreams. */
  upstreamAgeMs(): number;
  /** A list of the given age was applied from a peer. */
  onUpstreamsFetched(ageMs: number): void;
}

export interface PeerSync {
  start(): void;
  stop(): void;
  /** The live hosts known to the peer; undefined if it does not answer. */
  fetchMembers(from: Member): Promise<readonly Member[] | undefined>;
  /** Serves requests from peers. */
  readonly handler: AuxiliaryHandler;
}

const ROUTING_PATH = '/peer/routing';
const UPSTREAMS_PATH = '/peer/upstreams';
const MEMBERS_PATH = '/peer/members';
const CHECK_INTERVAL_MS = 200;
/**
 * The store is read every 0.7 s; an older list means that reads are failing.
 */
const MAX_FRESH_AGE_MS = 1_300;
/** Start of a request to the next peer if one does not answer. */
const NEXT_PEER_DELAY_MS = 150;
const MAX_PEERS_ASKED = 3;
/**
 * Time for this host's own feed to deliver a version before a peer is asked.
 */
const FEED_WAIT_MS = 400;
const CONNECT_TIMEOUT_MS = 200;
const FETCH_TIMEOUT_MS = 400;
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

interface UpstreamsResponse {
  readonly ageMs: number;
  readonly snapshot: UpstreamSnapshot;
  /** A lower bound of the store's time; absent if it is not known. */
  readonly storeNow?: StoreMoment;
}

export function createPeerSync(host: PeerSyncHost): PeerSync {
  const {clock, log, exchange, routing, registry} = host;
  let timer: TimerHandle | undefined;
  let isStopped = false;
  let behindSinceMs: number | undefined;
  /** Moves on with each request, so that a silent peer is not asked again. */
  let nextPeer = 0;

  async function fetch(
    peer: {readonly peerAddress: string},
    target: string,
  ): Promise<string | undefined> {
    const head = await exchange.start({
      address: peer.peerAddress,
      method: 'GET',
      target,
      headers: ['Host', peer.peerAddress],
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      answerTimeoutMs: FETCH_TIMEOUT_MS,
      mayReuseConnection: false,
    });
    if (head.kind !== 'answered') return undefined;
    const bytes = await readWhole(head.body, MAX_RESPONSE_BYTES);
    return head.status === 200 ? bytes?.toString('utf8') : undefined;
  }

  /** Asks a few of the peers in rotation. */
  function fetchFromAny(
    peers: readonly PeerSyncState[],
    target: string,
  ): Promise<string | undefined> {
    const attempts = peers.slice(0, MAX_PEERS_ASKED).map((_, i) => ({
      startAfterMs: i * NEXT_PEER_DELAY_MS,
      run: () => fetch(peers[nextPeer++ % peers.length], target),
    }));
    return startHedgedCall(clock, attempts).answer;
  }

  async function fetchRouting(): Promise<void> {
    const newestVersion = Math.max(
      ...host.peers().map(each => each.routingVersion),
    );
    if (newestVersion <= routing.version()) {
      behindSinceMs = undefined;
      return;
    }
    behindSinceMs ??= clock.nowMs();
    const isWaiting =
      host.isStoreReachable() && clock.nowMs() - behindSinceMs < FEED_WAIT_MS;
    if (isWaiting && routing.current()) return;
    const newest = host
      .peers()
      .filter(each => each.routingVersion === newestVersion);
    const text = await fetchFromAny(newest, ROUTING_PATH);
    const offered = text && host.routingSource.decode(text);
    if (offered) routing.applyIfNewer(offered, 'peer');
  }

  async function fetchUpstreams(): Promise<void> {
    const ownAgeMs = host.upstreamAgeMs();
    if (ownAgeMs < MAX_FRESH_AGE_MS) return;
    const freshest = host
      .peers()
      .filter(
        peer => peer.upstreamAges.ageMs < Math.min(MAX_FRESH_AGE_MS, ownAgeMs),
      )
      .sort((a, b) => compareRevisions(b.upstreamRevision, a.upstreamRevision))
      .slice(0, MAX_PEERS_ASKED);
    if (freshest.length === 0) return;
    const sentAt = host.storeTime.now();
    const text = await fetchFromAny(freshest, UPSTREAMS_PATH);
    const response = text ? parseResponse<UpstreamsResponse>(text) : undefined;
    if (!response) return;
    if (response.storeNow) host.storeTime.note(sentAt, response.storeNow);
    const isApplied = registry.apply(response.snapshot, 'peer');
    if (isApplied) host.onUpstreamsFetched(response.ageMs);
  }

  function parseResponse<T>(text: string): T | undefined {
    try {
      return JSON.parse(text) as T;
    } catch (error) {
      log.warn('A peer sent a response that cannot be parsed.', {
        reason: String(error),
      });
      return undefined;
    }
  }

  function tick(): void {
    void Promise.all([fetchRouting(), fetchUpstreams()]).finally(() => {
      if (!isStopped) timer = clock.setTimer(CHECK_INTERVAL_MS, tick);
    });
  }

  return {
    start: tick,
    stop() {
      isStopped = true;
      if (timer) clock.clearTimer(timer);
    },
    async fetchMembers(from) {
      const text = await fetch(from, MEMBERS_PATH);
      const members = text && parseResponse<readonly Member[]>(text);
      return Array.isArray(members)
        ? members.map(withValidCapacity)
        : undefined;
    },
    handler(method, target) {
      if (method !== 'GET') return undefined;
      const contentType = 'application/json';
      if (target === MEMBERS_PATH) {
        const body = JSON.stringify(host.members());
        return {status: 200, contentType, body};
      }
      const current = routing.current();
      if (target === ROUTING_PATH && current) {
        const body = host.routingSource.encode(current);
        return {status: 200, contentType, body};
      }
      const snapshot = registry.snapshot();
      if (target !== UPSTREAMS_PATH || !snapshot) return undefined;
      const response: UpstreamsResponse = {
        ageMs: Math.round(host.upstreamAgeMs()),
        snapshot,
        storeNow: host.storeTime.latest(),
      };
      return {status: 200, contentType, body: JSON.stringify(response)};
    },
  };
}
