/**
 * Plans role changes of a service's engines and loads of models or adapters.
 * The orders are sent by the coordination code, which manages the lease, the
 * fencing token and the weight store's rate.
 */

import type {EngineRole} from '../../ports/engine.js';

/** State of an engine used for planning. */
export interface PlannedEngine {
  readonly engineId: string;
  readonly role: EngineRole;
  readonly failureDomain: string;
  readonly models: readonly string[];
  readonly usedSlots: number;
  readonly isLeaving: boolean;
  /** An order to the engine is still in progress. */
  readonly isChanging: boolean;
  /** Can't be reached, but is expected back: counts, and can't be ordered. */
  readonly isLost?: boolean;
  /**
   * Speed relative to the mean of the engines of its role; 1 if absent. An
   * engine counts for this many engines.
   */
  readonly speed?: number;
}

/** Recent load of each role, in number of fully used engines of mean speed. */
export interface RoleDemand {
  readonly prefillEngines: number;
  readonly decodeEngines: number;
}

export interface RolePlanOptions {
  /** Utilization above which a pool is short of engines. */
  readonly highUse: number;
  /** Maximum utilization of the donating pool after the change. */
  readonly safeUse: number;
  /** How long a pool must be short before a change. */
  readonly minShortageMs: number;
  /** Delay after a change until its effect is visible. */
  readonly restMs: number;
  readonly minPrefill: number;
  readonly minDecode: number;
  /** Maximum engines that change at once while the others serve requests. */
  readonly maxChangesAtOnce: number;
}

export const DEFAULT_ROLE_PLAN: RolePlanOptions = {
  highUse: 0.95,
  safeUse: 0.85,
  minShortageMs: 60_000,
  restMs: 300_000,
  minPrefill: 1,
  minDecode: 1,
  maxChangesAtOnce: 1,
};

/** State kept between two planning steps. */
export interface RolePlanState {
  readonly shortRole: EngineRole | undefined;
  readonly shortSinceMs: number;
  readonly cooldownUntilMs: number;
}

export const INITIAL_ROLE_PLAN_STATE: RolePlanState = {
  shortRole: undefined,
  shortSinceMs: 0,
  cooldownUntilMs: 0,
};

export interface RoleChange {
  readonly engineId: string;
  readonly role: EngineRole;
}

export interface RolePlanStep {
  readonly state: RolePlanState;
  readonly changes: readonly RoleChange[];
}

/** Covers rounding when speeds are added up. */
const SPARE_TOLERANCE = 1e-9;

interface Pools {
  readonly prefill: readonly PlannedEngine[];
  readonly decode: readonly PlannedEngine[];
}

function groupByRole(engines: readonly PlannedEngine[]): Pools {
  const usable = engines.filter(each => !each.isLeaving && !each.isChanging);
  return {
    prefill: usable.filter(each => each.role === 'prefill'),
    decode: usable.filter(each => each.role === 'decode'),
  };
}

function speedOf({speed = 1}: PlannedEngine): number {
  return speed;
}

/** Capacity of a pool in engines of mean speed. */
function capacityOf(pool: readonly PlannedEngine[]): number {
  return pool.reduce((sum, engine) => sum + speedOf(engine), 0);
}

const withoutLost = (pool: readonly PlannedEngine[]) =>
  pool.filter(({isLost}) => !isLost);

/** Returns whether a pool can do without its slowest engine. */
function canSpare(
  pool: readonly PlannedEngine[],
  demand: number,
  minEngines: number,
  {safeUse}: RolePlanOptions,
): boolean {
  const present = withoutLost(pool);
  const slowest = Math.min(...present.map(speedOf));
  return (
    present.length > minEngines &&
    demand <= (capacityOf(pool) - slowest) * safeUse
  );
}

/** Returns the role that is short while the other can spare an engine. */
function findShortRole(
  {prefill, decode}: Pools,
  demand: RoleDemand,
  options: RolePlanOptions,
): EngineRole | undefined {
  const {prefillEngines, decodeEngines} = demand;
  const {highUse, minPrefill, minDecode} = options;
  // A pool has some capacity even if all its engines are slow.
  const useOf = (pool: readonly PlannedEngine[], needed: number) =>
    needed / (pool.length === 0 ? 1 : capacityOf(pool));
  const canSparePrefill = canSpare(
    prefill,
    prefillEngines,
    minPrefill,
    options,
  );
  const canSpareDecode = canSpare(decode, decodeEngines, minDecode, options);
  if (useOf(prefill, prefillEngines) > highUse && canSpareDecode) {
    return 'prefill';
  }
  if (useOf(decode, decodeEngines) > highUse && canSparePrefill) {
    return 'decode';
  }
  return undefined;
}

/** A move of engines from one pool to the other. */
interface Move {
  readonly donors: readonly PlannedEngine[];
  readonly recipients: readonly PlannedEngine[];
  readonly donorDemand: number;
  readonly recipientDemand: number;
  readonly minDonors: number;
}

function toMove(
  {prefill, decode}: Pools,
  shortRole: EngineRole,
  {prefillEngines, decodeEngines}: RoleDemand,
  {minPrefill, minDecode}: RolePlanOptions,
): Move {
  return shortRole === 'prefill'
    ? {
        donors: decode,
        recipients: prefill,
        donorDemand: decodeEngines,
        recipientDemand: prefillEngines,
        minDonors: minDecode,
      }
    : {
        donors: prefill,
        recipients: decode,
        donorDemand: prefillEngines,
        recipientDemand: decodeEngines,
        minDonors: minPrefill,
      };
}

