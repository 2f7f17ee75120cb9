import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createEngineLoads} from '../../../src/relay/placement/engine_loads.js';
import {
  pickDecode,
  pickPrefill,
} from '../../../src/relay/placement/placement_rules.js';
import {makeEngine, makeService} from './lone_scheduler.js';

const MAX_BACKLOG_TOKENS = 400 * 33;

function makeState(factors: Readonly<Record<string, number>>) {
  const loads = createEngineLoads();
  const speeds = {
    factorOf: (id: string) => factors[id] ?? 1,
    isSlowed: () => false,
    hasSlowed: () => false,
  };
  return {loads, speeds};
}

test('a prompt goes to the engine that completes it first', () => {
  // Guards against prompts that wait at a slow engine because it has fewer
  // tokens than a fast one.
  const state = makeState({p1: 0.5, p2: 1.5});
  const engines = ['p1', 'p2'].map(makeEngine);
  const need = {
    promptTokens: 3_000,
    decode: makeEngine('d1'),
    maxBacklogTokens: MAX_BACKLOG_TOKENS,
  };
  const pick = () => pickPrefill(engines, state, need)?.id;
  assert.equal(pick(), 'p2');
  state.loads.startPrefill('p2', 5_000);
  // 8,000 tokens at a speed of 1.5 take less time than 3,000 at 0.5.
  assert.equal(pick(), 'p2');
  state.loads.startPrefill('p2', 3_000);
  assert.equal(pick(), 'p1');
  // The bound is a time: 7,000 tokens at a speed of 0.5 take 424 ms.
  state.loads.startPrefill('p1', 7_000);
  assert.equal(pick(), 'p2');
  // 20,000 tokens at a speed of 1.5 take 404 ms.
  state.loads.startPrefill('p2', 12_000);
  assert.equal(pick(), undefined);
});

test('engines of any speed are filled alike, and never beyond their memory', () => {
  const service = makeService(10_000);
  const state = makeState({d1: 0.7, d2: 1.7});
  const engines = ['d1', 'd2'].map(makeEngine);
  const need = {promptTokens: 2_000, expectedOutputTokens: 500};
  const chosen = Array.from({length: 9}, () => {
    const engine = pickDecode(engines, state, service.engine!, need);
    if (engine) state.loads.startRun({engineId: engine.id, ...need});
    return engine?.id;
  });
  assert.equal(new Set(chosen.slice(0, 2)).size, 2);
  assert.equal(chosen.filter(id => id === 'd1').length, 4);
  assert.equal(chosen.filter(id => id === 'd2').length, 4);
  assert.equal(chosen[8], undefined);
});
