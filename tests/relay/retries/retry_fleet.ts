/**
 * Simulates many hosts that retry failed requests, in virtual time. Hosts send
 * their states to three coordinators each 600 ms; links take 2 ms and lose one
 * datagram in a hundred. Each host has its own list of the live hosts, so that
 * deaths, partitions and hosts that disagree can be played.
 */

import {createSeededRandom} from '../../../src/core/seeded_random.js';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import type {Service} from '../../../src/core/routing_types.js';
import {rankOwners} from '../../../src/relay/fleet/owners.js';
import {createRelayRetries} from '../../../src/relay/retries/relay_retries.js';
import type {RetryMessage} from '../../../src/relay/retries/retry_messages.js';
import type {RetryAllowance} from '../../../src/relay/retries/shared_retries.js';
import {createRetryBudget} from '../../../src/request/retry_budget.js';
import {silentLog} from '../../support/silent_log.js';

/** How retries are allowed: by the old even split, or by an owner. */
export type RetryWay = 'even-split' | 'shared';

export interface RetryFleetOptions {
  readonly seed: number;
  readonly way: RetryWay;
  readonly hostCount: number;
  readonly retrySlack: number;
  /** 10 s if absent. */
  readonly retryWindowMs?: number;
  readonly requestsPerS: number;
  /** Share of the requests that fail at the time since the start. */
  failShare(elapsedMs: number): number;
  /** Whether a datagram from one host to another passes. */
  isLinked?(from: number, to: number, elapsedMs: number): boolean;
  /** Whether a host counts another as alive. */
  isSeen?(by: number, other: number, elapsedMs: number): boolean;
  /** Whether the host still runs. */
  isAlive?(host: number, elapsedMs: number): boolean;
  /** Hosts of the earlier build. */
  isOlder?(host: number): boolean;
}

export interface RetryFigures {
  readonly requests: number;
  readonly allowed: number;
  readonly denied: number;
  /** Most retries in any window beyond slack and ratio; negative within. */
  readonly worstExcess: number;
  /** Bytes a second that the busiest host sends and receives more. */
  readonly busiestBytesPerS: number;
  /** Allowed retries by second. */
  readonly allowedBySecond: readonly number[];
  readonly longestAskMs: number;
}

const RATIO = 0.1;
const SERVICE = 'drafts';
/** The owner while all hosts are alive: the first three coordinate. */
export const OWNER = Number(
  rankOwners('retries', SERVICE, ['h0', 'h1', 'h2'])[0].slice(1),
);
const LINK_MS = 2;
/** The rest of a message's datagram. */
const MESSAGE_FRAME_BYTES = 40;
/** Another field of a state, which is compressed. */
const FIELD_BYTES = 15;
const LOSS_SHARE = 0.01;
const STATE_MS = 600;
const PLAY_MS = 60_000;
const WINDOW_MS = 10_000;
const MAX_RETRIES = 2;
/** One of this many hosts gets half of all requests. */
const BUSY_ONE_IN = 6;

