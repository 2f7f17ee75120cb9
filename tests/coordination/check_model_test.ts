import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createConfigurationModel} from '../../bench/check_model_configuration.js';
import {explore} from '../../bench/check_model_explorer.js';
import {createLeaseModel} from '../../bench/check_model_lease.js';

// `npm run check:model` explores deeper and covers every seeded defect.
const LEASE_BOUNDS = {
  ticks: 4,
  sends: 3,
  lateAnswers: 1,
  slowReads: 0,
  crashes: 1,
};
const CONFIGURATION_BOUNDS = {sends: 3, lateAnswers: 1, crashes: 1};

test('lease invariants hold in all interleavings up to depth 6', () => {
  const found = explore(createLeaseModel(LEASE_BOUNDS, true), 6);
  assert.equal(found.violation, undefined);
  assert.ok(found.states > 10_000);
});

test('the model checker detects a lease without fences', () => {
  const model = createLeaseModel(LEASE_BOUNDS, true, 'no-fence');
  assert.match(explore(model, 6).violation!.text, /wrote while/);
});

test('configuration outcomes are correct in all interleavings', () => {
  const found = explore(createConfigurationModel(CONFIGURATION_BOUNDS), 40);
  assert.equal(found.violation, undefined);
  assert.ok(found.isComplete);
});
