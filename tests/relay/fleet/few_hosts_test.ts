/** Tests of a full mesh, in which each host sends its state to all others. */

import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  decodeDatagram,
  encodeDatagram,
} from '../../../src/relay/fleet/peer_codec.js';
import {parseDatagram} from '../../../src/relay/fleet/peer_datagrams.js';
import {createRecordingLog} from '../../support/recording_log.js';
import {makeFleet} from './fleet_network.js';

test('hosts find each other through one live seed although another is stale', async () => {
  const {clock, start} = makeFleet();
  const a = start('a', []);
  const b = start('b', ['gone:1', a.address]);
  const c = start('c', [a.address]);
  await clock.advance(1_500);
  assert.deepEqual(b.entries(), ['a:80', 'b:80', 'c:80']);
  assert.deepEqual(c.entries(), ['a:80', 'b:80', 'c:80']);
});

test('directory answers omit a dead host within a second and include it again once it is alive', async () => {
  // Guards against directory answers that name a dead host for long: a caller
  // loses a second with each attempt to connect to it.
  const {clock, cutBetween, heal, start} = makeFleet();
  const a = start('a', []);
  const b = start('b', [a.address]);
  await clock.advance(1_000);
  cutBetween(address => address === a.address);
  await clock.advance(1_200);
  assert.deepEqual(b.entries(), ['b:80']);
  heal();
  await clock.advance(1_500);
  assert.deepEqual(b.entries(), ['a:80', 'b:80']);
});

test('directory answers omit a leaving host immediately', async () => {
  const {clock, start} = makeFleet();
  const a = start('a', []);
  const b = start('b', [a.address]);
  await clock.advance(1_000);
  a.setState('leaving');
  await clock.advance(10);
  assert.deepEqual(b.entries(), ['b:80']);
  assert.deepEqual(
    a.entries(),
    ['b:80'],
    'a leaving host names the others only',
  );
});

test('a directory answer is never empty while a host is ready', async () => {
  const {clock, cutBetween, start} = makeFleet();
  const a = start('a', []);
  start('b', [a.address]);
  await clock.advance(1_000);
  cutBetween(address => address === a.address);
  await clock.advance(5_000);
  assert.deepEqual(a.entries(), ['a:80']);
  a.setState('starting');
  assert.deepEqual(a.entries(), []);
});

test('a datagram that arrives after a later one does not restore the old state', async () => {
  // Guards against callers being sent to a host that has left: a datagram sent
  // before the host began to leave arrives after the one that announced it.
  const {clock, start, lastPayload, deliver} = makeFleet();
  const a = start('a', []);
  const b = start('b', [a.address]);
  await clock.advance(600);
  const older = lastPayload(a, b);
  assert.ok(older);
  a.setState('leaving');
  await clock.advance(10);
  assert.deepEqual(b.entries(), ['b:80']);
  deliver(a.address, b, older);
  assert.deepEqual(b.entries(), ['b:80']);
});

test('a message reaches only the peer it is addressed to', async () => {
  const {clock, messages, start} = makeFleet();
  const a = start('a', []);
  start('b', [a.address]);
  start('c', [a.address]);
  await clock.advance(1_500);
  const message = {kind: 'withdraw', askId: 7} as const;
  a.exchange.sendMessage('b', message);
  await clock.advance(6);
  assert.deepEqual(messages, [{to: 'b', from: 'a', message}]);
});

test('a datagram with invalid speeds of engines is not lost', async () => {
  // Guards against a host of another version that seems to be dead to all
  // others because of an optional field.
  const {clock, start, lastPayload} = makeFleet();
  const a = start('a', []);
  const b = start('b', [a.address]);
  await clock.advance(300);
  const state = decodeDatagram(lastPayload(a, b)!) as object;
  for (const speeds of ['x', null, 7, [null, ['d0']]]) {
    const payload = encodeDatagram({...state, speeds});
    assert.equal(parseDatagram(payload)?.kind, 'state');
  }
});

test('invalid datagrams are ignored', async () => {
  const {clock, start, deliver} = makeFleet();
  const a = start('a', []);
  await clock.advance(300);
  const invalid = [
    '',
    '{',
    'null',
    '{"from":"x"}',
    '{"from":"x","message":1}',
    '{"kind":"state","from":"x"}',
    '{"kind":"view","from":"x","memberChanges":[]}',
    '{"kind":"toString","from":"x"}',
  ];
  for (const text of invalid) deliver('x:1', a, Buffer.from(text));
  await clock.advance(300);
  assert.deepEqual(a.entries(), ['a:80']);
});

test('a suspended host does not declare all others dead', async () => {
  // Guards against a directory answer that names only the resumed host: it
  // received nothing while it was suspended, though all others were alive.
  const {clock, start} = makeFleet();
  const a = start('a', []);
  const names = ['b', 'c', 'd'];
  for (const name of names) start(name, [a.address]);
  await clock.advance(2_000);
  a.freeze(4_000);
  await clock.advance(4_001);
  assert.equal(a.entries().length, 4);
});

test('a host that was suspended for less than a second does not declare all others dead', async () => {
  // Guards against bookings, loads and entries that are dropped for hosts that
  // were alive: three announcements of each are still unread.
  for (const durationMs of [700, 850, 990]) {
    const {clock, start} = makeFleet();
    const a = start('a', []);
    for (const name of ['b', 'c', 'd']) start(name, [a.address]);
    await clock.advance(2_000);
    a.freeze(durationMs);
    await clock.advance(durationMs + 1);
    assert.equal(a.lostCount(), 0, `suspended for ${durationMs} ms`);
  }
});

for (const state of ['ready', 'leaving'] as const) {
  test(`a host logs how its peer ended, once it is back: ${state}`, async () => {
    const log = createRecordingLog();
    const {clock, kill, start} = makeFleet();
    const a = start('a', []);
    start('b', [a.address], 1, undefined, log);
    await clock.advance(1_000);
    a.setState(state);
    await clock.advance(100);
    kill(['a']);
    await clock.advance(3_000);
    start('a', ['b:1'], 2);
    await clock.advance(1_000);
    const lines = log.lines.filter(({message}) => /without/.test(message));
    assert.equal(lines.length, state === 'leaving' ? 0 : 1);
  });
}
