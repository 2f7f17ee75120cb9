import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {test} from 'node:test';
import {connectRaw} from '../relay/front/raw_front.js';
import {createSite, makeConfiguration, until, wait} from './relay_site.js';

const MAX_DESCRIPTORS = 300;
const IDLE_CONNECTIONS = 400;
const CALLS = 30;

test('idle connections leave descriptors for calls', async t => {
  const site = await createSite();
  site.configure(makeConfiguration());
  await site.addUpstream({id: 'u-1', service: 'ledger'});
  const settings = await site.makeSettings({maxDescriptors: MAX_DESCRIPTORS});
  const folder = mkdtempSync(path.join(os.tmpdir(), 'relay-'));
  const hostFile = path.join(folder, 'host.yaml');
  writeFileSync(hostFile, JSON.stringify(settings));
  const main = path.resolve('build/src/cli/main.js');
  const child = spawn(
    'bash',
    [
      '-c',
      `ulimit -n ${MAX_DESCRIPTORS}; exec "$@"`,
      'relay',
      process.execPath,
      main,
      'relay',
      '--host-file',
      hostFile,
    ],
    {stdio: 'ignore'},
  );
  const idle: Array<Awaited<ReturnType<typeof connectRaw>>> = [];
  t.after(async () => {
    child.kill('SIGKILL');
    for (const {socket} of idle) socket.destroy();
    rmSync(folder, {recursive: true});
    await site.close();
  });
  const ask = () =>
    site.ask(settings.readyAddress, '/corianderbend/readyz').then(
      ({status}) => status === 200,
      () => false,
    );
  await until('the relay is ready', ask);

  const connections = Array.from({length: IDLE_CONNECTIONS}, () =>
    connectRaw(settings.callerAddress),
  );
  idle.push(...(await Promise.all(connections)));
  // A new connection is spared for 100 ms.
  await wait(300);
  const answers = await Promise.all(
    Array.from({length: CALLS}, () =>
      site.call({settings}, '/saldo/1').then(
        ({status}) => status,
        () => 0,
      ),
    ),
  );
  assert.deepEqual(
    answers.filter(status => status !== 200),
    [],
  );
  assert.equal(await ask(), true);
});
