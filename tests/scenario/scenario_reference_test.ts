import path from 'node:path';
import {test} from 'node:test';
import {renderScenarioReference} from '../../src/scenario/scenario_reference.js';
import {assertSourceFile} from '../support/baseline.js';

test('the reference of the scenario language is up to date', async () => {
  await assertSourceFile(
    path.join('docs', 'SCENARIOS.md'),
    renderScenarioReference(),
  );
});
