/**
 * Decides when an engine of a service should change its role, or load a model
 * or adapter. Only decides: orders go through the coordination part, which
 * holds the lease, the fencing number and the weight store's rate.
 */

import type {EngineRole} from '../../ports/engine.js';

/** What is known of an engine when roles are planned. */
export interface PlannedEngine {
  readonly engineId: string;
  readonly role: EngineRole;
  readonly failureDomain: string;
  readonly models: readonly string[];
  readonly usedSlots: number;
  readonly isLeaving: boolean;
  /** An order to it has not ended yet. */
  readonly isChanging: boolean;
}

/** Load over some time, in engines of each role that it would fill. */
export interface RoleDemand {
  readonly prefillEngines: number;
  readonly decodeEngines: number;
}

export interface RolePlanOptions {
  /** Usage above which a pool is short. */
  readonly highUse: number;
  /** Usage that the giving pool may not exceed after the change. */
  readonly safeUse: number;
  /** How long a pool must be short before anything changes. */
  readonly shortForMs: number;
  /** Rest after a change, so that its effect is seen first. */
  readonly restMs: number;
  readonly minPrefill: number;
  readonly minDecode: number;
  /** Most engines that change in one step; the others serve meanwhile. */
  readonly mostAtOnce: number;
}

export const DEFAULT_ROLE_PLAN: RolePlanOptions = {
  highUse: 0.95,
  safeUse: 0.85,
  shortForMs: 60_000,
  restMs: 300_000,
  minPrefill: 1,
  minDecode: 1,
  mostAtOnce: 1,
};

/** Memory of the plan between two looks. */
export interface RolePlanState {
  readonly shortRole: EngineRole | undefined;
  readonly shortSinceMs: number;
  readonly restsUntilMs: number;
}

export const FIRST_ROLE_PLAN_STATE: RolePlanState = {
  shortRole: undefined,
  shortSinceMs: 0,
  restsUntilMs: 0,
};

export interface RoleChange {
  readonly engineId: string;
  readonly role: EngineRole;
}

export interface RolePlanStep {
  readonly state: RolePlanState;
  readonly changes: readonly RoleChange[];
}

interface Pools {
  readonly prefill: readonly PlannedEngine[];
  readonly decode: readonly PlannedEngine[];
}

function poolsOf(engines: readonly PlannedEngine[]): Pools {
  const usable = engines.filter(each => !each.isLeaving && !each.isChanging);
  return {
    prefill: usable.filter(each => each.role === 'prefill'),
    decode: usable.filter(each => each.role === 'decode'),
  };
}

/** The role that has too few engines while the other can spare one. */
function findShortRole(
  pools: Pools,
  demand: RoleDemand,
  options: RolePlanOptions,
): EngineRole | undefined {
  const prefillCount = pools.prefill.length;
  const decodeCount = pools.decode.length;
  const prefillUse = demand.prefillEngines / Math.max(1, prefillCount);
  const decodeUse = demand.decodeEngines / Math.max(1, decodeCount);
  const canGivePrefill =
    prefillCount > options.minPrefill &&
    demand.prefillEngines <= (prefillCount - 1) * options.safeUse;
  const canGiveDecode =
    decodeCount > options.minDecode &&
    demand.decodeEngines <= (decodeCount - 1) * options.safeUse;
  if (prefillUse > options.highUse && canGiveDecode) return 'prefill';
  if (decodeUse > options.highUse && canGivePrefill) return 'decode';
  return undefined;
}

/**
 * How many engines the short pool should get: so many that it is short no
 * more, as far as the other can spare them.
 */
function countChanges(
  pools: Pools,
  shortRole: EngineRole,
  demand: RoleDemand,
  options: RolePlanOptions,
): number {
  const isPrefill = shortRole === 'prefill';
  const [givers, takers] = isPrefill
    ? [pools.decode.length, pools.prefill.length]
    : [pools.prefill.length, pools.decode.length];
  const [giverNeed, takerNeed] = isPrefill
    ? [demand.decodeEngines, demand.prefillEngines]
    : [demand.prefillEngines, demand.decodeEngines];
  const fewest = isPrefill ? options.minDecode : options.minPrefill;
  const kept = Math.max(fewest, Math.ceil(giverNeed / options.safeUse));
  const spare = givers - kept;
  const missing = Math.ceil(takerNeed / options.safeUse) - takers;
  return Math.max(1, Math.min(spare, missing, options.mostAtOnce));
}

