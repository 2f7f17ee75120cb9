/**
 * Detects failed members. A member that answers neither a direct nor an
 * indirect probe becomes suspect; it is declared dead unless it refutes the
 * suspicion in time.
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
  /** Time for a suspected member to refute the suspicion. */
  readonly suspicionMs: number;
}

export interface FailureDetector {
  start(): void;
  stop(): void;
  handleAck(hostId: string, sequence: number): void;
}

interface Probe {
  readonly hostId: string;
  readonly sentAtMs: number;
}

interface Suspicion {
  /** This host's own probe failed; false if only reported by others. */
  isOwn: boolean;
  startedAtMs: number;
  timer: TimerHandle | undefined;
}

const INDIRECT_PROBES = 3;
/** Waits for answers, as shares of the probe interval. */
const DIRECT_WAIT_SHARE = 0.6;
const INDIRECT_WAIT_SHARE = 0.8;
/** Pings sent to a member while this host suspects it. */
const PINGS_PER_SUSPICION = 5;
/** Longer wait for a reported suspicion, so its originator decides first. */
const REPORTED_SUSPICION_FACTOR = 2.5;
const PROBE_RETENTION_INTERVALS = 10;
const INTERVAL_JITTER = 0.2;

export function createFailureDetector(
  host: FailureDetectorHost,
  options: FailureDetectorOptions,
): FailureDetector {
  const {clock, random, members} = host;
  const probes = new Map<number, Probe>();
  const suspicions = new Map<string, Suspicion>();
  const answeredAtMs = new Map<string, number>();
  let probeOrder: string[] = [];
  let sequence = random.nextInt(2 ** 31);
  let tickTimer: TimerHandle | undefined;
  let isStopped = false;

  /**
   * Runs `callback` after a delay, unless this process was paused. After a pause
   * timers run late while answers are still unread in the socket, and healthy
   * members would be declared dead; pending probes are discarded instead.
   */
  function after(delayMs: number, callback: () => void): TimerHandle {
    const dueMs = clock.nowMs() + delayMs;
    return clock.setTimer(delayMs, () => {
      if (isStopped) return;
      const isLate =
        clock.nowMs() - dueMs > options.probeIntervalMs * DIRECT_WAIT_SHARE;
      if (isLate) resetProbes();
      else callback();
    });
  }

  function resetProbes(): void {
    probes.clear();
    for (const hostId of suspicions.keys()) restartSuspicion(hostId);
  }

  function pickNextTarget(): Member | undefined {
    const selfId = members.self().hostId;
    for (let refills = 0; refills < 2;) {
      const hostId = probeOrder.pop();
      if (hostId === undefined) {
        refills++;
        probeOrder = shuffle(members.running().map(member => member.hostId));
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
    after(options.probeIntervalMs * DIRECT_WAIT_SHARE, () => {
      if (!probes.has(sent)) return;
      for (const relay of pickRelays(target)) {
        host.requestPing(relay, target, sent);
      }
      after(options.probeIntervalMs * INDIRECT_WAIT_SHARE, () => {
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
      if (suspicion && !suspicion.isOwn) startOwnSuspicion(hostId, suspicion);
      return;
    }
    members.apply({...member, state: 'suspect'});
    const suspicion = suspicions.get(hostId);
    if (suspicion) startOwnSuspicion(hostId, suspicion);
  }

  function startOwnSuspicion(hostId: string, suspicion: Suspicion): void {
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
    const factor = suspicion.isOwn ? 1 : REPORTED_SUSPICION_FACTOR;
    suspicion.timer = after(options.suspicionMs * factor, () =>
      resolveSuspicion(hostId, suspicion),
    );
  }

  function resolveSuspicion(hostId: string, suspicion: Suspicion): void {
    const member = members.get(hostId);
    if (member?.state !== 'suspect') return;
    const answered = answeredAtMs.get(hostId) ?? -Infinity;
    if (answered >= suspicion.startedAtMs) {
      // It is running but does not know of the suspicion; a ping reports it.
      restartSuspicion(hostId);
      sendProbe(member);
      return;
    }
    members.apply({...member, state: 'dead'});
  }

  function clearSuspicion(hostId: string): void {
    const suspicion = suspicions.get(hostId);
    if (suspicion?.timer) clock.clearTimer(suspicion.timer);
    suspicions.delete(hostId);
  }

  members.changes.listen(({member}) => {
    const {hostId, state} = member;
    if (hostId === members.self().hostId) return;
    if (state !== 'suspect') {
      clearSuspicion(hostId);
      if (!isRunning(member)) answeredAtMs.delete(hostId);
      return;
    }
    if (suspicions.has(hostId)) return;
    suspicions.set(hostId, {isOwn: false, startedAtMs: 0, timer: undefined});
    restartSuspicion(hostId);
  });

  function removeOldProbes(): void {
    const beforeMs =
      clock.nowMs() - options.probeIntervalMs * PROBE_RETENTION_INTERVALS;
    for (const [sent, {sentAtMs}] of probes) {
      if (sentAtMs >= beforeMs) break;
      probes.delete(sent);
    }
  }

  function tick(): void {
    if (isStopped) return;
    const jitter = 1 + INTERVAL_JITTER * (random.nextFloat() - 0.5);
    tickTimer = clock.setTimer(options.probeIntervalMs * jitter, tick);
    removeOldProbes();
    const target = pickNextTarget();
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
      for (const hostId of [...suspicions.keys()]) clearSuspicion(hostId);
    },
    handleAck(hostId, sent) {
      if (probes.get(sent)?.hostId !== hostId) return;
      probes.delete(sent);
      answeredAtMs.set(hostId, clock.nowMs());
    },
  };
}
