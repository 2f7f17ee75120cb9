/**
 * `npm test`: installs missing packages, compiles, and runs all tests. With
 * `--accept`, rewrites the reviewed baselines instead of comparing with them.
 * Other arguments select test files by part of their path. Without them, files
 * that KNOWN-RED.txt lists as `PATH (not run)` are skipped and printed.
 */

import {spawnSync} from 'node:child_process';
import {existsSync, readFileSync, readdirSync, rmSync, statSync} from 'node:fs';
import path from 'node:path';
import {ensureCompiled, root} from './toolchain.mjs';

const TEST_SUFFIX = '_test.js';
const MAX_CONCURRENT_FILES = 6;

function findTests(folder) {
  return readdirSync(folder, {withFileTypes: true})
    .flatMap(entry => {
      const full = path.join(folder, entry.name);
      if (entry.isDirectory()) return findTests(full);
      return entry.name.endsWith(TEST_SUFFIX) ? [full] : [];
    })
    .sort();
}

/**
 * Deletes compiled tests whose source no longer exists: a renamed test would
 * otherwise run twice.
 */
function deleteStaleTests(tests) {
  return tests.filter(file => {
    const source = path
      .relative(path.join(root, 'build'), file)
      .replace(/\.js$/, '.ts');
    if (existsSync(path.join(root, source))) return true;
    rmSync(file);
    return false;
  });
}

/** Returns the paths of the test sources that KNOWN-RED.txt lists as not run. */
function readSkippedSources() {
  const list = path.join(root, 'KNOWN-RED.txt');
  if (!existsSync(list)) return [];
  const text = readFileSync(list, 'utf8');
  return [...text.matchAll(/^(\S+_test\.ts) \(not run\)/gm)].map(
    ([, source]) => source,
  );
}

const accept = process.argv.includes('--accept');
const pathParts = process.argv.slice(2).filter(arg => !arg.startsWith('--'));

ensureCompiled();
const all = deleteStaleTests(findTests(path.join(root, 'build', 'tests')));
const skippedSources = pathParts.length === 0 ? readSkippedSources() : [];
for (const source of skippedSources)
  console.log(`Known red, not run: ${source}`);
const isSkipped = file =>
  skippedSources.some(source =>
    file.endsWith(path.join('build', source.replace(/\.ts$/, '.js'))),
  );
const tests = all.filter(
  file =>
    statSync(file).isFile() &&
    !isSkipped(file) &&
    (pathParts.length === 0 || pathParts.some(part => file.includes(part))),
);
if (tests.length === 0) {
  console.error('run_tests: no test file matches.');
  process.exit(2);
}
const result = spawnSync(
  process.execPath,
  [
    '--enable-source-maps',
    '--test',
    `--test-concurrency=${MAX_CONCURRENT_FILES}`,
    ...tests,
  ],
  {
    cwd: root,
    stdio: 'inherit',
    env: {...process.env, CORIANDERBEND_ACCEPT: accept ? '1' : ''},
  },
);
process.exit(result.status ?? 1);