export async function simulateRetries(
  options: RetryFleetOptions,
): Promise<RetryFigures> {
  const {seed, way, hostCount, retrySlack} = options;
  const {retryWindowMs = WINDOW_MS} = options;
  const clock = createVirtualClock(5_000);
  /** Draws for the requests, which are the same for each way. */
  const random = createSeededRandom(seed);
  const networkRandom = createSeededRandom(seed + 1_000);
  const startMs = clock.nowMs();
  const elapsedMs = () => clock.nowMs() - startMs;
  const indices = Array.from({length: hostCount}, (_, i) => i);
  const requestTimes: number[] = [];
  const retryTimes: number[] = [];
  const bytes = new Map<number, number>();
  let denied = 0;
  let longestAskMs = 0;

  const isAlive = (host: number) =>
    options.isAlive?.(host, elapsedMs()) ?? true;
  const isLinked = (from: number, to: number) =>
    isAlive(from) &&
    isAlive(to) &&
    (options.isLinked?.(from, to, elapsedMs()) ?? true);
  const seenBy = (host: number) =>
    indices.filter(
      other =>
        other === host || (options.isSeen?.(host, other, elapsedMs()) ?? true),
    );
  const coordinatorsOf = (host: number) => seenBy(host).slice(0, 3);

  /** Counts the bytes, and returns whether the datagram arrives. */
  function transmit(
    from: number,
    to: number,
    message: unknown,
    frameBytes: number,
  ): boolean {
    const size = JSON.stringify(message).length + frameBytes;
    for (const each of [from, to])
      bytes.set(each, (bytes.get(each) ?? 0) + size);
    return isLinked(from, to) && networkRandom.nextFloat() >= LOSS_SHARE;
  }

  const hosts = indices.map(makeHost);

  function makeHost(index: number) {
    const hostId = `h${index}`;
    const self = {hostId, incarnation: `${hostId}#1`};
    if (way === 'even-split' || options.isOlder?.(index)) {
      const allowance: RetryAllowance = createRetryBudget({
        burst: () => Math.max(1, retrySlack / Math.max(14, hostCount)),
        ratioOf: () => RATIO,
      });
      return {self, allowance, retries: undefined};
    }
    const retries = createRelayRetries({
      clock,
      limits: () => ({retryRatio: RATIO, retrySlack, retryWindowMs}),
      random: networkRandom,
      createLogger: () => silentLog,
      metrics: {count: () => undefined},
      self,
      hostCount: () => hostCount,
      routing: {service: () => ({}) as Service},
      peers: {
        isMesh: () => false,
        members: () => [],
        coordinatorIds: () => coordinatorsOf(index).map(id => `h${id}`),
        sendMessage(to, message: RetryMessage) {
          const target = Number(to.slice(1));
          if (!transmit(index, target, message, MESSAGE_FRAME_BYTES)) return;
          clock.setTimer(LINK_MS, () => {
            if (isAlive(target))
              hosts[target].retries?.receive(hostId, message);
          });
        },
      },
    });
    return {self, allowance: retries.allowance, retries};
  }

  function announce(index: number): void {
    const {self, retries} = hosts[index];
    clock.setTimer(STATE_MS, () => announce(index));
    const unusedRetries = retries?.report();
    for (const to of coordinatorsOf(index)) {
      if (to === index || !unusedRetries) continue;
      // Only the field counts, as the state is sent anyway.
      if (!transmit(index, to, unusedRetries, FIELD_BYTES)) continue;
      clock.setTimer(LINK_MS, () =>
        hosts[to].retries?.applyPeerState({...self, unusedRetries}),
      );
    }
  }

  async function request(index: number): Promise<void> {
    const {allowance} = hosts[index];
    requestTimes.push(clock.nowMs());
    allowance.requestStarted(SERVICE);
    const draws = Array.from({length: MAX_RETRIES}, random.nextFloat);
    for (const draw of draws) {
      if (draw >= options.failShare(elapsedMs())) return;
      const askedAtMs = clock.nowMs();
      const isAllowed = await allowance.tryTake(SERVICE);
      longestAskMs = Math.max(longestAskMs, clock.nowMs() - askedAtMs);
      if (!isAllowed) {
        denied++;
        return;
      }
      retryTimes.push(clock.nowMs());
    }
  }

  function pickHost(): number {
    const isBusy = random.nextFloat() < 0.5;
    const index = random.nextInt(hostCount);
    return isBusy ? index - (index % BUSY_ONE_IN) : index;
  }

  for (const index of indices) {
    clock.setTimer(networkRandom.nextInt(STATE_MS), () => announce(index));
  }
  while (elapsedMs() < PLAY_MS) {
    const index = pickHost();
    if (isAlive(index)) void request(index);
    const gapMs = (2 * random.nextFloat() * 1_000) / options.requestsPerS;
    await clock.advance(gapMs);
  }
  await clock.advance(200);

  const countIn = (times: readonly number[], fromMs: number) =>
    times.filter(each => each >= fromMs && each <= fromMs + retryWindowMs)
      .length;
  const excessFrom = (fromMs: number) =>
    countIn(retryTimes, fromMs) -
    (retrySlack + RATIO * countIn(requestTimes, fromMs));
  const starts = retryTimes.flatMap(each => [each, each - retryWindowMs]);
  return {
    requests: requestTimes.length,
    allowed: retryTimes.length,
    denied,
    worstExcess: Math.round(Math.max(...starts.map(excessFrom))),
    busiestBytesPerS: Math.round(
      (Math.max(0, ...bytes.values()) * 1_000) / PLAY_MS,
    ),
    allowedBySecond: Array.from(
      {length: PLAY_MS / 1_000},
      (_, s) =>
        retryTimes.filter(each => Math.floor((each - startMs) / 1_000) === s)
          .length,
    ),
    longestAskMs,
  };
}
