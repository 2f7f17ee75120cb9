/** Signals to real processes, at their start and while they serve. */

import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {after, before, describe, test} from 'node:test';
import {
  ask,
  assertServes,
  comesTrue,
  createProgramFolder,
  type ProgramFolder,
  type RunningProgram,
} from './relay_program.js';

const SIGHUP_BIT = 1n;

/** Whether the process has a handler for SIGHUP. */
function handlesSignals({child}: RunningProgram): boolean {
  const status = readFileSync(`/proc/${child.pid}/status`, 'utf8');
  const mask = /^SigCgt:\s*(\w+)/m.exec(status)?.[1] ?? '0';
  return (BigInt(`0x${mask}`) & SIGHUP_BIT) !== 0n;
}

describe('signals', {concurrency: 4}, () => {
  let folder: ProgramFolder;
  before(() => {
    folder = createProgramFolder();
  });
  after(() => folder.remove());

  test('the first file of the bundle loads no other before it runs', () => {
    // Guards against signals that end a process while its modules load.
    const text = readFileSync(folder.program, 'utf8');
    const imports = [...text.matchAll(/^(?:import|\} from) .*"(.+)";/gm)];
    assert.deepEqual(
      imports.map(([, file]) => file),
      [],
    );
  });

  for (const signal of ['SIGHUP', 'SIGUSR1', 'SIGUSR2', 'SIGPIPE'] as const) {
    test(`a process goes on after ${signal}`, async () => {
      const settings = await folder.makeSettings();
      const running = folder.startRelay(settings);
      assert.ok(await comesTrue(() => handlesSignals(running)));
      running.child.kill(signal);
      await assertServes(running);
      running.child.kill(signal);
      assert.notEqual(await ask(settings.callerAddress), undefined);
      assert.ok(!running.output().includes('Debugger'), running.output());
    });
  }

  for (const signal of ['SIGTERM', 'SIGINT', 'SIGQUIT'] as const) {
    test(`a process leaves after ${signal}`, async () => {
      const running = folder.startRelay(await folder.makeSettings());
      assert.ok(await comesTrue(() => handlesSignals(running)));
      running.child.kill(signal);
      assert.deepEqual(await running.ended, {code: 0, signal: null});
    });
  }
});
