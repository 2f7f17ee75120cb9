/**
 * Finds members that do not answer: a probe, probes by way of others, a
 * suspicion that the member may contradict, and only then its death.
 */

import type {Clock, TimerHandle} from '../ports/clock.js';
import type {Random} from '../ports/random.js';
import type {MemberTable} from './member_table.js';
import {isRunning, type Member} from './member_records.js';

export interface FailureDetectorHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly members: MemberTable;
  ping(target: Member, sequence: number): void;
  requestPing(relay: Member, target: Member, sequence: number): void;
}

export interface FailureDetectorOptions {
  readonly probeIntervalMs: number;
  /** How long a suspected member has to contradict. */
  readonly suspicionMs: number;
}

export interface FailureDetector {
  start(): void;
  stop(): void;
  acknowledged(hostId: string, sequence: number): void;
}

interface Probe {
  readonly hostId: string;
  readonly sentAtMs: number;
}

interface Suspicion {
  /** Our own probe failed; else we only heard of it. */
  isOwn: boolean;
  startedAtMs: number;
  timer: TimerHandle | undefined;
}

const INDIRECT_PROBES = 3;
/** Shares of the probe interval. */
const DIRECT_WAIT = 0.6;
const INDIRECT_WAIT = 0.8;
/** Pings sent to a member while we suspect it. */
const PINGS_PER_SUSPICION = 5;
/** Who only heard of a suspicion waits longer: the finder decides first. */
const HEARD_FACTOR = 2.5;
const PROBE_MEMORY_INTERVALS = 10;
const INTERVAL_JITTER = 0.2;

