import path from 'node:path';
import {test} from 'node:test';
import {renderScenarioReference} from '../../src/scenario/scenario_reference.js';
import {assertSourceFile} from '../support/baseline.js';

test('the page of the scenario language is what its statements say', async () => {
  await assertSourceFile(
    path.join('docs', 'SCENARIOS.md'),
    renderScenarioReference(),
  );
});