/**
 * Picks engines one by one, each time without those already picked: at least
 * one, and as many as end the shortage, as far as the donors can spare them.
 */
function pickDonors(
  {donors, recipients, donorDemand, recipientDemand, minDonors}: Move,
  {safeUse, maxChangesAtOnce}: RolePlanOptions,
): readonly PlannedEngine[] {
  const picked: PlannedEngine[] = [];
  let left = withoutLost(donors);
  let donorCapacity = capacityOf(donors);
  let missing = recipientDemand / safeUse - capacityOf(recipients);
  while (picked.length < maxChangesAtOnce && left.length > minDonors) {
    if (picked.length > 0 && missing <= 0) break;
    const next = pickDonor(
      left,
      donorCapacity - donorDemand / safeUse,
      missing,
    );
    if (!next) break;
    picked.push(next);
    left = left.filter(each => each !== next);
    donorCapacity -= speedOf(next);
    missing -= speedOf(next);
  }
  return picked;
}

/**
 * Picks an engine that the donors can spare: from the largest failure domain,
 * the one whose speed is closest to what is missing, then the one with the
 * fewest slots used.
 */
function pickDonor(
  donors: readonly PlannedEngine[],
  spare: number,
  missing: number,
): PlannedEngine | undefined {
  const countByDomain = new Map<string, number>();
  for (const engine of donors) {
    const count = countByDomain.get(engine.failureDomain) ?? 0;
    countByDomain.set(engine.failureDomain, count + 1);
  }
  const distance = (engine: PlannedEngine) =>
    Math.abs(speedOf(engine) - missing);
  return donors
    .filter(engine => speedOf(engine) <= spare + SPARE_TOLERANCE)
    .sort(
      (a, b) =>
        countByDomain.get(b.failureDomain)! -
          countByDomain.get(a.failureDomain)! ||
        distance(a) - distance(b) ||
        a.usedSlots - b.usedSlots ||
        (a.engineId < b.engineId ? -1 : 1),
    )[0];
}

/**
 * Runs one planning step of a service. A change is proposed only if the same
 * pool has been short for the whole period, the other pool can spare an engine
 * without becoming short, and the last change is long enough ago. Otherwise two
 * pools near their limits would keep swapping engines, and each swap costs a
 * drain and a load from the weight store.
 */
export function planRoles(
  state: RolePlanState,
  engines: readonly PlannedEngine[],
  demand: RoleDemand,
  nowMs: number,
  options: RolePlanOptions = DEFAULT_ROLE_PLAN,
): RolePlanStep {
  const pools = groupByRole(engines);
  const shortRole = findShortRole(pools, demand, options);
  const isChanging = engines.some(each => each.isChanging);
  if (shortRole === undefined || isChanging || nowMs < state.cooldownUntilMs) {
    return {
      state: {...state, shortRole: undefined, shortSinceMs: nowMs},
      changes: [],
    };
  }
  if (shortRole !== state.shortRole) {
    return {
      state: {...state, shortRole, shortSinceMs: nowMs},
      changes: [],
    };
  }
  if (nowMs - state.shortSinceMs < options.minShortageMs) {
    return {state, changes: []};
  }
  const move = toMove(pools, shortRole, demand, options);
  const picked = pickDonors(move, options);
  if (picked.length === 0) return {state, changes: []};
  return {
    state: {
      shortRole: undefined,
      shortSinceMs: nowMs,
      cooldownUntilMs: nowMs + options.restMs,
    },
    changes: picked.map(({engineId}) => ({engineId, role: shortRole})),
  };
}

/** Load of each model or adapter, in number of fully used engines. */
export type ModelDemand = ReadonlyMap<string, number>;

export interface ModelLoad {
  readonly engineId: string;
  readonly model: string;
}

/** Minimum engines for each model with any demand. */
const MIN_ENGINES_PER_MODEL = 2;

/**
 * Returns the next loads that give every model in demand enough engines, at
 * most `maxLoads` at once since the weight store is rate-limited.
 */
export function planModelLoads(
  engines: readonly PlannedEngine[],
  demand: ModelDemand,
  maxLoads: number,
): readonly ModelLoad[] {
  const loads: ModelLoad[] = [];
  const usable = engines.filter(each => !each.isLeaving && !each.isChanging);
  const selectedIds = new Set<string>();
  const changing = engines.filter(each => each.isChanging).length;
  const allowed = Math.max(0, maxLoads - changing);
  const byDemand = [...demand].sort((a, b) => b[1] - a[1]);
  for (const [model, demandedEngines] of byDemand) {
    if (demandedEngines <= 0) continue;
    const wanted = Math.max(MIN_ENGINES_PER_MODEL, Math.ceil(demandedEngines));
    const engineCount = usable.filter(each =>
      each.models.includes(model),
    ).length;
    const candidates = usable
      .filter(
        each => !each.models.includes(model) && !selectedIds.has(each.engineId),
      )
      .sort(
        (a, b) =>
          a.models.length - b.models.length || a.usedSlots - b.usedSlots,
      );
    for (const engine of candidates.slice(
      0,
      Math.max(0, wanted - engineCount),
    )) {
      if (loads.length >= allowed) return loads;
      selectedIds.add(engine.engineId);
      loads.push({engineId: engine.engineId, model});
    }
  }
  return loads;
}
