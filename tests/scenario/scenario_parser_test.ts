import assert from 'node:assert/strict';
import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {test} from 'node:test';
import * as fc from 'fast-check';
import {formatDiagnostic} from '../../src/core/diagnostics.js';
import {parseScenario} from '../../src/scenario/scenario_parser.js';
import {runScenario} from '../../src/scenario/scenario_runner.js';
import {
  GUARD_KEYWORD,
  statementDefinitions,
} from '../../src/scenario/scenario_statements.js';
import {assertBaseline, sourceRoot} from '../support/baseline.js';

const cases = path.join(sourceRoot, 'tests', 'cases');
const FUZZ_SEED = 5;
const FUZZ_RUNS = 500;

function readCase(folder: string, file: string) {
  return {file, text: readFileSync(path.join(cases, folder, file), 'utf8')};
}

for (const file of readdirSync(path.join(cases, 'broken_scenarios'))) {
  test(`scenario file with mistakes: ${file}`, async () => {
    const source = readCase('broken_scenarios', file);
    const {isPassed, trace} = await runScenario(source, {hasTimes: true});
    assert.equal(isPassed, false);
    const name = path.basename(file, '.scenario');
    await assertBaseline(`broken_scenarios/${name}`, trace);
  });
}

test('no text crashes the parser; each diagnostic has a number and a position', () => {
  const {text} = readCase('scenarios', 'posting_twice.scenario');
  const words = text.split(/\s+/);
  const word = fc.oneof(
    fc.constantFrom(...words, '\n', '#', '"', '10%', '1.5s', '99', '__proto__'),
    fc.string({unit: 'binary', maxLength: 8}),
  );
  const arbitrary = fc
    .array(word, {maxLength: 60})
    .map(parts => parts.join(' '));
  fc.assert(
    fc.property(arbitrary, body => {
      const {diagnostics} = parseScenario(
        {file: 'x.scenario', text: body},
        statementDefinitions,
        GUARD_KEYWORD,
      );
      for (const line of diagnostics.map(formatDiagnostic)) {
        assert.match(line, /^x\.scenario\(\d+,\d+\): error CB4\d{3}: /);
      }
    }),
    {seed: FUZZ_SEED, numRuns: FUZZ_RUNS},
  );
});

test('a scenario gives the same trace every time', async () => {
  const source = readCase('scenarios', 'crossing_answers.scenario');
  const first = await runScenario(source, {hasTimes: true});
  const second = await runScenario(source, {hasTimes: true});
  assert.equal(first.trace, second.trace);
});
