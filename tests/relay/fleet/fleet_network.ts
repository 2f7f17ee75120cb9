/**
 * A simulated network of hosts that exchange their state, in virtual time.
 * Links may be cut, hosts may freeze or be killed, and datagrams may be lost,
 * as drawn from a seed.
 */

import {createSeededRandom} from '../../../src/core/seeded_random.js';
import {
  createVirtualClock,
  type VirtualClock,
} from '../../../src/core/virtual_clock.js';
import type {Clock, TimerHandle} from '../../../src/ports/clock.js';
import type {DatagramPort} from '../../../src/ports/datagram.js';
import type {Logger} from '../../../src/ports/log.js';
import type {LossFact} from '../../../src/request/loss_fact.js';
import type {HostCapacity} from '../../../src/relay/fleet/host_capacity.js';
import type {HostState} from '../../../src/relay/fleet/members.js';
import type {
  Announcement,
  Summary,
} from '../../../src/relay/fleet/peer_datagrams.js';
import {createPeerExchange} from '../../../src/relay/fleet/peer_exchange.js';
import type {
  ChangeReach,
  PeerExchange,
} from '../../../src/relay/fleet/peer_exchange_types.js';
import {createStoreReaders} from '../../../src/relay/fleet/store_readers.js';
import {listEntries} from '../../../src/relay/front/host_directory.js';
import {
  createStoreConfirmation,
  type ConfirmedAges,
} from '../../../src/relay/store/store_confirmation.js';
import {LIST_READ_INTERVAL_MS} from '../../../src/relay/store/list_watch.js';
import {silentLog} from '../../support/silent_log.js';
import {revisionAt} from '../../support/store_revisions.js';

/** Latency of a link in one direction. */
const LINK_MS = 2;
const FETCH_MS = 30;
const NO_SUMS = {weight: 0, sums: []};
const NO_LEARNED = {starts: NO_SUMS, runs: NO_SUMS, prefills: NO_SUMS};

const NO_FINDINGS = {
  suspects: [],
  unreachable: [],
  changing: [],
  losses: [],
  learned: NO_LEARNED,
};

/** What a test exchanges between hosts beside their states. */
export interface FleetFindings {
  losses(): readonly LossFact[];
  applyLosses(losses: readonly LossFact[]): void;
}

export interface FleetHost {
  readonly name: string;
  readonly address: string;
  readonly exchange: PeerExchange;
  /** Caller addresses in this host's directory answer, sorted. */
  entries(): readonly string[];
  lostCount(): number;
  announcedCount(): number;
  /** Age of the store's last confirmation of this host's data. */
  confirmedAgeMs(): number;
  setState(state: HostState): void;
  /** Sets the placers of this host, which receive its changes immediately. */
  setNear(hostIds: readonly string[]): void;
  freeze(durationMs: number): void;
  setFindings(findings: FleetFindings): void;
}

/**
 * Datagrams sent and received by a host, and their bytes in both directions.
 */
interface Traffic {
  readonly sent: number;
  readonly bytes: number;
  readonly heard: number;
}

const NO_TRAFFIC: Traffic = {sent: 0, bytes: 0, heard: 0};

type Receive = (from: string, payload: Uint8Array) => void;

/** A suspended process runs its due timers when it resumes. */
export function createFreezableClock(clock: VirtualClock) {
  let stoppedUntilMs = 0;
  const host: Clock = {
    nowMs: clock.nowMs,
    wallMs: clock.wallMs,
    setTimer(delayMs, callback): TimerHandle {
      const run = () => {
        const restMs = stoppedUntilMs - clock.nowMs();
        if (restMs > 0) clock.setTimer(restMs, run);
        else callback();
      };
      return clock.setTimer(delayMs, run);
    },
    clearTimer: clock.clearTimer,
  };
  return {
    host,
    stop(durationMs: number) {
      stoppedUntilMs = clock.nowMs() + durationMs;
    },
    isStopped: () => clock.nowMs() < stoppedUntilMs,
  };
}

