/**
 * Simulates hosts that share a few upstreams, some with limits, in virtual
 * time. Datagrams are delayed and may be lost, and hosts may fail, restart or
 * be partitioned.
 */

import {createSeededRandom} from '../../../src/core/seeded_random.js';
import {
  createVirtualClock,
  type VirtualClock,
} from '../../../src/core/virtual_clock.js';
import {
  createBackpressure,
  type Backpressure,
} from '../../../src/relay/backpressure/backpressure.js';
import type {LimitRecord} from '../../../src/relay/backpressure/upstream_limits.js';
import type {PermitMessage} from '../../../src/relay/backpressure/permit_messages.js';
import {isMeshSize} from '../../../src/relay/fleet/coordinators.js';
import type {Upstream} from '../../../src/core/upstream.js';
import {silentLog} from '../../support/silent_log.js';
import {revisionAt} from '../../support/store_revisions.js';

const LINK_DELAY_MS = 3;
const WORK_MS = 20;
const MESH_STATE_INTERVAL_MS = 250;
const STATE_INTERVAL_MS = 600;
const RELAY_MS = 500;
/** Time until the other hosts detect that a host has failed. */
const DETECTION_MS = 2_200;
const COORDINATORS = 3;
/** A host must obey a limit within this time after it received the limit. */
const REACTION_MS = 500;

export const WINDOW_MS = 4_000;

/** Requests that hosts that know the limit may send in a window. */
export function maxAllowed(limitPerS: number): number {
  return 1.5 * limitPerS * (WINDOW_MS / 1_000) + 5;
}

interface FleetHost {
  readonly index: number;
  readonly hostId: string;
  readonly backpressure: Backpressure;
  /** By upstream: when the host first received an answer with a limit. */
  readonly limitedAtMs: Map<string, number>;
  /** Until then, requests of this host aren't counted. */
  exemptUntilMs: number;
}

interface Arrival {
  readonly upstreamId: string;
  readonly atMs: number;
  /** Whether the sender knew the limit and wasn't exempt. */
  readonly isCounted: boolean;
}

export interface LimitFleetOptions {
  readonly hostCount: number;
  readonly upstreamCount: number;
  readonly seed: number;
  readonly lossShare?: number;
}

export interface LimitFleet {
  readonly clock: VirtualClock;
  readonly upstreamIds: readonly string[];
  /** Sets the limit, or ends it if `perS` is undefined. */
  setLimit(upstreamId: string, perS: number | undefined): void;
  /** Sends calls to random hosts at this rate. */
  offer(callsPerS: number, durationMs: number): Promise<void>;
  kill(index: number): void;
  /** Restarts the host with empty state. */
  restart(index: number): void;
  /** Partitions the host from its peers for this time. */
  cut(index: number, durationMs: number): void;
  /** Returns the owner of the limit as seen by the first host. */
  ownerOf(upstreamId: string): number;
  /** Returns the maximum of counted arrivals in any window. */
  maxInWindow(upstreamId: string, sinceMs: number): number;
  /** Returns the number of all arrivals, counted or not. */
  arrivalsSince(upstreamId: string, sinceMs: number): number;
  refusedSince(sinceMs: number): number;
}

