/**
 * `npm run guards`: mutation test of the scenarios. Each scenario must have a
 * line `guard FILE "text" "replacement"`. Replaces the text in a compiled copy
 * of the program and runs the scenario, which must then fail. Arguments select
 * scenarios by part of their file name.
 */

import {spawn} from 'node:child_process';
import {
  cpSync,
  mkdirSync,
  readdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import path from 'node:path';
import {ensureCompiled, root} from './toolchain.mjs';

const WORKER_COUNT = 2;
const SCENARIO_TIMEOUT_MS = 120_000;
const GUARD_PATTERN = /^guard (\S+) "([^"]+)" "([^"]*)"$/m;

const scenarioFolder = path.join(root, 'tests', 'cases', 'scenarios');
const workFolder = path.join(root, 'build', 'guards');

function readGuards(nameParts) {
  return readdirSync(scenarioFolder)
    .filter(name => name.endsWith('.scenario'))
    .filter(
      name =>
        nameParts.length === 0 || nameParts.some(part => name.includes(part)),
    )
    .map(name => {
      const file = path.join(scenarioFolder, name);
      const match = GUARD_PATTERN.exec(readFileSync(file, 'utf8'));
      if (!match) return {name, file};
      const [, source, text, replacement] = match;
      return {name, file, source, text, replacement};
    });
}

/**
 * Replaces the guard in its source file and transpiles the result. Returns
 * `problem` if the guard text does not occur exactly once.
 */
function mutate(guard, ts) {
  const code = readFileSync(path.join(root, guard.source), 'utf8');
  const matchCount = code.split(guard.text).length - 1;
  if (matchCount !== 1)
    return {problem: `guard text found ${matchCount} times`};
  const changed = code.replace(guard.text, () => guard.replacement);
  const {outputText} = ts.transpileModule(changed, {
    compilerOptions: {
      target: ts.ScriptTarget.ES2022,
      module: ts.ModuleKind.ESNext,
    },
  });
  return {outputText};
}

function runScenario(copyFolder, file) {
  return new Promise(resolve => {
    const main = path.join(copyFolder, 'src', 'cli', 'main.js');
    const child = spawn(process.execPath, [main, 'scenario', 'run', file], {
      stdio: 'ignore',
      timeout: SCENARIO_TIMEOUT_MS,
    });
    child.on('exit', resolve);
  });
}

async function runWorker(copyFolder, queue, results, ts) {
  for (let guard = queue.shift(); guard; guard = queue.shift()) {
    if (!guard.source) {
      results.push({name: guard.name, verdict: 'names no guard'});
      continue;
    }
    const {problem, outputText} = mutate(guard, ts);
    if (problem) {
      results.push({name: guard.name, verdict: problem});
      continue;
    }
    const target = path.join(copyFolder, guard.source.replace(/\.ts$/, '.js'));
    const original = readFileSync(target);
    writeFileSync(target, outputText);
    const code = await runScenario(copyFolder, guard.file);
    writeFileSync(target, original);
    const verdict = code === 0 ? 'NOT caught' : 'caught';
    results.push({name: guard.name, verdict});
  }
}

ensureCompiled();
const {default: ts} = await import('typescript');
rmSync(workFolder, {recursive: true, force: true});
const queue = readGuards(process.argv.slice(2));
const results = [];
const workers = Array.from({length: WORKER_COUNT}, (_, i) => {
  const copyFolder = path.join(workFolder, String(i));
  mkdirSync(copyFolder, {recursive: true});
  for (const part of ['src', 'stand_ins']) {
    cpSync(path.join(root, 'build', part), path.join(copyFolder, part), {
      recursive: true,
    });
  }
  return runWorker(copyFolder, queue, results, ts);
});
await Promise.all(workers);
results.sort((a, b) => (a.name < b.name ? -1 : 1));
for (const {name, verdict} of results) console.log(`${verdict}\t${name}`);
const caught = results.filter(({verdict}) => verdict === 'caught').length;
console.log(`${caught} of ${results.length} guards caught.`);
process.exit(caught === results.length ? 0 : 1);
