/** Few hosts, each of which tells all others what it knows. */

import assert from 'node:assert/strict';
import {test} from 'node:test';
import {makeFleet} from './fleet_network.js';

test('hosts find each other by one seed, though another is stale', async () => {
  const {clock, start} = makeFleet();
  const a = start('a', []);
  const b = start('b', ['gone:1', a.address]);
  const c = start('c', [a.address]);
  await clock.advance(1_500);
  assert.deepEqual(b.entries(), ['a:80', 'b:80', 'c:80']);
  assert.deepEqual(c.entries(), ['a:80', 'b:80', 'c:80']);
});

test('a dead host is out of the answers within a second, and back when it lives', async () => {
  // Callers lose a second each to an entry that is dark: the answers still
  // name it long after it died.
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

test('a host that leaves is out of the answers at once', async () => {
  const {clock, start} = makeFleet();
  const a = start('a', []);
  const b = start('b', [a.address]);
  await clock.advance(1_000);
  a.setState('leaving');
  await clock.advance(10);
  assert.deepEqual(b.entries(), ['b:80']);
  assert.deepEqual(a.entries(), ['b:80'], 'it names others, not itself');
});

test('an answer is never empty while an entry lives', async () => {
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

test('a datagram that was overtaken does not bring an old state back', async () => {
  // Callers are sent to an entry that has left: a datagram from before it
  // began to leave took longer than the one that said so.
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

test('a message reaches the peer that it is meant for, and no other', async () => {
  const {clock, messages, start} = makeFleet();
  const a = start('a', []);
  start('b', [a.address]);
  start('c', [a.address]);
  await clock.advance(1_500);
  const message = {kind: 'withdraw', askId: 7} as const;
  a.exchange.tell('b', message);
  await clock.advance(6);
  assert.deepEqual(messages, [{to: 'b', from: 'a', message}]);
});

test('what is not from a peer changes nothing', async () => {
  const {clock, start, deliver} = makeFleet();
  const a = start('a', []);
  await clock.advance(300);
  const odd = [
    '',
    '{',
    'null',
    '{"from":"x"}',
    '{"from":"x","message":1}',
    '{"kind":"state","from":"x"}',
    '{"kind":"view","from":"x","memberChanges":[]}',
    '{"kind":"toString","from":"x"}',
  ];
  for (const text of odd) deliver('x:1', a, Buffer.from(text));
  await clock.advance(300);
  assert.deepEqual(a.entries(), ['a:80']);
});

test('a host that stood still does not take all others for dead', async () => {
  // Callers that ask an entry just after it wakes are told of no other: nobody
  // was heard while it stood still, though all lived.
  const {clock, start} = makeFleet();
  const a = start('a', []);
  const names = ['b', 'c', 'd'];
  for (const name of names) start(name, [a.address]);
  await clock.advance(2_000);
  a.freeze(4_000);
  await clock.advance(4_001);
  assert.equal(a.entries().length, 4);
});
