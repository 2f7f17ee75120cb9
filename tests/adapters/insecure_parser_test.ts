/**
 * Runs the tests of broken answers in a process whose parsers are lenient by
 * default, as `--insecure-http-parser` in `NODE_OPTIONS` makes them.
 */

import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';

const FILES = [
  './broken_heads_test.js',
  '../entry/plain_answers_test.js',
  '../platform/broken_answers_test.js',
] as const;

async function runLenient(
  file: string,
): Promise<{readonly code: number | null; readonly output: string}> {
  // A test runner that finds this variable reports to another one.
  const env = {...process.env, NODE_TEST_CONTEXT: undefined};
  const path = fileURLToPath(new URL(file, import.meta.url));
  const child = spawn(
    process.execPath,
    ['--insecure-http-parser', '--enable-source-maps', '--test', path],
    {env, stdio: ['ignore', 'pipe', 'inherit']},
  );
  let output = '';
  child.stdout.on('data', bytes => (output += String(bytes)));
  const code = await new Promise<number | null>(resolve => {
    child.once('close', resolve);
  });
  return {code, output};
}

for (const file of FILES) {
  test(`${file} passes with a lenient parser`, async () => {
    // Guards against checks of answers that only a flag of the process makes.
    const {code, output} = await runLenient(file);
    assert.equal(code, 0, output);
    assert.match(output, /^# fail 0$/m);
    assert.doesNotMatch(output, /^# pass 0$/m);
  });
}
