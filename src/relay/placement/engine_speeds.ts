/**
 * The relative speed of each engine, measured by all hosts together.
 *
 * Each host measures the engines that it uses (`speed_samples.ts`) and announces
 * a few factors; hosts that place streams combine them (`speed_pool.ts`). A
 * factor of 1 is the mean of the listed engines of the same service and role.
 * The id of an engine changes with each start, so a restarted engine begins
 * at 1.
 */

import type {Upstream} from '../../core/upstream.js';
import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import {
  MAX_SPEED_RECORDS,
  readSpeedRecords,
  type SpeedRecord,
} from './speed_records.js';
import {createSpeedPool} from './speed_pool.js';
import {createSpeedSamples, type OwnSpeed} from './speed_samples.js';

/** The factors that a choice of engines needs. */
export interface SpeedFactors {
  /** 1 is the mean of the engines of the same service and role. */
  factorOf(engineId: string): number;
  /** The engine has slowed down so much that it is used last. */
  isSlowed(engineId: string): boolean;
  hasSlowed(): boolean;
}

/** Events of a run over a short time. */
export interface RunPace {
  readonly engine: Upstream;
  /** Runs on the engine. */
  readonly runs: number;
  readonly msPerToken: number;
  readonly durationMs: number;
}

export interface EngineSpeeds extends SpeedFactors {
  /** Records a prompt that was alone at its prefill engine. */
  recordPrompt(engine: Upstream, tokensPerMs: number): void;
  recordEvents(pace: RunPace): void;
  /** The records to announce now; empty most of the time. */
  takeRecords(): readonly SpeedRecord[];
  /** Applies what a peer announced; anything invalid is ignored. */
  applyPeer(hostId: string, records: unknown): void;
  removePeer(hostId: string): void;
  /** Number of ignored records of peers. */
  rejectedCount(): number;
  /** Number of engines whose factor is not 1. */
  unevenCount(): number;
}

export interface EngineSpeedsHost {
  readonly clock: Clock;
  /** Mean prefill speed over all hosts. */
  tokensPerMs(): number;
  /** Listed engines of all model services. */
  engines(): readonly Upstream[];
  /** Number of live hosts, this one included. */
  hostCount(): number;
  readonly log?: Logger;
}

/** The factors of a host without measurements. */
export const EVEN_SPEEDS: SpeedFactors = {
  factorOf: () => 1,
  isSlowed: () => false,
  hasSlowed: () => false,
};

/**
 * If all factors of a service and role are this close to 1, all count as 1. The
 * measurements of equal engines differ by less.
 */
const EVEN_MARGIN = 0.15;
/**
 * An engine slower than this share of the mean of the others is used only while
 * no other has room. One that slows down to a third is below it also if the
 * measurement is off by a quarter; of speeds of 0.7 and 1.7, the lower is above
 * it unless nearly all engines have the higher.
 */
const SLOWED_SHARE = 0.45;
/** Factors are computed at most this often, and looked up for each choice. */
const REFRESH_MS = 200;
/**
 * Records that all hosts together announce per second. A record takes 18 to 34
 * bytes, so a host that receives the announcements of all gets at most 1.7 KB
 * per second more.
 */
const RECORDS_PER_S = 50;
/** Records are selected at most this often. */
const SELECT_MS = 200;
/**
 * Receivers count the age of a record from its receipt, so older measurements
 * are not announced.
 */
const FRESH_MS = 1_000;
/** A change of a factor by this much is as urgent as a second of age. */
const URGENT_CHANGE = 0.1;
/** Name of this host in the pool; never a host id. */
const SELF = '';

interface Factors {
  readonly byEngine: ReadonlyMap<string, number>;
  readonly slowedIds: ReadonlySet<string>;
  readonly computedAtMs: number;
}

interface Announced {
  readonly factor: number;
  readonly atMs: number;
}

/** Engine ids and factors of a pool, with a mean of 1; empty if all are even. */
type RelativeFactors = ReadonlyArray<readonly [string, number]>;

/** Engines that are much slower than the others of their pool. */
function findSlowed(pool: RelativeFactors): readonly string[] {
  const others = Math.max(1, pool.length - 1);
  return pool
    .filter(([, factor]) => {
      const meanOfOthers = (pool.length - factor) / others;
      return factor < SLOWED_SHARE * meanOfOthers;
    })
    .map(([id]) => id);
}

const poolOf = ({service, role}: Upstream) => `${service}|${role ?? ''}`;

const round = (value: number) => Math.round(value * 100) / 100;

