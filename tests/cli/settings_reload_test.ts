/** Settings files that change while a process runs. */

import assert from 'node:assert/strict';
import {writeFileSync} from 'node:fs';
import {after, before, describe, test} from 'node:test';
import type {RelaySettings} from '../../src/relay/relay_settings.js';
import {
  assertServes,
  comesTrue,
  createProgramFolder,
  type ProgramFolder,
  type RunningProgram,
} from './relay_program.js';

interface LogLine {
  readonly message: string;
  readonly graceMs?: number;
  readonly changed?: string;
  readonly needsRestart?: string;
  readonly setting?: string;
}

/** The first line with the message. */
function findLine(
  running: RunningProgram,
  message: string,
): LogLine | undefined {
  return running
    .output()
    .split('\n')
    .filter(line => line.startsWith('{'))
    .map(line => JSON.parse(line) as LogLine)
    .find(line => line.message === message);
}

async function awaitLine(
  running: RunningProgram,
  message: string,
): Promise<LogLine> {
  await comesTrue(() => findLine(running, message) !== undefined);
  const line = findLine(running, message);
  assert.ok(line, `no line "${message}": ${running.output()}`);
  return line;
}

describe('a settings file that changes', {concurrency: 4}, () => {
  let folder: ProgramFolder;
  before(() => {
    folder = createProgramFolder();
  });
  after(() => folder.remove());

  async function start() {
    const settings = await folder.makeSettings();
    const file = folder.writeSettings(settings);
    const running = folder.start(['relay', '--host-file', file]);
    await assertServes(running);
    const rewrite = (changes: Partial<RelaySettings>) =>
      writeFileSync(file, JSON.stringify({...settings, ...changes}));
    return {running, file, rewrite};
  }

  async function leave(running: RunningProgram): Promise<LogLine> {
    running.child.kill('SIGTERM');
    return awaitLine(running, 'Leaving.');
  }

  // Guards against calls that are cut by the kill, as a host goes by the grace
  // of its start.
  for (const leaveGraceMs of [2_000, 12_000]) {
    test(`a host leaves by a grace of ${leaveGraceMs} ms that came with SIGHUP`, async () => {
      const {running, rewrite} = await start();
      rewrite({leaveGraceMs});
      running.child.kill('SIGHUP');
      const read = await awaitLine(running, 'Settings read again.');
      assert.equal(read.changed, 'leaveGraceMs');
      assert.equal((await leave(running)).graceMs, leaveGraceMs);
    });

    test(`a host leaves by a grace of ${leaveGraceMs} ms that came without a signal`, async () => {
      const {running, rewrite} = await start();
      rewrite({leaveGraceMs});
      assert.equal((await leave(running)).graceMs, leaveGraceMs);
    });
  }

  test('a change that needs a restart is logged as such', async () => {
    const {running, rewrite} = await start();
    rewrite({callerAddress: '127.0.0.1:1', leaseMs: 4_000, retrySlack: 3});
    running.child.kill('SIGHUP');
    const read = await awaitLine(running, 'Settings read again.');
    assert.equal(read.changed, 'retrySlack');
    assert.equal(read.needsRestart, 'callerAddress,leaseMs');
  });

  test('a host that leaves keeps its settings where the file is unusable', async () => {
    const {running, file} = await start();
    writeFileSync(file, '{"hostId": ');
    assert.equal((await leave(running)).graceMs, 8_000);
  });

  test('a value that is not usable is reported at SIGHUP', async () => {
    const {running, rewrite} = await start();
    rewrite({leaveGraceMs: 7.5});
    running.child.kill('SIGHUP');
    const line = await awaitLine(running, 'A setting is not usable as given.');
    assert.equal(line.setting, 'leaveGraceMs');
    assert.equal((await leave(running)).graceMs, 8_000);
  });
});
