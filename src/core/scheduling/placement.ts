/**
 * Selects the prefill engine, the decode engine and the transfer time of a
 * request, or determines which resource blocks it.
 */

import {takesNewWork, type PoolEngine} from './engine_pool.js';
import type {SchedulingPolicy} from './policy.js';

/** Estimated resource needs of a request. */
export interface Demand {
  readonly promptKvBytes: number;
  readonly decodeKvBytes: number;
  /** Prefill time without a cached prefix. */
  readonly prefillMs: number;
  readonly prefillMsOn: (engine: PoolEngine) => number;
}

export interface Placement {
  readonly kind: 'placed';
  readonly prefill: PoolEngine;
  readonly decode: PoolEngine;
  readonly prefillMs: number;
  readonly prefillEndMs: number;
  readonly transferStartMs: number;
  readonly transferMs: number;
  /** The slot or its memory is still in use but forecast to become free. */
  readonly isFromForecast: boolean;
}

export interface Blocked {
  readonly kind: 'blocked';
  readonly by: 'no-engine' | 'prefill' | 'decode' | 'link';
  /** The decode engine expected to have room first. */
  readonly waitFor?: PoolEngine;
}

/** Score penalty in ms of a full engine compared with an empty one. */
const OCCUPANCY_WEIGHT_MS = 60;
const CROSS_DOMAIN_MS = 3;

function choosePrefill(
  engines: readonly PoolEngine[],
  demand: Demand,
  policy: SchedulingPolicy,
  nowMs: number,
): {engine: PoolEngine; prefillMs: number; endMs: number} | Blocked {
  let best: PoolEngine | undefined;
  let bestMs = 0;
  let bestEndMs = Number.POSITIVE_INFINITY;
  let slowestMs = 0;
  let hasEngine = false;
  for (const engine of engines) {
    if (!takesNewWork(engine)) continue;
    hasEngine = true;
    const prefillMs = demand.prefillMsOn(engine);
    slowestMs = Math.max(slowestMs, prefillMs);
    if (engine.reservations.freeSlots() < 1) continue;
    if (engine.reservations.freeKvBytes() < demand.promptKvBytes) continue;
    const endMs = engine.backlog.freeAtMs(nowMs) + prefillMs / engine.share;
    if (endMs >= bestEndMs) continue;
    best = engine;
    bestMs = prefillMs;
    bestEndMs = endMs;
  }
  if (!best) return {kind: 'blocked', by: hasEngine ? 'prefill' : 'no-engine'};
  // Waiting for an engine with a cached prefix is limited to the time that the
  // cache saves, so that no engine is overloaded.
  const allowedMs = policy.prefillAheadMs + (slowestMs - bestMs);
  const backlogMs = best.backlog.freeAtMs(nowMs) - nowMs;
  if (backlogMs > allowedMs) return {kind: 'blocked', by: 'prefill'};
  return {engine: best, prefillMs: bestMs, endMs: bestEndMs};
}

/** Returns the probability that a Poisson variable is at least `atLeast`. */
export function poissonAtLeast(mean: number, atLeast: number): number {
  let term = Math.exp(-mean);
  let below = 0;
  for (let k = 0; k < atLeast; k++) {
    below += term;
    term *= mean / (k + 1);
  }
  return 1 - below;
}

type Room = 'free' | 'forecast' | 'none';

function getRoom(
  engine: PoolEngine,
  demand: Demand,
  policy: SchedulingPolicy,
  horizonMs: number,
): Room {
  const {reservations, description} = engine;
  const unavailableSlots = description.slots - engine.slotLimit;
  const freeSlots = reservations.freeSlots() - unavailableSlots;
  const freeKvBytes = reservations.freeKvBytes();
  if (freeSlots >= 1 && freeKvBytes >= demand.decodeKvBytes) return 'free';
  if (!policy.grantFromForecast || engine.share < 1) return 'none';
  const used = reservations.usedSlots();
  if (used === 0) return 'none';
  const missingSlots = 1 - freeSlots;
  const meanKvBytes = reservations.usedKvBytes() / used;
  const missingKv = (demand.decodeKvBytes - freeKvBytes) / meanKvBytes;
  const needed = Math.max(missingSlots, Math.ceil(missingKv));
  const chance = poissonAtLeast(engine.completionsPerMs * horizonMs, needed);
  return chance >= policy.forecastConfidence ? 'forecast' : 'none';
}

