/**
 * Simulates calls of many hosts to a few upstreams of a plain service in
 * virtual time. Datagrams take 1 ms.
 */

import {createServiceShares} from '../../../src/relay/accounts/service_shares.js';
import {createSeededRandom} from '../../../src/core/seeded_random.js';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import {createCancellation} from '../../../src/relay/front/cancellation.js';
import {encodeDatagram} from '../../../src/relay/fleet/peer_codec.js';
import {createPlainPlacement} from '../../../src/relay/plain/plain_placement.js';
import type {SlotMessage} from '../../../src/relay/plain/slot_messages.js';
import {toCallWaiting} from '../../../src/relay/plain/slot_rules.js';
import {createUpstreamRegistry} from '../../../src/relay/store/upstream_registry.js';
import {createPlainBalancer} from '../../../src/scheduling/plain_balancer.js';
import {
  createSlotUpstreams,
  SLOTS,
  type SlotUpstreamsOptions,
} from './slot_upstreams.js';
import {silentLog} from '../../support/silent_log.js';
import {revisionAt} from '../../support/store_revisions.js';

export interface SlotLoadOptions extends SlotUpstreamsOptions {
  readonly hasKeepers: boolean;
  /** Calls a second in the burst, which takes the middle third. */
  readonly burstPerS: number;
  readonly basePerS: number;
  /** The first keeper sends nothing from this time on. */
  readonly keeperDiesAtMs?: number;
  /** Share of datagrams that are lost. */
  readonly lossShare?: number;
  /** Both keepers are cut off from all other hosts from this time on. */
  readonly keepersCutOffAtMs?: number;
  /** The keepers are reachable again from this time on. */
  readonly keepersReturnAtMs?: number;
  /** Rate of each keeper's link, for both directions together. */
  readonly linkBytesPerS?: number;
  /** Refused callers come back once, at the time that they were told. */
  readonly callersRetry?: boolean;
  /** Some hosts get several times as many calls as others. */
  readonly isUneven?: boolean;
  readonly goalMs?: number;
  /** How long a host may take for a call. */
  readonly deadlineMs?: number;
  /** How long a caller waits, over both of its requests. */
  readonly callerWaitsMs?: number;
}

export interface SlotLoadFigures {
  readonly calls: number;
  readonly onTime: number;
  readonly late: number;
  readonly refused: number;
  readonly rejected: number;
  /** Calls broken off by an upstream. */
  readonly broken: number;
  /**
   * Refused calls for which half of the slots became free while their callers
   * waited.
   */
  readonly refusedTooEarly: number;
  /** Most concurrent calls at one upstream. */
  readonly maxConcurrency: number;
  /** Longest delay of a datagram on a keeper's link. */
  readonly maxLinkDelayMs: number;
  /** How often a host found a keeper silent. */
  readonly silences: number;
  /** Most datagrams that one host sent to a keeper within a second. */
  readonly maxSentPerS: number;
}

const HOSTS = 68;
/** Headers of UDP and IP. */
const HEADER_BYTES = 28;
const UPSTREAMS = 3;
const GOAL_MS = 195;
const DEADLINE_MS = 1_000;
/** Time until all hosts know that an upstream is lost or back. */
const NEWS_MS = 250;
const SAMPLE_MS = 10;
const PLAY_MS = 12_000;
const HOP_MS = 1;
const SERVICE = 'storas-app';

interface CallTimes {
  /** Arrival of the first request of the caller. */
  readonly first: number;
  readonly giveUpAtMs: number;
  readonly callerLeavesAtMs: number;
  readonly isRetry: boolean;
}

