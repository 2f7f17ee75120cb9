/** Standard output and standard error that nobody reads or that are full. */

import assert from 'node:assert/strict';
import {execFileSync} from 'node:child_process';
import {closeSync, constants, openSync, readSync} from 'node:fs';
import path from 'node:path';
import {after, before, describe, test} from 'node:test';
import {
  ask,
  comesTrue,
  createProgramFolder,
  type ProgramFolder,
  type RunningProgram,
} from './relay_program.js';

const REQUEST_COUNT = 200;

const closeOutput = ({child}: RunningProgram) => child.stdout?.destroy();
const closeBoth = (running: RunningProgram) => {
  closeOutput(running);
  running.child.stderr?.destroy();
};

interface OutputCase {
  readonly atStart?: (running: RunningProgram) => void;
  readonly later?: (running: RunningProgram) => void;
  /** A file instead of pipes. */
  readonly file?: string;
}

const CASES: Readonly<Record<string, OutputCase>> = {
  'the reader ends at the start': {atStart: closeOutput},
  'both readers end at the start': {atStart: closeBoth},
  'the reader ends later': {later: closeOutput},
  'both readers end later': {later: closeBoth},
  'the disk is full': {file: '/dev/full'},
};

describe('a relay goes on without its output', {concurrency: 4}, () => {
  let folder: ProgramFolder;
  before(() => {
    folder = createProgramFolder();
  });
  after(() => folder.remove());

  for (const [name, {atStart, later, file}] of Object.entries(CASES)) {
    test(name, async () => {
      const settings = await folder.makeSettings();
      const args = [
        'relay',
        '--log-level',
        'debug',
        '--host-file',
        folder.writeSettings(settings),
      ];
      const descriptor = file ? openSync(file, 'w') : undefined;
      const output = descriptor ?? 'pipe';
      const running = folder.start(args, ['ignore', output, output]);
      if (descriptor !== undefined) closeSync(descriptor);
      atStart?.(running);
      const {callerAddress} = settings;
      const answers = async () => (await ask(callerAddress)) !== undefined;
      const begins = async () => running.hasEnded() || (await answers());
      assert.ok(await comesTrue(begins));
      later?.(running);
      for (let i = 0; i < REQUEST_COUNT; i++)
        assert.ok(await answers(), `request ${i} of ${REQUEST_COUNT}`);
      assert.equal(running.hasEnded(), false);
    });
  }

  test('its log goes on once a reader is back', async () => {
    const fifo = path.join(path.dirname(folder.program), 'log');
    execFileSync('mkfifo', [fifo]);
    const {O_RDONLY, O_WRONLY, O_NONBLOCK} = constants;
    const firstReader = openSync(fifo, O_RDONLY | O_NONBLOCK);
    const writer = openSync(fifo, O_WRONLY | O_NONBLOCK);
    const settings = await folder.makeSettings();
    const file = folder.writeSettings(settings);
    folder.start(['relay', '--host-file', file], ['ignore', writer, 'ignore']);
    closeSync(writer);
    const answers = async () =>
      (await ask(settings.callerAddress)) !== undefined;
    assert.ok(await comesTrue(answers));
    closeSync(firstReader);
    assert.ok(await answers());
    const reader = openSync(fifo, O_RDONLY | O_NONBLOCK);
    const bytes = Buffer.alloc(64 * 1024);
    const readMore = () => readSync(reader, bytes);
    const hasLine = async () =>
      (await answers()) && readMore() > 0 && bytes.includes('"part":"request"');
    assert.ok(await comesTrue(() => hasLine().catch(() => false)));
    closeSync(reader);
  });

  test('another command ends with its reader', async () => {
    const running = folder.start(['help']);
    running.child.stdout?.destroy();
    assert.deepEqual(await running.ended, {code: 0, signal: null});
  });
});