export function makeLimitFleet(options: LimitFleetOptions): LimitFleet {
  const {hostCount, upstreamCount, seed, lossShare = 0} = options;
  const clock = createVirtualClock(1_000);
  const random = createSeededRandom(seed);
  const upstreamIds = Array.from({length: upstreamCount}, (_, i) => `i-${i}`);
  const limits = new Map<string, number>();
  const arrivals: Arrival[] = [];
  const refusedAtMs: number[] = [];
  const deadSinceMs = new Map<number, number>();
  const cutUntilMs = new Map<number, number>();
  const isMesh = isMeshSize(hostCount);
  const upstreams = upstreamIds.map((id): Upstream => ({
    id,
    name: id,
    service: 'ledger',
    address: `${id}:80`,
    failureDomain: 'd0',
    slots: 6,
    isDraining: false,
    heartbeat: revisionAt(1),
  }));
  const byId = new Map(upstreams.map(each => [each.id, each]));

  const isCut = (index: number) => (cutUntilMs.get(index) ?? 0) > clock.nowMs();

  function deliver(from: number, to: number, action: () => void): void {
    const receiver = hosts[to];
    if (from !== to && (isCut(from) || isCut(to))) return;
    if (from !== to && random.nextFloat() < lossShare) return;
    clock.setTimer(LINK_DELAY_MS, () => {
      if (!deadSinceMs.has(to) && hosts[to] === receiver) action();
    });
  }

  /** Replaced only when a failure is detected or a host restarts. */
  let knownIds: readonly string[] = [];

  /** Lists all hosts but those whose failure has been detected. */
  function updateKnownIds(): void {
    const nowMs = clock.nowMs();
    knownIds = hosts
      .filter(({index}) => {
        const diedAtMs = deadSinceMs.get(index);
        return diedAtMs === undefined || nowMs - diedAtMs < DETECTION_MS;
      })
      .map(({hostId}) => hostId);
  }

  function makeHost(index: number): FleetHost {
    const hostId = `host-${index}`;
    const backpressure = createBackpressure({
      clock,
      random,
      log: silentLog,
      metrics: {count: () => undefined},
      hostId,
      registry: {
        get: id => byId.get(id),
        getOpen: id => byId.get(id),
        markLeaving: () => undefined,
      },
      hostIds: () => knownIds,
      send(toHostId, message: PermitMessage) {
        const to = hosts.findIndex(each => each.hostId === toHostId);
        const receive = () => hosts[to].backpressure.receive(hostId, message);
        deliver(index, to, receive);
      },
      onChange: () => sendOwnRecords(index),
    });
    return {
      index,
      hostId,
      backpressure,
      limitedAtMs: new Map(),
      exemptUntilMs: 0,
    };
  }

  const hosts: FleetHost[] = [];
  for (let i = 0; i < hostCount; i++) hosts.push(makeHost(i));
  updateKnownIds();

  function sendToAll(
    from: number,
    to: readonly FleetHost[],
    records: readonly LimitRecord[],
    origin: 'peer' | 'relayed',
  ): void {
    if (deadSinceMs.has(from)) return;
    for (const {index} of to) {
      if (index === from) continue;
      const receive = () =>
        hosts[index].backpressure.limits.applyRecords(records, origin);
      deliver(from, index, receive);
    }
  }

  function sendOwnRecords(from: number): void {
    const records = hosts[from].backpressure.limits.ownRecords();
    const to = isMesh ? hosts : hosts.slice(0, COORDINATORS);
    sendToAll(from, to, records, 'peer');
  }

  function relayRecords(from: number): void {
    const records = hosts[from].backpressure.limits.found();
    sendToAll(from, hosts, records, 'relayed');
  }

  function repeat(everyMs: number, action: () => void): void {
    const run = () => {
      action();
      clock.setTimer(everyMs, run);
    };
    clock.setTimer(random.nextInt(everyMs), run);
  }

  for (let i = 0; i < hostCount; i++) {
    repeat(isMesh ? MESH_STATE_INTERVAL_MS : STATE_INTERVAL_MS, () =>
      sendOwnRecords(i),
    );
    if (!isMesh && i < COORDINATORS) repeat(RELAY_MS, () => relayRecords(i));
  }

  function arrive(host: FleetHost, upstreamId: string, sentAtMs: number): void {
    const nowMs = clock.nowMs();
    const limitedAtMs = host.limitedAtMs.get(upstreamId) ?? Infinity;
    const isCounted =
      nowMs - limitedAtMs >= REACTION_MS && nowMs >= host.exemptUntilMs;
    arrivals.push({upstreamId, atMs: nowMs, isCounted});
    clock.setTimer(WORK_MS, () => {
      const limitPerS = limits.get(upstreamId);
      clock.setTimer(1, () => {
        if (hosts[host.index] !== host || deadSinceMs.has(host.index)) return;
        const upstream = byId.get(upstreamId)!;
        host.backpressure.signals.onSignals(upstream, {limitPerS}, sentAtMs);
        if (limitPerS === undefined || host.limitedAtMs.has(upstreamId)) return;
        host.limitedAtMs.set(upstreamId, clock.nowMs());
      });
    });
  }

  async function call(): Promise<void> {
    const host = hosts[random.nextInt(hostCount)];
    if (deadSinceMs.has(host.index)) return;
    const {gate} = host.backpressure;
    const tried = new Set<string>();
    for (;;) {
      const open = upstreamIds.filter(
        id => !tried.has(id) && gate.blockedForMs(id) === 0,
      );
      if (open.length === 0) break;
      const id = open[random.nextInt(open.length)];
      tried.add(id);
      const verdict = await gate.admit(id, 0);
      if (verdict.kind !== 'open') continue;
      const sentAtMs = clock.nowMs();
      clock.setTimer(1, () => arrive(host, id, sentAtMs));
      return;
    }
    refusedAtMs.push(clock.nowMs());
  }

  return {
    clock,
    upstreamIds,
    setLimit(upstreamId, perS) {
      if (perS === undefined) limits.delete(upstreamId);
      else limits.set(upstreamId, perS);
    },
    async offer(callsPerS, durationMs) {
      const endAtMs = clock.nowMs() + durationMs;
      for (;;) {
        const gapMs = (-Math.log(1 - random.nextFloat()) * 1_000) / callsPerS;
        if (clock.nowMs() + gapMs >= endAtMs) break;
        await clock.advance(gapMs);
        void call();
      }
      await clock.advance(Math.max(0, endAtMs - clock.nowMs()));
    },
    kill(index) {
      deadSinceMs.set(index, clock.nowMs());
      clock.setTimer(DETECTION_MS, updateKnownIds);
    },
    restart(index) {
      deadSinceMs.delete(index);
      updateKnownIds();
      hosts[index] = makeHost(index);
      hosts[index].exemptUntilMs = clock.nowMs() + DETECTION_MS;
    },
    cut(index, durationMs) {
      cutUntilMs.set(index, clock.nowMs() + durationMs);
      hosts[index].exemptUntilMs = clock.nowMs() + durationMs;
    },
    ownerOf(upstreamId) {
      const backpressures = hosts.map(({backpressure}) => backpressure);
      const [owner] = backpressures[0].owners(upstreamId);
      return hosts.findIndex(({hostId}) => hostId === owner);
    },
    maxInWindow(upstreamId, sinceMs) {
      const times = arrivals
        .filter(each => each.upstreamId === upstreamId && each.isCounted)
        .map(({atMs}) => atMs)
        .filter(atMs => atMs >= sinceMs);
      let most = 0;
      let first = 0;
      for (let last = 0; last < times.length; last++) {
        while (times[last] - times[first] > WINDOW_MS) first++;
        most = Math.max(most, last - first + 1);
      }
      return most;
    },
    arrivalsSince: (upstreamId, sinceMs) =>
      arrivals.filter(
        each => each.upstreamId === upstreamId && each.atMs >= sinceMs,
      ).length,
    refusedSince: sinceMs => refusedAtMs.filter(at => at >= sinceMs).length,
  };
}
