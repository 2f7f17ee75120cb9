/**
 * Shows that the scenarios bite: for each `guard FILE "text" "replacement"` in
 * a scenario, takes the guard out of a compiled copy of the program and runs
 * the scenario, which must fail. Arguments pick scenarios by part of a name.
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

const PARALLEL = 2;
const TIMEOUT_MS = 120_000;
const GUARD = /^guard (\S+) "([^"]+)" "([^"]*)"$/m;

const scenarioFolder = path.join(root, 'tests', 'cases', 'scenarios');
const workFolder = path.join(root, 'build', 'guards');

function readGuards(wanted) {
  return readdirSync(scenarioFolder)
    .filter(name => name.endsWith('.scenario'))
    .filter(name => wanted.length === 0 || wanted.some(w => name.includes(w)))
    .map(name => {
      const file = path.join(scenarioFolder, name);
      const match = GUARD.exec(readFileSync(file, 'utf8'));
      if (!match) return {name, file};
      const [, source, text, replacement] = match;
      return {name, file, source, text, replacement};
    });
}

/** The guarded file without its guard, or why it cannot be made. */
function mutate(guard, ts) {
  const code = readFileSync(path.join(root, guard.source), 'utf8');
  const places = code.split(guard.text).length - 1;
  if (places !== 1) return {problem: `guard text found ${places} times`};
  const changed = code.replace(guard.text, () => guard.replacement);
  const {outputText} = ts.transpileModule(changed, {
    compilerOptions: {
      target: ts.ScriptTarget.ES2022,
      module: ts.ModuleKind.ESNext,
    },
  });
  return {outputText};
}

function runScenario(copy, file) {
  return new Promise(resolve => {
    const main = path.join(copy, 'src', 'cli', 'main.js');
    const child = spawn(process.execPath, [main, 'scenario', 'run', file], {
      stdio: 'ignore',
      timeout: TIMEOUT_MS,
    });
    child.on('exit', resolve);
  });
}

async function work(copy, queue, results, ts) {
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
    const target = path.join(copy, guard.source.replace(/\.ts$/, '.js'));
    const original = readFileSync(target);
    writeFileSync(target, outputText);
    const code = await runScenario(copy, guard.file);
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
const workers = Array.from({length: PARALLEL}, (_, i) => {
  const copy = path.join(workFolder, String(i));
  mkdirSync(copy, {recursive: true});
  for (const part of ['src', 'stand_ins']) {
    cpSync(path.join(root, 'build', part), path.join(copy, part), {
      recursive: true,
    });
  }
  return work(copy, queue, results, ts);
});
await Promise.all(workers);
results.sort((a, b) => (a.name < b.name ? -1 : 1));
for (const {name, verdict} of results) console.log(`${verdict}\t${name}`);
const caught = results.filter(({verdict}) => verdict === 'caught').length;
console.log(`${caught} of ${results.length} guards caught.`);
process.exit(caught === results.length ? 0 : 1);