export function createEngineSpeeds(host: EngineSpeedsHost): EngineSpeeds {
  const {clock} = host;
  const samples = createSpeedSamples({
    clock,
    tokensPerMs: host.tokensPerMs,
    poolSize: pool =>
      host.engines().filter(engine => poolOf(engine) === pool).length,
  });
  const pool = createSpeedPool(host);
  const announced = new Map<string, Announced>();
  let factors: Factors | undefined;
  let allowance = 0;
  let allowanceAtMs = clock.nowMs();
  let nextSelectAtMs = 0;
  let rejectedCount = 0;

  function isListed(engineId: string): boolean {
    return host.engines().some(({id}) => id === engineId);
  }

  function applyOwn(): void {
    for (const {engineId, ...report} of samples.speeds()) {
      pool.set(SELF, engineId, report);
    }
  }

  /** Factors of the engines of a pool relative to their mean. */
  function relativeFactors(engineIds: readonly string[]): RelativeFactors {
    const known = [...pool.factors(engineIds)];
    const sum = known.reduce((total, [, factor]) => total + factor, 0);
    const relative = known.map(
      ([id, factor]) => [id, round((factor * known.length) / sum)] as const,
    );
    const isEven = relative.every(
      ([, factor]) => Math.abs(factor - 1) <= EVEN_MARGIN,
    );
    return isEven ? [] : relative;
  }

  function compute(): Factors {
    applyOwn();
    const idsByPool = new Map<string, string[]>();
    for (const engine of host.engines()) {
      const ids = idsByPool.get(poolOf(engine)) ?? [];
      ids.push(engine.id);
      idsByPool.set(poolOf(engine), ids);
    }
    const listedIds = new Set([...idsByPool.values()].flat());
    pool.retain(id => listedIds.has(id));
    for (const id of announced.keys()) {
      if (!listedIds.has(id)) announced.delete(id);
    }
    const relative = [...idsByPool.values()].map(relativeFactors);
    return {
      byEngine: new Map(relative.flat()),
      slowedIds: new Set(relative.flatMap(findSlowed).filter(pool.hasMajority)),
      computedAtMs: clock.nowMs(),
    };
  }

  function logChanges(before: Factors, after: Factors): void {
    const ids = new Set([...before.slowedIds, ...after.slowedIds]);
    for (const id of ids) {
      const isSlowed = after.slowedIds.has(id);
      if (isSlowed === before.slowedIds.has(id)) continue;
      const text = isSlowed ? 'Engine is slow.' : 'Engine is no longer slow.';
      host.log?.info(text, {
        upstream: id,
        speed: after.byEngine.get(id) ?? 1,
        reportingHosts: pool.reportCount(id),
        loadExponent: round(samples.loadExponent()),
      });
    }
  }

  function current(): Factors {
    const before = factors;
    const ageMs = clock.nowMs() - (before?.computedAtMs ?? 0);
    if (before && ageMs < REFRESH_MS) return before;
    factors = compute();
    if (before) logChanges(before, factors);
    return factors;
  }

  /** How much peers need to hear of the engine; 0 if nothing is new. */
  function urgency({engineId, factor, measuredAtMs}: OwnSpeed): number {
    if (clock.nowMs() - measuredAtMs > FRESH_MS) return 0;
    const last = announced.get(engineId);
    if (!last) return Number.POSITIVE_INFINITY;
    if (measuredAtMs <= last.atMs) return 0;
    const change = Math.abs(Math.log(factor / last.factor));
    return change / URGENT_CHANGE + (clock.nowMs() - last.atMs) / 1_000;
  }

  function addAllowance(): void {
    const nowMs = clock.nowMs();
    const perMs = RECORDS_PER_S / 1_000 / Math.max(1, host.hostCount());
    const added = (nowMs - allowanceAtMs) * perMs;
    allowance = Math.min(MAX_SPEED_RECORDS, allowance + added);
    allowanceAtMs = nowMs;
  }

  return {
    recordPrompt: (engine, tokensPerMs) =>
      samples.recordPrompt({
        engineId: engine.id,
        pool: poolOf(engine),
        tokensPerMs,
      }),
    recordEvents({engine, runs, msPerToken, durationMs}) {
      samples.recordEvents({
        engineId: engine.id,
        pool: poolOf(engine),
        runs,
        msPerToken,
        durationMs,
      });
    },
    takeRecords() {
      addAllowance();
      const nowMs = clock.nowMs();
      if (allowance < 1 || nowMs < nextSelectAtMs) return [];
      nextSelectAtMs = nowMs + SELECT_MS;
      const chosen = samples
        .speeds()
        .map(speed => ({speed, urgency: urgency(speed)}))
        .filter(each => each.urgency > 0 && isListed(each.speed.engineId))
        .sort((a, b) => b.urgency - a.urgency)
        .slice(0, Math.floor(allowance))
        .map(({speed}) => speed);
      allowance -= chosen.length;
      return chosen.map(({engineId, weight, factor}): SpeedRecord => {
        announced.set(engineId, {factor, atMs: nowMs});
        return [engineId, Math.max(0.01, round(weight)), round(factor)];
      });
    },
    applyPeer(hostId, value) {
      const {records, rejectedCount: count} = readSpeedRecords(value, isListed);
      rejectedCount += count;
      const measuredAtMs = clock.nowMs();
      for (const [engineId, weight, factor] of records) {
        pool.set(hostId, engineId, {weight, factor, measuredAtMs});
      }
      // Drops reports on engines that have left, also at a host that places
      // nothing.
      if (records.length > 0) current();
    },
    removePeer: pool.removeHost,
    factorOf: engineId => current().byEngine.get(engineId) ?? 1,
    isSlowed: engineId => current().slowedIds.has(engineId),
    hasSlowed: () => current().slowedIds.size > 0,
    rejectedCount: () => rejectedCount,
    unevenCount: () => current().byEngine.size,
  };
}