export async function simulateSlotLoad(
  options: SlotLoadOptions,
): Promise<SlotLoadFigures> {
  const clock = createVirtualClock(1_000);
  const random = createSeededRandom(options.seed);
  const ids = Array.from({length: UPSTREAMS}, (_, i) => `u${i}`);
  const figures = {
    calls: 0,
    onTime: 0,
    late: 0,
    refused: 0,
    rejected: 0,
    broken: 0,
    refusedTooEarly: 0,
    maxLinkDelayMs: 0,
    silences: 0,
    maxSentPerS: 0,
  };
  const log = {
    ...silentLog,
    warn(message: string) {
      if (message === 'Slot keeper does not answer.') figures.silences++;
    },
  };
  const linkFreeAtMs = new Map<string, number>();
  const sentInSecond = new Map<string, number>();
  const hostIds = Array.from({length: HOSTS}, (_, i) => `host-${i}`);
  const keepers = options.hasKeepers ? hostIds.slice(0, 2) : [];
  const startMs = clock.nowMs();
  const isDead = (hostId: string) =>
    hostId === keepers[0] &&
    clock.nowMs() - startMs >= (options.keeperDiesAtMs ?? Infinity);

  const isCutOff = (hostId: string) =>
    keepers.includes(hostId) &&
    clock.nowMs() - startMs >= (options.keepersCutOffAtMs ?? Infinity) &&
    clock.nowMs() - startMs < (options.keepersReturnAtMs ?? Infinity);

  /** Delay of a datagram on the link of a keeper, behind earlier ones. */
  function linkDelayMs(hostId: string, bytes: number): number {
    if (!options.linkBytesPerS || !keepers.includes(hostId)) return 0;
    const nowMs = clock.nowMs();
    const freeAtMs = Math.max(nowMs, linkFreeAtMs.get(hostId) ?? 0);
    const sentAtMs = freeAtMs + (bytes * 1_000) / options.linkBytesPerS;
    linkFreeAtMs.set(hostId, sentAtMs);
    figures.maxLinkDelayMs = Math.max(figures.maxLinkDelayMs, sentAtMs - nowMs);
    return sentAtMs - nowMs;
  }

  function countSent(hostId: string, toHostId: string): void {
    if (!keepers.includes(toHostId)) return;
    const key = `${hostId} ${toHostId} ${Math.floor(clock.nowMs() / 1_000)}`;
    const count = (sentInSecond.get(key) ?? 0) + 1;
    sentInSecond.set(key, count);
    figures.maxSentPerS = Math.max(figures.maxSentPerS, count);
  }

  const hosts = new Map(
    hostIds.map((hostId, i) => [hostId, makeHost(hostId, `d${i % 3}`)]),
  );

  function makeHost(hostId: string, ownFailureDomain: string) {
    const registry = createUpstreamRegistry({clock, log: silentLog});
    const balancer = createPlainBalancer({clock, random}, {ownFailureDomain});
    let revision = 0;
    /** Reads a list with new heartbeats. */
    function refresh(): void {
      const heartbeat = revisionAt(++revision);
      const upstreams = ids.map((id, i) => ({
        id,
        name: id,
        service: SERVICE,
        address: `10.0.0.${i}:80`,
        failureDomain: `d${i}`,
        slots: SLOTS,
        isDraining: false,
        heartbeat,
      }));
      registry.apply({revision: heartbeat, upstreams});
    }
    registry.onChange(() =>
      balancer.setUpstreams(
        SERVICE,
        registry.open(SERVICE).map(each => ({...each, upstreamId: each.id})),
      ),
    );
    refresh();
    const placement = createPlainPlacement({
      clock,
      random,
      log,
      hostId,
      registry,
      balancer,
      keepers: () => keepers,
      keeperCount: () => 1,
      hostCount: () => HOSTS,
      shares: createServiceShares({clock, weightOf: () => 1}),
      leastUrgent: () => undefined,
      send(toHostId: string, message: SlotMessage) {
        countSent(hostId, toHostId);
        if (random.nextFloat() < (options.lossShare ?? 0)) return;
        const datagram = {kind: 'letter', from: hostId, message};
        const bytes = encodeDatagram(datagram).length + HEADER_BYTES;
        const delayMs =
          linkDelayMs(hostId, bytes) + linkDelayMs(toHostId, bytes);
        clock.setTimer(HOP_MS + delayMs, () => {
          if (isDead(hostId) || isDead(toHostId)) return;
          if (isCutOff(hostId) || isCutOff(toHostId)) return;
          hosts.get(toHostId)?.receive(hostId, message);
        });
      },
    });
    return {...placement, registry, refresh};
  }

  const upstreams = createSlotUpstreams({clock, random, startMs}, options, ids);

  function setLost(isLost: boolean): void {
    const lostIds = ids.slice(0, options.lost!.count);
    for (const {registry, refresh} of hosts.values()) {
      if (isLost) for (const id of lostIds) registry.markUnreachable(id);
      else refresh();
    }
  }

  if (options.lost) {
    const {fromMs, untilMs} = options.lost;
    clock.setTimer(fromMs + NEWS_MS, () => setLost(true));
    clock.setTimer(untilMs + NEWS_MS, () => setLost(false));
  }

  /** The latest time at which half of the slots were free. */
  let halfFreeAtMs = -Infinity;
  function sampleSlots(): void {
    if (upstreams.freeShare() > 0.5) halfFreeAtMs = clock.nowMs();
    clock.setTimer(SAMPLE_MS, sampleSlots);
  }

  /** The caller of a refused call comes back once, if it can. */
  function refuse(
    {first, giveUpAtMs, callerLeavesAtMs, isRetry}: CallTimes,
    afterMs: number,
  ): void {
    const nowMs = clock.nowMs();
    if (giveUpAtMs > nowMs) {
      clock.setTimer(giveUpAtMs - nowMs, () => {
        if (halfFreeAtMs >= nowMs) figures.refusedTooEarly++;
      });
    }
    const maxMs = (callerLeavesAtMs - nowMs) / 3;
    if (!options.callersRetry || isRetry || afterMs > maxMs) {
      figures.refused++;
      return;
    }
    const hostId = hostIds[random.nextInt(HOSTS)];
    clock.setTimer(afterMs, () => void call(hostId, {callerLeavesAtMs, first}));
  }

  async function call(
    hostId: string,
    earlier?: {readonly first: number; readonly callerLeavesAtMs: number},
  ): Promise<void> {
    const {deadlineMs = DEADLINE_MS, goalMs = GOAL_MS} = options;
    const {slots, registry} = hosts.get(hostId)!;
    const arrivedAtMs = clock.nowMs();
    const first = earlier?.first ?? arrivedAtMs;
    const callerLeavesAtMs =
      earlier?.callerLeavesAtMs ??
      arrivedAtMs + (options.callerWaitsMs ?? deadlineMs);
    const deadlineAtMs = Math.min(callerLeavesAtMs, arrivedAtMs + deadlineMs);
    const tried = new Set<string>();
    for (;;) {
      const waiting = toCallWaiting({
        arrivedAtMs,
        goalMs,
        deadlineAtMs,
        meanCallMs: slots.meanCallMs(SERVICE),
      });
      const {giveUpAtMs} = waiting;
      const need = {requestId: 'r', service: SERVICE, waiting};
      const slot = await slots.acquire(need, tried, createCancellation());
      if (slot.kind !== 'slot') {
        const afterMs =
          slot.kind === 'refused' ? (slot.error.retryAfterMs ?? 0) : Infinity;
        const isRetry = earlier !== undefined;
        refuse({first, giveUpAtMs, callerLeavesAtMs, isRetry}, afterMs);
        return;
      }
      const {id} = slot.upstream;
      switch (await upstreams.work(id)) {
        case 'unreachable':
          slot.end('failed');
          registry.markUnreachable(id);
          tried.add(id);
          continue;
        case 'full':
          figures.rejected++;
          return slot.end('cancelled', {isFull: true});
        case 'broken':
          figures.broken++;
          return slot.end('failed');
        case 'reset':
          figures.broken++;
          return slot.end('failed', {wasReset: true});
        case 'ok':
          slot.end('ok');
          if (clock.nowMs() - first <= goalMs) figures.onTime++;
          else figures.late++;
          return;
      }
    }
  }

  sampleSlots();
  while (clock.nowMs() - startMs < PLAY_MS) {
    const part = Math.floor(((clock.nowMs() - startMs) * 3) / PLAY_MS);
    const perS = part === 1 ? options.burstPerS : options.basePerS;
    figures.calls++;
    const exponent = options.isUneven ? 2 : 1;
    const index = Math.floor(HOSTS * random.nextFloat() ** exponent);
    void call(hostIds[index]);
    await clock.advance((2 * random.nextFloat() * 1_000) / perS);
  }
  await clock.advance(3_000);
  return {...figures, maxConcurrency: upstreams.maxConcurrency()};
}