export function makeFleet(seed = 1) {
  const clock = createVirtualClock(1_000);
  const random = createSeededRandom(seed);
  const hosts = new Map<string, FleetHost>();
  const receivers = new Map<string, Receive>();
  const isDown = new Map<string, () => boolean>();
  const messages: Array<{to: string; from: string; message: unknown}> = [];
  const traffic = new Map<string, Traffic>();
  const lastPayloads = new Map<string, Uint8Array>();
  const dead = new Set<string>();
  let lossShare = 0;
  /** Whether a datagram between the two addresses is dropped. */
  let isCut: (from: string, to: string) => boolean = () => false;

  function count(address: string, more: Traffic): void {
    const before = traffic.get(address) ?? NO_TRAFFIC;
    traffic.set(address, {
      sent: before.sent + more.sent,
      bytes: before.bytes + more.bytes,
      heard: before.heard + more.heard,
    });
  }

  const isReached = (from: string, to: string) =>
    !dead.has(from) && !dead.has(to) && !isCut(from, to);

  function makePort(address: string): DatagramPort {
    return {
      send(to, payload) {
        count(address, {sent: 1, bytes: payload.length, heard: 0});
        count(to, {sent: 0, bytes: payload.length, heard: 1});
        lastPayloads.set(`${address}>${to}`, payload);
        if (!isReached(address, to) || random.nextFloat() < lossShare) return;
        clock.setTimer(LINK_MS, () => {
          if (!dead.has(to) && !isDown.get(to)?.()) {
            receivers.get(to)?.(address, payload);
          }
        });
      },
      onReceive: handler => void receivers.set(address, handler),
      close: () => void receivers.delete(address),
    };
  }

  function start(
    name: string,
    seeds: readonly string[],
    life = 1,
    capacity?: HostCapacity,
    log: Logger = silentLog,
  ): FleetHost {
    const address = `${name}:1`;
    const ownClock = createFreezableClock(clock);
    const confirmation = createStoreConfirmation(clock);
    let state: HostState = 'ready';
    let near: ReadonlySet<string> = new Set();
    let lostCount = 0;
    let announcedCount = 0;
    let findings: FleetFindings | undefined;

    const readers = createStoreReaders({
      hostId: name,
      peers: () => exchange.alive(),
      isStoreReachable: () => true,
    });
    const knowledge = () => ({
      routingVersion: 1,
      routingAges: confirmation.announcedAges(),
      upstreamRevision: revisionAt(1),
      upstreamDigest: 0,
      upstreamAges: confirmation.announcedAges(),
      listDeltas: [],
      isStoreReachable: true,
    });
    const ownState = () => ({
      state,
      callerAddress: `${name}:80`,
      failureDomain: 'raadi-ruum',
      isStoreReachable: true,
      capacity,
    });
    const confirm = ({upstreamAges}: {readonly upstreamAges: ConfirmedAges}) =>
      confirmation.notePeer(upstreamAges);

    const exchange = createPeerExchange(
      {
        clock: ownClock.host,
        log,
        datagrams: makePort(address),
        ownState,
        announcement(): Announcement {
          announcedCount++;
          return {
            ...knowledge(),
            ...ownState(),
            ...NO_FINDINGS,
            losses: findings?.losses() ?? [],
            load: {decode: {}, prefill: {}},
            waiting: [],
            full: [],
            adoptedAskIds: [],
            spending: [],
            aliveMs: 0,
          };
        },
        summary: (): Summary => ({
          ...knowledge(),
          ...NO_FINDINGS,
          losses: findings?.losses() ?? [],
          accountLevels: [],
        }),
        onPeerState(peer) {
          confirm(peer);
          findings?.applyLosses(peer.losses);
        },
        onSummary(_, summary) {
          confirm(summary);
          findings?.applyLosses(summary.losses);
        },
        onPeerGone() {
          lostCount++;
        },
        onPeerSilent: () => undefined,
        onMembersChange: () => undefined,
        isNear: hostId => exchange.isMesh() || near.has(hostId),
        isReader: readers.isReader,
        onMessage: (from, message) => {
          messages.push({to: name, from, message});
        },
        fetchMembers: from =>
          new Promise(resolve => {
            clock.setTimer(FETCH_MS, () => {
              const isServed = isReached(address, from.peerAddress);
              const peer = hosts.get(from.hostId);
              resolve(isServed ? peer?.exchange.members() : undefined);
            });
          }),
      },
      {
        hostId: name,
        incarnation: `${name}#${life}`,
        peerAddress: address,
        seedAddresses: seeds,
      },
    );

    function readStore(): void {
      if (readers.isReader()) confirmation.noteRead(clock.nowMs());
      ownClock.host.setTimer(LIST_READ_INTERVAL_MS, readStore);
    }

    const host: FleetHost = {
      name,
      address,
      exchange,
      entries: () =>
        [
          ...(listEntries({
            clock,
            random,
            self: exchange.self,
            peers: exchange.alive,
          })?.addresses ?? []),
        ].sort(),
      lostCount: () => lostCount,
      announcedCount: () => announcedCount,
      confirmedAgeMs: confirmation.ageMs,
      setState(next) {
        state = next;
        exchange.changed('coordinators');
      },
      setNear(hostIds) {
        near = new Set(hostIds);
      },
      freeze: ownClock.stop,
      setFindings(next) {
        findings = next;
      },
    };
    dead.delete(address);
    hosts.set(name, host);
    isDown.set(address, ownClock.isStopped);
    exchange.start();
    clock.setTimer(random.nextInt(LIST_READ_INTERVAL_MS), readStore);
    return host;
  }

  return {
    clock,
    messages,
    start,
    /** Starts hosts at about the same time; the first three are the seeds. */
    async startMany(
      count: number,
      capacityOf: (name: string) => HostCapacity | undefined = () => undefined,
    ): Promise<readonly FleetHost[]> {
      const names = Array.from({length: count}, (_, i) => `h${i}`);
      const seeds = names.slice(0, 3).map(name => `${name}:1`);
      const started: FleetHost[] = [];
      for (const name of names) {
        started.push(start(name, seeds, 1, capacityOf(name)));
        await clock.advance(300 / count);
      }
      return started;
    },
    kill(names: readonly string[]) {
      for (const name of names) {
        dead.add(`${name}:1`);
        hosts.get(name)?.exchange.stop();
      }
    },
    live: () => [...hosts.values()].filter(({address}) => !dead.has(address)),
    lose(share: number) {
      lossShare = share;
    },
    /** Cuts the links between addresses for which the predicate differs. */
    cutBetween(isThere: (address: string) => boolean) {
      isCut = (from, to) => isThere(from) !== isThere(to);
    },
    heal() {
      isCut = () => false;
    },
    trafficOf: (name: string) => traffic.get(`${name}:1`) ?? NO_TRAFFIC,
    change(host: FleetHost, reach?: ChangeReach) {
      host.exchange.changed(reach);
    },
    lastPayload: (from: FleetHost, to: FleetHost) =>
      lastPayloads.get(`${from.address}>${to.address}`),
    deliver(from: string, to: FleetHost, payload: Uint8Array) {
      receivers.get(to.address)?.(from, payload);
    },
  };
}

export type Fleet = ReturnType<typeof makeFleet>;
