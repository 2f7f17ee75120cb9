/** Starts while another socket has one of the process's addresses. */

import assert from 'node:assert/strict';
import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {writeFileSync} from 'node:fs';
import net from 'node:net';
import {performance} from 'node:perf_hooks';
import {after, before, describe, test, type TestContext} from 'node:test';
import {renderHostFile} from '../support/host_file_template.js';
import {
  ask,
  assertServes,
  comesTrue,
  createProgramFolder,
  type ProgramFolder,
  type RunningProgram,
} from './relay_program.js';

const HELD_MS = 600;
const GRACE_MS = 1_000;
/** By the process's own clock, since many start at once here. */
const GIVES_UP = /gave up after [34] s\.$/;
/** A test process may be slow to start and to see an end. */
const ENDS_WITHIN_MS = 2_000;

type Release = () => void;

/** Ends with the test, too. */
async function holdTcp(address: string, t: TestContext): Promise<Release> {
  const [host, port] = address.split(':');
  const server = net.createServer(socket => socket.destroy());
  server.listen(Number(port), host);
  const release = () => void server.close();
  t.after(release);
  await once(server, 'listening');
  return release;
}

/** Ends with the test, too. */
async function holdUdp(address: string, t: TestContext): Promise<Release> {
  const [host, port] = address.split(':');
  const socket = createSocket('udp4').bind(Number(port), host);
  let isOpen = true;
  const release = () => {
    if (isOpen) socket.close();
    isOpen = false;
  };
  t.after(release);
  await once(socket, 'listening');
  return release;
}

/** Fails unless the process still runs some time after it met the address. */
async function meetsHeldAddress(running: RunningProgram): Promise<void> {
  const hasMet = () => running.output().includes('cannot be opened yet');
  await comesTrue(() => hasMet() || running.hasEnded());
  await new Promise(resolve => setTimeout(resolve, HELD_MS));
  assert.equal(running.hasEnded(), false, running.output());
}

const HELD = {
  callers: {key: 'callerAddress', hold: holdTcp},
  readiness: {key: 'readyAddress', hold: holdTcp},
  directory: {key: 'directoryAddress', hold: holdTcp},
  'peers over TCP': {key: 'peerAddress', hold: holdTcp},
  'peers over UDP': {key: 'peerAddress', hold: holdUdp},
} as const;

describe('a relay whose address is in use', {concurrency: 4}, () => {
  let folder: ProgramFolder;
  before(() => {
    folder = createProgramFolder();
  });
  after(() => folder.remove());

  for (const [name, {key, hold}] of Object.entries(HELD)) {
    test(`serves once it is free: ${name}`, async t => {
      const settings = await folder.makeSettings();
      const release = await hold(settings[key], t);
      const running = folder.startRelay(settings);
      await meetsHeldAddress(running);
      release();
      await assertServes(running);
      assert.notEqual(await ask(settings[key]), undefined);
      const lines = running.output().split('\n');
      const mentions = lines.filter(line => line.includes('"what":'));
      assert.deepEqual(
        mentions.map(line => /"message":"([^"]*)"/.exec(line)?.[1]),
        ['An address cannot be opened yet.', 'The address is open now.'],
      );
    });

    test(`says which one as it gives up: ${name}`, async t => {
      const settings = await folder.makeSettings({leaveGraceMs: GRACE_MS});
      await hold(settings[key], t);
      const running = folder.startRelay(settings);
      const {code} = await running.ended;
      assert.equal(code, 1);
      const [reason] = running
        .output()
        .split('\n')
        .filter(line => line.startsWith('corianderbend: '));
      assert.ok(reason.includes(`${name}, ${settings[key]},`), reason);
      assert.match(reason, GIVES_UP);
      assert.ok(!running.output().includes('    at '), running.output());
    });
  }

  // Guards against a successor that ends while its predecessor still leaves.
  test('tries until a predecessor with a grace of 2.5 s must have ended', async t => {
    const settings = await folder.makeSettings();
    await holdTcp(settings.callerAddress, t);
    const file = folder.writeSettings(settings);
    const {hostId, callerAddress, storeAddress} = settings;
    writeFileSync(
      file,
      renderHostFile({
        ...{node: hostId, ip: '127.0.0.1', 'port_range.0': '0'},
        ...{'listen.front': callerAddress, 'platform.address': storeAddress},
        'listen.ready': settings.readyAddress,
        'listen.directory': settings.directoryAddress,
        'bounds.grace_s': '2.5',
      }).replace('127.0.0.1:0', settings.peerAddress),
    );
    const running = folder.start(['relay', '--host-file', file]);
    await running.ended;
    assert.match(running.output(), /gave up after [45] s\.$/m);
  });

  test('serves without its metrics, and with them later', async t => {
    const settings = await folder.makeSettings();
    const release = await holdTcp(settings.metricsAddress, t);
    const running = folder.startRelay(settings);
    await assertServes(running);
    release();
    const isThere = async () => (await ask(settings.metricsAddress)) === 200;
    assert.ok(await comesTrue(isThere), running.output());
  });

  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    test(`ends in order while it tries again: ${signal}`, async t => {
      const settings = await folder.makeSettings();
      await holdTcp(settings.callerAddress, t);
      const running = folder.startRelay(settings);
      await meetsHeldAddress(running);
      const sentAtMs = performance.now();
      running.child.kill(signal);
      const {code} = await running.ended;
      const tookMs = performance.now() - sentAtMs;
      assert.equal(code, 0, running.output());
      assert.ok(tookMs < ENDS_WITHIN_MS, `${tookMs} ms`);
    });
  }
});