export function createFailureDetector(
  host: FailureDetectorHost,
  options: FailureDetectorOptions,
): FailureDetector {
  const {clock, random, members} = host;
  const probes = new Map<number, Probe>();
  const suspicions = new Map<string, Suspicion>();
  const answeredAtMs = new Map<string, number>();
  let ring: string[] = [];
  let sequence = random.nextInt(2 ** 31);
  let tickTimer: TimerHandle | undefined;
  let isStopped = false;

  /**
   * Runs `act` after a delay, unless this process itself was held up: then
   * its timers fire late with unread answers still in the socket, and it
   * would call healthy members dead. It forgets what it asked and starts over.
   */
  function after(delayMs: number, act: () => void): TimerHandle {
    const dueMs = clock.nowMs() + delayMs;
    return clock.setTimer(delayMs, () => {
      if (isStopped) return;
      const isLate =
        clock.nowMs() - dueMs > options.probeIntervalMs * DIRECT_WAIT;
      if (isLate) startOver();
      else act();
    });
  }

  function startOver(): void {
    probes.clear();
    for (const hostId of suspicions.keys()) restartSuspicion(hostId);
  }

  function pickFromRing(): Member | undefined {
    const selfId = members.self().hostId;
    for (let refills = 0; refills < 2;) {
      const hostId = ring.pop();
      if (hostId === undefined) {
        refills++;
        ring = shuffle(members.running().map(member => member.hostId));
        continue;
      }
      const member = members.get(hostId);
      if (member && hostId !== selfId && isRunning(member)) return member;
    }
    return undefined;
  }

  function shuffle<T>(items: T[]): T[] {
    for (let i = items.length - 1; i > 0; i--) {
      const j = random.nextInt(i + 1);
      [items[i], items[j]] = [items[j], items[i]];
    }
    return items;
  }

  function sendProbe(target: Member): number {
    sequence = (sequence + 1) % 2 ** 31;
    probes.set(sequence, {hostId: target.hostId, sentAtMs: clock.nowMs()});
    host.ping(target, sequence);
    return sequence;
  }

  function probe(target: Member): void {
    const sent = sendProbe(target);
    after(options.probeIntervalMs * DIRECT_WAIT, () => {
      if (!probes.has(sent)) return;
      for (const relay of pickRelays(target)) {
        host.requestPing(relay, target, sent);
      }
      after(options.probeIntervalMs * INDIRECT_WAIT, () => {
        if (probes.delete(sent)) suspect(target.hostId);
      });
    });
  }

  function pickRelays(target: Member): readonly Member[] {
    const running = members.running();
    const selfId = members.self().hostId;
    const picked = new Set<Member>();
    for (let tries = 0; tries < INDIRECT_PROBES * 4; tries++) {
      const relay = running[random.nextInt(running.length)];
      const isOther = relay.hostId !== selfId && relay.hostId !== target.hostId;
      if (isOther && relay.state !== 'suspect') picked.add(relay);
      if (picked.size === INDIRECT_PROBES) break;
    }
    return [...picked];
  }

  function suspect(hostId: string): void {
    const member = members.get(hostId);
    if (!member || !isRunning(member)) return;
    if (member.state === 'suspect') {
      const suspicion = suspicions.get(hostId);
      if (suspicion && !suspicion.isOwn) ownSuspicion(hostId, suspicion);
      return;
    }
    members.apply({...member, state: 'suspect'});
    const suspicion = suspicions.get(hostId);
    if (suspicion) ownSuspicion(hostId, suspicion);
  }

  function ownSuspicion(hostId: string, suspicion: Suspicion): void {
    suspicion.isOwn = true;
    restartSuspicion(hostId);
    for (let i = 1; i <= PINGS_PER_SUSPICION; i++) {
      after((options.suspicionMs * i) / (PINGS_PER_SUSPICION + 1), () => {
        const member = members.get(hostId);
        if (member?.state === 'suspect') sendProbe(member);
      });
    }
  }

  function restartSuspicion(hostId: string): void {
    const suspicion = suspicions.get(hostId);
    if (!suspicion) return;
    if (suspicion.timer) clock.clearTimer(suspicion.timer);
    suspicion.startedAtMs = clock.nowMs();
    const factor = suspicion.isOwn ? 1 : HEARD_FACTOR;
    suspicion.timer = after(options.suspicionMs * factor, () =>
      endSuspicion(hostId, suspicion),
    );
  }

  function endSuspicion(hostId: string, suspicion: Suspicion): void {
    const member = members.get(hostId);
    if (member?.state !== 'suspect') return;
    const answered = answeredAtMs.get(hostId) ?? -Infinity;
    if (answered >= suspicion.startedAtMs) {
      // It runs, but has not heard that it is suspected. Each ping tells it.
      restartSuspicion(hostId);
      sendProbe(member);
      return;
    }
    members.apply({...member, state: 'dead'});
  }

  function endSuspicionState(hostId: string): void {
    const suspicion = suspicions.get(hostId);
    if (suspicion?.timer) clock.clearTimer(suspicion.timer);
    suspicions.delete(hostId);
  }

  members.changes.listen(({member}) => {
    const {hostId, state} = member;
    if (hostId === members.self().hostId) return;
    if (state !== 'suspect') {
      endSuspicionState(hostId);
      if (!isRunning(member)) answeredAtMs.delete(hostId);
      return;
    }
    if (suspicions.has(hostId)) return;
    suspicions.set(hostId, {isOwn: false, startedAtMs: 0, timer: undefined});
    restartSuspicion(hostId);
  });

  function forgetOldProbes(): void {
    const beforeMs =
      clock.nowMs() - options.probeIntervalMs * PROBE_MEMORY_INTERVALS;
    for (const [sent, {sentAtMs}] of probes) {
      if (sentAtMs >= beforeMs) break;
      probes.delete(sent);
    }
  }

  function tick(): void {
    if (isStopped) return;
    const jitter = 1 + INTERVAL_JITTER * (random.nextFloat() - 0.5);
    tickTimer = clock.setTimer(options.probeIntervalMs * jitter, tick);
    forgetOldProbes();
    const target = pickFromRing();
    if (target) probe(target);
  }

  return {
    start() {
      const delayMs = options.probeIntervalMs * random.nextFloat();
      tickTimer = clock.setTimer(delayMs, tick);
    },
    stop() {
      isStopped = true;
      if (tickTimer) clock.clearTimer(tickTimer);
      for (const hostId of [...suspicions.keys()]) endSuspicionState(hostId);
    },
    acknowledged(hostId, sent) {
      if (probes.get(sent)?.hostId !== hostId) return;
      probes.delete(sent);
      answeredAtMs.set(hostId, clock.nowMs());
    },
  };
}
