/**
 * Simulates calls of many hosts to a few upstreams of a plain service in
 * virtual time. Datagrams take 1 ms; an upstream with a long queue works at
 * half speed and rejects calls.
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
import {silentLog} from '../../support/silent_log.js';
import {revisionAt} from '../../support/store_revisions.js';

export interface SlotLoadOptions {
  readonly seed: number;
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
  /** Share of the seconds in which calls at an upstream take 2.5 times as long. */
  readonly slowShare?: number;
}

export interface SlotLoadFigures {
  readonly calls: number;
  readonly onTime: number;
  readonly late: number;
  readonly refused: number;
  readonly rejected: number;
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
const SLOTS = 6;
const QUEUE = 24;
const WORK_MS = 43;
const SLOW_FACTOR = 2.5;
const GOAL_MS = 195;
const DEADLINE_MS = 1_000;
const PLAY_MS = 12_000;
const HOP_MS = 1;
const SERVICE = 'storas-app';

interface UpstreamModel {
  running: number;
  readonly queue: Array<() => void>;
}

export async function simulateSlotLoad(
  options: SlotLoadOptions,
): Promise<SlotLoadFigures> {
  const clock = createVirtualClock(1_000);
  const random = createSeededRandom(options.seed);
  const models = new Map<string, UpstreamModel>();
  const ids = Array.from({length: UPSTREAMS}, (_, i) => `u${i}`);
  for (const id of ids) models.set(id, {running: 0, queue: []});
  const figures = {
    calls: 0,
    onTime: 0,
    late: 0,
    refused: 0,
    rejected: 0,
    maxConcurrency: 0,
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
    registry.apply({
      revision: revisionAt(1),
      upstreams: ids.map((id, i) => ({
        id,
        name: id,
        service: SERVICE,
        address: `10.0.0.${i}:80`,
        failureDomain: `d${i}`,
        slots: SLOTS,
        isDraining: false,
        heartbeat: revisionAt(1),
      })),
    });
    balancer.setUpstreams(
      SERVICE,
      registry.open(SERVICE).map(({id, address, failureDomain}) => ({
        upstreamId: id,
        address,
        failureDomain,
      })),
    );
    return createPlainPlacement({
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
  }

  const slowRandom = createSeededRandom(options.seed + 1_000);
  const slowSeconds = new Map<string, boolean>();
  function slowFactor(id: string): number {
    const key = `${id} ${Math.floor(clock.nowMs() / 1_000)}`;
    const isSlow =
      slowSeconds.get(key) ?? slowRandom.nextFloat() < (options.slowShare ?? 0);
    slowSeconds.set(key, isSlow);
    return isSlow ? SLOW_FACTOR : 1;
  }

  /** Undefined when the upstream rejects the call. */
  function work(id: string): Promise<void> | undefined {
    const model = models.get(id)!;
    const {queue} = model;
    if (queue.length >= QUEUE) return undefined;
    return new Promise(resolve => {
      const run = () => {
        model.running++;
        const factor = queue.length > QUEUE / 4 ? 2 : 1;
        const workMs =
          WORK_MS * slowFactor(id) * factor * (0.5 + random.nextFloat());
        clock.setTimer(workMs, () => {
          model.running--;
          resolve();
          queue.shift()?.();
        });
      };
      if (model.running < SLOTS) run();
      else queue.push(run);
      const atOnce = model.running + queue.length;
      figures.maxConcurrency = Math.max(figures.maxConcurrency, atOnce);
    });
  }

  async function call(
    hostId: string,
    deadlineAtMs = clock.nowMs() + DEADLINE_MS,
    arrivedAtMs = clock.nowMs(),
    isRetry = false,
  ): Promise<void> {
    const {slots} = hosts.get(hostId)!;
    const waiting = toCallWaiting({
      arrivedAtMs,
      goalMs: GOAL_MS,
      deadlineAtMs,
      meanCallMs: slots.meanCallMs(SERVICE),
    });
    const need = {requestId: 'r', service: SERVICE, waiting};
    const slot = await slots.acquire(need, new Set(), createCancellation());
    if (slot.kind !== 'slot') {
      const leftMs = deadlineAtMs - clock.nowMs();
      const afterMs =
        slot.kind === 'refused' ? (slot.error.retryAfterMs ?? 0) : Infinity;
      if (options.callersRetry && !isRetry && afterMs <= leftMs / 3) {
        const otherId = hostIds[random.nextInt(HOSTS)];
        const retry = () => void call(otherId, deadlineAtMs, arrivedAtMs, true);
        clock.setTimer(afterMs, retry);
        return;
      }
      figures.refused++;
      return;
    }
    const running = work(slot.upstream.id);
    if (!running) {
      figures.rejected++;
      slot.end('cancelled', {isFull: true});
      return;
    }
    await running;
    slot.end('ok');
    if (clock.nowMs() - arrivedAtMs <= GOAL_MS) figures.onTime++;
    else figures.late++;
  }

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
  return figures;
}
