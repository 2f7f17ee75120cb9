/**
 * Hosts that share a few upstreams, some of which name limits, in virtual time.
 * Datagrams take time and may be lost, and hosts may die, restart or be cut off.
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
import {isMeshOf} from '../../../src/relay/fleet/coordinators.js';
import type {Upstream} from '../../../src/core/upstream.js';
import {silentLog} from '../../support/silent_log.js';
import {revisionAt} from '../../support/store_revisions.js';

const LINK_MS = 3;
const WORK_MS = 20;
const MESH_STATE_MS = 250;
const STATE_MS = 600;
const VIEW_MS = 500;
/** Until the others know that a host has died. */
const DETECT_MS = 2_200;
const COORDINATORS = 3;
const TOLD_MS = 500;

export const WINDOW_MS = 4_000;

/** What all hosts that were told may send an upstream in a window. */
export function mostAllowed(limitPerS: number): number {
  return 1.5 * limitPerS * (WINDOW_MS / 1_000) + 5;
}

interface FleetHost {
  readonly index: number;
  readonly hostId: string;
  readonly backpressure: Backpressure;
  /** By upstream: when it passed on an answer that named a limit. */
  readonly toldAtMs: Map<string, number>;
  /** What it does is excused up to then. */
  excusedUntilMs: number;
}

interface Arrival {
  readonly upstreamId: string;
  readonly atMs: number;
  /** From a host that had been told, and that is not excused. */
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
  /** Undefined: the upstream names none any more. */
  setLimit(upstreamId: string, perS: number | undefined): void;
  /** Calls arrive at drawn hosts for a while. */
  offer(callsPerS: number, durationMs: number): Promise<void>;
  kill(index: number): void;
  /** A new life of the host that knows nothing. */
  restart(index: number): void;
  /** The host and its peers do not hear each other for so long. */
  cut(index: number, durationMs: number): void;
  /** The host that most others take for the owner of the limit. */
  ownerOf(upstreamId: string): number;
  /** Most counted arrivals in any window since then. */
  mostInWindow(upstreamId: string, sinceMs: number): number;
  /** All arrivals at the upstream since then. */
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
  const isMesh = isMeshOf(hostCount);
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
    const life = hosts[to];
    if (from !== to && (isCut(from) || isCut(to))) return;
    if (from !== to && random.nextFloat() < lossShare) return;
    clock.setTimer(LINK_MS, () => {
      if (!deadSinceMs.has(to) && hosts[to] === life) action();
    });
  }

  /** The same array until somebody is missed. */
  let knownIds: readonly string[] = [];

  /** The dead are missed after a while. */
  function findKnownIds(): void {
    const nowMs = clock.nowMs();
    knownIds = hosts
      .filter(({index}) => {
        const diedAtMs = deadSinceMs.get(index);
        return diedAtMs === undefined || nowMs - diedAtMs < DETECT_MS;
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
      tell(toHostId, message: PermitMessage) {
        const to = hosts.findIndex(each => each.hostId === toHostId);
        const receive = () => hosts[to].backpressure.receive(hostId, message);
        deliver(index, to, receive);
      },
      onChange: () => tellState(index),
    });
    return {
      index,
      hostId,
      backpressure,
      toldAtMs: new Map(),
      excusedUntilMs: 0,
    };
  }

  const hosts: FleetHost[] = [];
  for (let i = 0; i < hostCount; i++) hosts.push(makeHost(i));
  findKnownIds();

  function tellAll(
    from: number,
    to: readonly FleetHost[],
    records: readonly LimitRecord[],
    origin: 'peer' | 'relayed',
  ): void {
    if (deadSinceMs.has(from)) return;
    for (const {index} of to) {
      if (index === from) continue;
      const hear = () => hosts[index].backpressure.limits.hear(records, origin);
      deliver(from, index, hear);
    }
  }

  function tellState(from: number): void {
    const records = hosts[from].backpressure.limits.own();
    const to = isMesh ? hosts : hosts.slice(0, COORDINATORS);
    tellAll(from, to, records, 'peer');
  }

  function tellView(from: number): void {
    const records = hosts[from].backpressure.limits.found();
    tellAll(from, hosts, records, 'relayed');
  }

  function repeat(everyMs: number, action: () => void): void {
    const run = () => {
      action();
      clock.setTimer(everyMs, run);
    };
    clock.setTimer(random.nextInt(everyMs), run);
  }

  for (let i = 0; i < hostCount; i++) {
    repeat(isMesh ? MESH_STATE_MS : STATE_MS, () => tellState(i));
    if (!isMesh && i < COORDINATORS) repeat(VIEW_MS, () => tellView(i));
  }

  function arrive(host: FleetHost, upstreamId: string, sentAtMs: number): void {
    const nowMs = clock.nowMs();
    const toldAtMs = host.toldAtMs.get(upstreamId) ?? Infinity;
    const isCounted =
      nowMs - toldAtMs >= TOLD_MS && nowMs >= host.excusedUntilMs;
    arrivals.push({upstreamId, atMs: nowMs, isCounted});
    clock.setTimer(WORK_MS, () => {
      const limitPerS = limits.get(upstreamId);
      clock.setTimer(1, () => {
        if (hosts[host.index] !== host || deadSinceMs.has(host.index)) return;
        const upstream = byId.get(upstreamId)!;
        host.backpressure.signals.heard(upstream, {limitPerS}, sentAtMs);
        if (limitPerS === undefined || host.toldAtMs.has(upstreamId)) return;
        host.toldAtMs.set(upstreamId, clock.nowMs());
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
        id => !tried.has(id) && gate.heldMs(id) === 0,
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
      clock.setTimer(DETECT_MS, findKnownIds);
    },
    restart(index) {
      deadSinceMs.delete(index);
      findKnownIds();
      hosts[index] = makeHost(index);
      hosts[index].excusedUntilMs = clock.nowMs() + DETECT_MS;
    },
    cut(index, durationMs) {
      cutUntilMs.set(index, clock.nowMs() + durationMs);
      hosts[index].excusedUntilMs = clock.nowMs() + durationMs;
    },
    ownerOf(upstreamId) {
      const asked = hosts.map(({backpressure}) => backpressure);
      const [owner] = asked[0].owners(upstreamId);
      return hosts.findIndex(({hostId}) => hostId === owner);
    },
    mostInWindow(upstreamId, sinceMs) {
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