/** Returns the blocking reason early if no decode engine has room. */
function findDecodeBlock(
  engines: readonly PoolEngine[],
  demand: Demand,
  policy: SchedulingPolicy,
  excludedEngine: PoolEngine | undefined,
): Blocked | undefined {
  const horizonMs = demand.prefillMs + policy.slotWaitMs;
  let waitFor: PoolEngine | undefined;
  let mostFreeKvBytes = Number.NEGATIVE_INFINITY;
  let hasEngine = false;
  for (const engine of engines) {
    if (engine.isLeaving || engine.share <= 0) continue;
    hasEngine = true;
    if (engine === excludedEngine) continue;
    if (getRoom(engine, demand, policy, horizonMs) !== 'none') return undefined;
    const freeKvBytes = engine.reservations.freeKvBytes();
    if (freeKvBytes <= mostFreeKvBytes) continue;
    mostFreeKvBytes = freeKvBytes;
    waitFor = engine;
  }
  return hasEngine
    ? {kind: 'blocked', by: 'decode', waitFor}
    : {kind: 'blocked', by: 'no-engine'};
}

/** Finds the engine pair with the earliest first token, weighted by load. */
export function place(
  prefillEngines: readonly PoolEngine[],
  decodeEngines: readonly PoolEngine[],
  demand: Demand,
  policy: SchedulingPolicy,
  nowMs: number,
  excludedEngine?: PoolEngine,
): Placement | Blocked {
  const decodeBlock = findDecodeBlock(
    decodeEngines,
    demand,
    policy,
    excludedEngine,
  );
  if (decodeBlock) return decodeBlock;
  const prefill = choosePrefill(prefillEngines, demand, policy, nowMs);
  if ('kind' in prefill) return prefill;
  const source = prefill.engine;
  // The import may wait for room while the prefill result is kept.
  const horizonMs = prefill.endMs - nowMs + policy.slotWaitMs;
  let best: Placement | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  let isLinkBlocked = false;
  for (const engine of decodeEngines) {
    if (engine.isLeaving || engine.share <= 0) continue;
    if (engine === excludedEngine) continue;
    const room = getRoom(engine, demand, policy, horizonMs);
    if (room === 'none') continue;
    const rate = Math.min(
      source.description.linkBytesPerMs,
      engine.description.linkBytesPerMs,
    );
    const transferMs = demand.promptKvBytes / rate;
    const startMs = policy.scheduleLinks
      ? getEarliestCommonStartMs(source, engine, prefill.endMs, transferMs)
      : prefill.endMs;
    const linkWaitMs = startMs - prefill.endMs;
    if (linkWaitMs > policy.resultWaitMs) {
      isLinkBlocked = true;
      continue;
    }
    const {reservations, description} = engine;
    const occupancy = Math.max(
      reservations.usedSlots() / description.slots,
      reservations.usedKvBytes() / description.kvBytes,
    );
    const isCrossDomain =
      description.failureDomain !== source.description.failureDomain;
    const score =
      linkWaitMs +
      transferMs +
      OCCUPANCY_WEIGHT_MS * occupancy +
      (isCrossDomain ? CROSS_DOMAIN_MS : 0) +
      (room === 'forecast' ? OCCUPANCY_WEIGHT_MS : 0);
    if (score >= bestScore) continue;
    bestScore = score;
    best = {
      kind: 'placed',
      prefill: source,
      decode: engine,
      prefillMs: prefill.prefillMs,
      prefillEndMs: prefill.endMs,
      transferStartMs: startMs,
      transferMs,
      isFromForecast: room === 'forecast',
    };
  }
  if (best) return best;
  return {kind: 'blocked', by: isLinkBlocked ? 'link' : 'decode'};
}

const MAX_COMMON_START_ATTEMPTS = 4;

function getEarliestCommonStartMs(
  a: PoolEngine,
  b: PoolEngine,
  fromMs: number,
  durationMs: number,
): number {
  let startMs = fromMs;
  for (let i = 0; i < MAX_COMMON_START_ATTEMPTS; i++) {
    const atA = a.link.earliestStartMs(startMs, durationMs);
    const atB = b.link.earliestStartMs(atA, durationMs);
    if (atA === atB) return atA;
    startMs = atB;
  }
  return startMs;
}