/** Engines that change, chosen one by one as if each had changed before. */
function pickGivers(
  givers: readonly PlannedEngine[],
  count: number,
): readonly PlannedEngine[] {
  const picked: PlannedEngine[] = [];
  let left = givers;
  while (picked.length < count) {
    const next = pickGiver(left);
    if (!next) break;
    picked.push(next);
    left = left.filter(each => each !== next);
  }
  return picked;
}

/** The engine that loses least: few answers, from the fullest domain. */
function pickGiver(
  givers: readonly PlannedEngine[],
): PlannedEngine | undefined {
  const countByDomain = new Map<string, number>();
  for (const engine of givers) {
    const count = countByDomain.get(engine.failureDomain) ?? 0;
    countByDomain.set(engine.failureDomain, count + 1);
  }
  return [...givers].sort(
    (a, b) =>
      countByDomain.get(b.failureDomain)! -
        countByDomain.get(a.failureDomain)! ||
      a.usedSlots - b.usedSlots ||
      (a.engineId < b.engineId ? -1 : 1),
  )[0];
}

/**
 * One look at a service. A change is proposed only after the same pool has
 * been short for the whole time, the other can spare an engine without
 * becoming short itself, and the last change is long enough ago: without
 * these, two pools near their limits would swap engines for ever, and each
 * swap costs a drain and a load from the weight store.
 */
export function planRoles(
  state: RolePlanState,
  engines: readonly PlannedEngine[],
  demand: RoleDemand,
  nowMs: number,
  options: RolePlanOptions = DEFAULT_ROLE_PLAN,
): RolePlanStep {
  const pools = poolsOf(engines);
  const shortRole = findShortRole(pools, demand, options);
  const isChanging = engines.some(each => each.isChanging);
  if (shortRole === undefined || isChanging || nowMs < state.restsUntilMs) {
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
  if (nowMs - state.shortSinceMs < options.shortForMs) {
    return {state, changes: []};
  }
  const givers = shortRole === 'prefill' ? pools.decode : pools.prefill;
  const count = countChanges(pools, shortRole, demand, options);
  const picked = pickGivers(givers, count);
  if (picked.length === 0) return {state, changes: []};
  return {
    state: {
      shortRole: undefined,
      shortSinceMs: nowMs,
      restsUntilMs: nowMs + options.restMs,
    },
    changes: picked.map(({engineId}) => ({engineId, role: shortRole})),
  };
}

/** How much each model or adapter is asked for, in engines it would fill. */
export type ModelDemand = ReadonlyMap<string, number>;

export interface ModelLoad {
  readonly engineId: string;
  readonly model: string;
}

/** Fewest engines of each model that is asked for at all. */
const MIN_ENGINES_PER_MODEL = 2;

/**
 * The next loads so that every model asked for has enough engines, at most
 * `mostLoads` at once since the weight store is rate-limited.
 */
export function planModelLoads(
  engines: readonly PlannedEngine[],
  demand: ModelDemand,
  mostLoads: number,
): readonly ModelLoad[] {
  const loads: ModelLoad[] = [];
  const usable = engines.filter(each => !each.isLeaving && !each.isChanging);
  const taken = new Set<string>();
  const changing = engines.filter(each => each.isChanging).length;
  const allowed = Math.max(0, mostLoads - changing);
  const byNeed = [...demand].sort((a, b) => b[1] - a[1]);
  for (const [model, filled] of byNeed) {
    if (filled <= 0) continue;
    const wanted = Math.max(MIN_ENGINES_PER_MODEL, Math.ceil(filled));
    const holders = usable.filter(each => each.models.includes(model)).length;
    const candidates = usable
      .filter(each => !each.models.includes(model) && !taken.has(each.engineId))
      .sort(
        (a, b) =>
          a.models.length - b.models.length || a.usedSlots - b.usedSlots,
      );
    for (const engine of candidates.slice(0, Math.max(0, wanted - holders))) {
      if (loads.length >= allowed) return loads;
      taken.add(engine.engineId);
      loads.push({engineId: engine.engineId, model});
    }
  }
  return loads;
}
