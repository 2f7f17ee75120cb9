import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import {test} from 'node:test';

test('a relay exits if it cannot open its ports', async () => {
  // Guards against an entry that runs for hours without serving: its port is
  // in use by another process, and its open datagram socket keeps it alive.
  const occupyingServer = net.createServer();
  await new Promise<void>(resolve =>
    occupyingServer.listen(0, '127.0.0.1', resolve),
  );
  const {port} = occupyingServer.address() as net.AddressInfo;
  const folder = mkdtempSync(path.join(os.tmpdir(), 'relay-'));
  const hostFile = path.join(folder, 'host.yaml');
  const free = '127.0.0.1:0';
  writeFileSync(
    hostFile,
    JSON.stringify({
      hostId: 'host-1',
      failureDomain: 'raadi-ruum',
      callerAddress: `127.0.0.1:${port}`,
      readyAddress: free,
      directoryAddress: free,
      metricsAddress: free,
      peerAddress: free,
      seedAddresses: [],
      storeAddress: free,
      retryRatio: 0.2,
      retrySlack: 58,
      leaveGraceMs: 1_000,
      leaseMs: 3_000,
    }),
  );
  const child = spawn(
    process.execPath,
    [path.resolve('build/src/cli/main.js'), 'relay', '--host-file', hostFile],
    {stdio: ['ignore', 'ignore', 'pipe']},
  );
  const timer = setTimeout(() => child.kill('SIGKILL'), 10_000);
  const code = await new Promise(resolve => child.on('exit', resolve));
  clearTimeout(timer);
  occupyingServer.close();
  rmSync(folder, {recursive: true});
  assert.equal(code, 1);
});
