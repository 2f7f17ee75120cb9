/** A settings file that is being written while a process starts. */

import assert from 'node:assert/strict';
import {rmSync, writeFileSync} from 'node:fs';
import {after, before, describe, test} from 'node:test';
import {
  assertServes,
  comesTrue,
  createProgramFolder,
  type ProgramFolder,
  type RunningProgram,
} from './relay_program.js';

const WRITTEN_AFTER_MS = 500;

/** What the file contains at first; undefined if there is none. */
const BEGINNINGS: Readonly<
  Record<string, (whole: string) => string | undefined>
> = {
  'is empty': () => '',
  'is half written': whole => whole.slice(0, whole.length / 2),
  'ends within its last field': whole => whole.slice(0, -2),
  'is not there': () => undefined,
};

/** What a process says of its arguments. */
const ARGUMENTS: Readonly<Record<string, RegExp>> = {
  '': /No host file is named/,
  '--host-file-variable CORIANDERBEND_NONE': /CORIANDERBEND_NONE names no/,
  '--host-file x --log-level loud': /no log level loud/,
  '--speed 3': /--speed/,
};

describe('a settings file at the start', {concurrency: 4}, () => {
  let folder: ProgramFolder;
  before(() => {
    folder = createProgramFolder();
  });
  after(() => folder.remove());

  async function begin(toText: (whole: string) => string | undefined) {
    const settings = await folder.makeSettings();
    const file = folder.writeSettings(settings);
    const text = toText(JSON.stringify(settings));
    if (text === undefined) rmSync(file);
    else writeFileSync(file, text);
    const running = folder.start(['relay', '--host-file', file]);
    return {running, file, writeWhole: () => folder.writeSettings(settings)};
  }

  /** Resolves some time after the process has read the file once. */
  async function hasRead(running: RunningProgram): Promise<void> {
    await comesTrue(() => running.hasEnded() || running.output() !== '');
    await new Promise(resolve => setTimeout(resolve, WRITTEN_AFTER_MS));
  }

  for (const [name, toText] of Object.entries(BEGINNINGS)) {
    test(`a process serves once it is whole: ${name}`, async () => {
      const {running, writeWhole} = await begin(toText);
      await hasRead(running);
      writeWhole();
      await assertServes(running);
    });

    test(`a process says what is wrong: ${name}`, async () => {
      const {running, file} = await begin(toText);
      const {code} = await running.ended;
      assert.equal(code, 2, running.output());
      assert.ok(running.output().includes(file), running.output());
      assert.ok(!running.output().includes('    at '), running.output());
    });
  }

  test('a process ends in order while it waits for it', async () => {
    const {running} = await begin(() => '');
    await hasRead(running);
    running.child.kill('SIGTERM');
    assert.deepEqual(await running.ended, {code: 0, signal: null});
  });

  for (const [words, reason] of Object.entries(ARGUMENTS)) {
    test(`a process says what is wrong with its arguments: ${words}`, async () => {
      const running = folder.start([
        'relay',
        ...words.split(' ').filter(Boolean),
      ]);
      assert.deepEqual(await running.ended, {code: 2, signal: null});
      assert.match(running.output(), reason);
      assert.ok(!running.output().includes('    at '), running.output());
    });
  }
});
