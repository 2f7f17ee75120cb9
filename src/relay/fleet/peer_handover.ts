/**
 * Hands the configuration and the list of upstreams to hosts that cannot read
 * them from the store themselves, and fetches them from a peer on such a host.
 *
 * Guards against a host that the store turns away while it serves the others:
 * it would send to upstreams that left long ago, or, just started, know
 * nothing and refuse every caller.
 */

import {readWhole, type HttpExchange} from '../../adapters/http_exchange.js';
import {compareRevisions, type StoreMoment} from '../../core/store_revision.js';
import type {Clock, TimerHandle} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {RoutingSource} from '../../ports/relay.js';
import type {Member} from './members.js';
import type {KnowingPeer} from './peer_datagrams.js';
import type {RoutingState} from '../routing_state.js';
import type {SideHandler} from '../front/side_server.js';
import type {UpstreamSnapshot} from '../../core/upstream.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';
import type {StoreTime} from '../accounts/store_time.js';

export interface PeerHandoverHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly exchange: HttpExchange;
  readonly routing: RoutingState;
  readonly routingSource: RoutingSource;
  readonly registry: UpstreamRegistry;
  readonly storeTime: StoreTime;
  /** Live peers that this host hears itself. */
  peers(): readonly KnowingPeer[];
  /** Live hosts, this one among them. */
  members(): readonly Member[];
  /** Age of this host's list of upstreams. */
  upstreamAgeMs(): number;
  /** The list came from a peer, as old as this. */
  onUpstreams(ageMs: number): void;
}

export interface PeerHandover {
  start(): void;
  stop(): void;
  /** The live hosts that the peer knows; undefined if it does not answer. */
  fetchMembers(from: Member): Promise<readonly Member[] | undefined>;
  /** Answers peers that ask. */
  readonly handler: SideHandler;
}

const ROUTING_PATH = '/peer/routing';
const UPSTREAMS_PATH = '/peer/upstreams';
const MEMBERS_PATH = '/peer/members';
const LOOK_EVERY_MS = 200;
/** The store is read every 0.7 s; a list older than this is not being read. */
const STALE_MS = 1_300;
/** A peer's version is fetched once the own feed has had time to bring it. */
const ROUTING_WAIT_MS = 400;
const CONNECT_TIMEOUT_MS = 200;
const FETCH_TIMEOUT_MS = 400;
const MAX_BYTES = 4 * 1024 * 1024;

interface HandedUpstreams {
  readonly ageMs: number;
  readonly snapshot: UpstreamSnapshot;
  /** No earlier than the store's clock; absent where that is not known. */
  readonly storeNow?: StoreMoment;
}

export function createPeerHandover(host: PeerHandoverHost): PeerHandover {
  const {clock, log, exchange, routing, registry} = host;
  let timer: TimerHandle | undefined;
  let isStopped = false;
  let behindSinceMs: number | undefined;

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
      headTimeoutMs: FETCH_TIMEOUT_MS,
      mayReuseConnection: false,
    });
    if (head.kind !== 'answered') return undefined;
    const bytes = await readWhole(head.body, MAX_BYTES);
    return head.status === 200 ? bytes?.toString('utf8') : undefined;
  }

  async function fetchRouting(): Promise<void> {
    const newest = host
      .peers()
      .reduce<KnowingPeer | undefined>(
        (best, peer) =>
          peer.routingVersion > (best?.routingVersion ?? routing.version())
            ? peer
            : best,
        undefined,
      );
    if (!newest) {
      behindSinceMs = undefined;
      return;
    }
    behindSinceMs ??= clock.nowMs();
    const isWaiting = clock.nowMs() - behindSinceMs < ROUTING_WAIT_MS;
    if (isWaiting && routing.current()) return;
    const text = await fetch(newest, ROUTING_PATH);
    const offered = text && host.routingSource.decode(text);
    if (offered) routing.offer(offered, 'peer');
  }

  async function fetchUpstreams(): Promise<void> {
    const ownAgeMs = host.upstreamAgeMs();
    if (ownAgeMs < STALE_MS) return;
    const freshest = host
      .peers()
      .filter(peer => peer.upstreamAges.ageMs < Math.min(STALE_MS, ownAgeMs))
      .sort((a, b) => compareRevisions(b.upstreamRevision, a.upstreamRevision))
      .at(0);
    if (!freshest) return;
    const sentAt = host.storeTime.now();
    const text = await fetch(freshest, UPSTREAMS_PATH);
    const handed = text ? parseHanded<HandedUpstreams>(text) : undefined;
    if (!handed) return;
    if (handed.storeNow) host.storeTime.note(sentAt, handed.storeNow);
    const isTaken = registry.apply(handed.snapshot, 'peer');
    if (isTaken) host.onUpstreams(handed.ageMs);
  }

  function parseHanded<T>(text: string): T | undefined {
    try {
      return JSON.parse(text) as T;
    } catch (error) {
      log.warn('A peer sent what cannot be read.', {
        reason: String(error),
      });
      return undefined;
    }
  }

  function tick(): void {
    void Promise.all([fetchRouting(), fetchUpstreams()]).finally(() => {
      if (!isStopped) timer = clock.setTimer(LOOK_EVERY_MS, tick);
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
      return text ? parseHanded<readonly Member[]>(text) : undefined;
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
      const handed: HandedUpstreams = {
        ageMs: Math.round(host.upstreamAgeMs()),
        snapshot,
        storeNow: host.storeTime.latest(),
      };
      return {status: 200, contentType, body: JSON.stringify(handed)};
    },
  };
}
