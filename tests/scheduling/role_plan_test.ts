import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  INITIAL_ROLE_PLAN_STATE,
  planModelLoads,
  planRoles,
  type PlannedEngine,
  type RoleChange,
  type RoleDemand,
} from '../../src/core/scheduling/role_plan.js';

function createEngines(prefill: number, decode: number): PlannedEngine[] {
  return Array.from({length: prefill + decode}, (_, i) => ({
    engineId: `e${i}`,
    role: i < prefill ? ('prefill' as const) : ('decode' as const),
    failureDomain: `domain-${i % 4}`,
    models: ['base'],
    usedSlots: i,
    isLeaving: false,
    isChanging: false,
  }));
}

/** Plans each second for `seconds` and applies each change at once. */
function simulate(
  start: readonly PlannedEngine[],
  demandAt: (second: number) => RoleDemand,
  seconds: number,
): RoleChange[] {
  let pool = [...start];
  let state = INITIAL_ROLE_PLAN_STATE;
  const changes: RoleChange[] = [];
  for (let second = 0; second < seconds; second++) {
    const step = planRoles(state, pool, demandAt(second), second * 1_000);
    state = step.state;
    for (const change of step.changes) {
      changes.push(change);
      pool = pool.map(each =>
        each.engineId === change.engineId ? {...each, role: change.role} : each,
      );
    }
  }
  return changes;
}

test('a pool that stays short gets one engine of the other pool', () => {
  const changes = simulate(
    createEngines(2, 11),
    () => ({prefillEngines: 2.1, decodeEngines: 7}),
    200,
  );
  assert.equal(changes.length, 1);
  assert.equal(changes[0].role, 'prefill');
});

test('slow engines count for less than one when roles change', () => {
  // Guards against a shortage that lasts because slow engines were counted as
  // whole ones, and against one of decode because it lost its fastest engines.
  const plan = (speedOf: (index: number) => number) => {
    const engines = createEngines(2, 12).map((engine, i) => ({
      ...engine,
      failureDomain: 'a',
      speed: i < 2 ? 1 : speedOf(i),
    }));
    const {changes} = planRoles(
      {shortRole: 'prefill', shortSinceMs: 0, cooldownUntilMs: 0},
      engines,
      {prefillEngines: 4, decodeEngines: 8.4},
      1_000,
      {
        ...{highUse: 1.08, safeUse: 1, minShortageMs: 0, restMs: 0},
        ...{minPrefill: 1, minDecode: 1, maxChangesAtOnce: 8},
      },
    );
    return changes.map(({engineId}) => engineId);
  };
  // Two engines are missing, and decode can spare 3.6.
  assert.equal(plan(() => 1).length, 2);
  // One of speed 1.5 and one of 0.5 make two of mean speed.
  const uneven = plan(i => (i < 8 ? 0.5 : 1.5));
  assert.deepEqual(uneven, ['e8', 'e2']);
  // One of speed 2 is enough.
  assert.deepEqual(
    plan(i => (i < 10 ? 0.5 : 2)),
    ['e10'],
  );
  // An engine of speed 3.75 is more than can be spared, so five of speed 0.45
  // are needed.
  const slow = plan(i => (i < 12 ? 0.45 : 3.75));
  assert.deepEqual(slow, ['e2', 'e3', 'e4', 'e5', 'e6']);
});

test('a demand that alternates every 30 s changes no role', () => {
  // If roles followed an alternation of long prompts and long answers, engines
  // would drain and load weights all the time and serve no requests meanwhile.
  const changes = simulate(
    createEngines(3, 10),
    second =>
      Math.floor(second / 30) % 2 === 0
        ? {prefillEngines: 3.2, decodeEngines: 7}
        : {prefillEngines: 1, decodeEngines: 10.5},
    3_600,
  );
  assert.deepEqual(changes, []);
});

test('no engine is taken from a pool that would then be too small', () => {
  const changes = simulate(
    createEngines(2, 11),
    () => ({prefillEngines: 2.1, decodeEngines: 10.2}),
    3_600,
  );
  assert.deepEqual(changes, []);
});

test('model loads stay within the limit of concurrent loads', () => {
  const demand = new Map([
    ['base', 4],
    ['aruanne-v2', 3],
    ['unused', 0],
  ]);
  const loads = planModelLoads(createEngines(2, 4), demand, 2);
  assert.equal(loads.length, 2);
  assert.ok(loads.every(load => load.model === 'aruanne-v2'));
});
