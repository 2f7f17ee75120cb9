import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../src/core/virtual_clock.js';
import type {DatagramPort} from '../../src/ports/datagram.js';
import {answerDirectory} from '../../src/relay/host_directory.js';
import type {Announcement, HostState} from '../../src/relay/peer_datagrams.js';
import {createPeerExchange} from '../../src/relay/peer_exchange.js';
import {silentLog} from '../support/silent_log.js';

const NOTHING = {weight: 0, sums: []};
const NOTHING_LEARNED = {
  starts: NOTHING,
  runs: NOTHING,
  prefills: NOTHING,
};

type Handler = (from: string, payload: Uint8Array) => void;

/** Hosts on one virtual network, whose datagrams take 2 ms. */
function makeNetwork() {
  const clock = createVirtualClock(1_000);
  const handlers = new Map<string, Handler>();
  const cut = new Set<string>();
  /** Hosts that hear all others often. */
  const watchers = new Set<string>();
  /** Hosts that no other host has to tell each change. */
  const far = new Set<string>();
  const sent = new Map<string, number>();
  const payloads = new Map<string, Uint8Array>();
  const messages: Array<{to: string; from: string; message: unknown}> = [];

  function port(address: string): DatagramPort {
    return {
      send(to, payload) {
        sent.set(address, (sent.get(address) ?? 0) + 1);
        payloads.set(`${address}>${to}`, payload);
        if (cut.has(address) || cut.has(to)) return;
        clock.setTimer(2, () => handlers.get(to)?.(address, payload));
      },
      onReceive: handler => void handlers.set(address, handler),
      close: () => void handlers.delete(address),
    };
  }

  function addHost(name: string, seedAddresses: readonly string[]) {
    const address = `${name}:1`;
    let state: HostState = 'ready';
    let ownFar: ReadonlySet<string> = far;
    let lostCount = 0;
    let hubAskCount = 0;
    const exchange = createPeerExchange(
      {
        clock,
        log: silentLog,
        datagrams: port(address),
        announcement: (): Announcement => ({
          state,
          callerAddress: `${name}:80`,
          failureDomain: 'raadi-ruum',
          routingVersion: 1,
          upstreamRevision: 1,
          upstreamAges: {readAgeMs: 0, ageMs: 0},
          upstreamDigest: 0,
          listDeltas: [],
          routingAges: {readAgeMs: 0, ageMs: 0},
          isStoreReachable: true,
          load: {decode: {}, prefill: {}},
          waiting: [],
          suspects: [],
          full: [],
          unreachable: [],
          changing: [],
          losses: [],
          learned: NOTHING_LEARNED,
          adoptedAskIds: [],
        }),
        onPeer: () => undefined,
        onMessage: (from, message) => {
          messages.push({to: name, from, message});
        },
        onPeerGone: () => {
          lostCount++;
        },
        isNear: hostId => !ownFar.has(hostId),
        watcherIds: () => watchers,
        isHub() {
          hubAskCount++;
          return watchers.size === 0 || watchers.has(name);
        },
      },
      {
        hostId: name,
        incarnation: `${name}#1`,
        peerAddress: address,
        seedAddresses,
      },
    );
    exchange.start();
    return {
      address,
      exchange,
      lostCount: () => lostCount,
      hubAskCount: () => hubAskCount,
      setFar(hostIds: ReadonlySet<string>) {
        ownFar = hostIds;
      },
      setState(next: HostState) {
        state = next;
        exchange.changed();
      },
      entries: () =>
        answerDirectory({
          callerAddress: `${name}:80`,
          isReady: () => state === 'ready',
          peers: exchange.alive,
        })?.addresses,
    };
  }

  return {
    clock,
    cut,
    far,
    watchers,
    messages,
    addHost,
    sentBy: (address: string) => sent.get(address) ?? 0,
    lastPayload(from: string, to: string): Uint8Array {
      const payload = payloads.get(`${from}>${to}`);
      assert.ok(payload, 'nothing was sent');
      return payload;
    },
    deliver(from: string, to: string, payload: Uint8Array) {
      handlers.get(to)?.(from, payload);
    },
  };
}

test('hosts find each other by one seed, though another is stale', async () => {
  const {clock, addHost} = makeNetwork();
  const a = addHost('a', []);
  const b = addHost('b', ['gone:1', a.address]);
  const c = addHost('c', [a.address]);
  await clock.advance(1_500);
  assert.deepEqual([...b.entries()!].sort(), ['a:80', 'b:80', 'c:80']);
  assert.deepEqual([...c.entries()!].sort(), ['a:80', 'b:80', 'c:80']);
});

test('a dead host is out of the answers within a second, and back when it lives', async () => {
  // Callers lose a second each to an entry that is dark: the answers still
  // name it long after it died.
  const {clock, cut, addHost} = makeNetwork();
  const a = addHost('a', []);
  const b = addHost('b', [a.address]);
  await clock.advance(1_000);
  cut.add(a.address);
  await clock.advance(1_200);
  assert.deepEqual(b.entries(), ['b:80']);
  cut.delete(a.address);
  await clock.advance(1_500);
  assert.deepEqual([...b.entries()!].sort(), ['a:80', 'b:80']);
});

test('a host that leaves is out of the answers at once', async () => {
  const {clock, addHost} = makeNetwork();
  const a = addHost('a', []);
  const b = addHost('b', [a.address]);
  await clock.advance(1_000);
  a.setState('leaving');
  await clock.advance(10);
  assert.deepEqual(b.entries(), ['b:80']);
  assert.deepEqual(a.entries(), ['b:80'], 'it names others, not itself');
});

test('an answer is never empty while an entry lives', async () => {
  const {clock, cut, addHost} = makeNetwork();
  const a = addHost('a', []);
  addHost('b', [a.address]);
  await clock.advance(1_000);
  cut.add(a.address);
  await clock.advance(5_000);
  assert.deepEqual(a.entries(), ['a:80']);
  a.setState('starting');
  assert.equal(a.entries(), undefined);
});

test('many hosts tell each other of changes less often', async () => {
  // With 90 hosts the links carry nothing but what hosts tell each other: each
  // change goes to each peer at once, and there are more changes, too.
  const {clock, addHost, sentBy} = makeNetwork();
  const first = addHost('h0', []);
  for (let i = 1; i < 60; i++) addHost(`h${i}`, [first.address]);
  await clock.advance(3_000);
  const before = sentBy(first.address);
  for (let i = 0; i < 100; i++) {
    first.exchange.changed();
    await clock.advance(10);
  }
  const rounds = (sentBy(first.address) - before) / 59;
  assert.ok(rounds >= 4 && rounds <= 9, String(rounds));
});

test('a datagram that was overtaken does not bring an old state back', async () => {
  // Callers are sent to an entry that has left: a datagram from before it
  // began to leave took longer than the one that said so.
  const {clock, addHost, lastPayload, deliver} = makeNetwork();
  const a = addHost('a', []);
  const b = addHost('b', [a.address]);
  await clock.advance(600);
  const older = lastPayload(a.address, b.address);
  a.setState('leaving');
  await clock.advance(10);
  assert.deepEqual(b.entries(), ['b:80']);
  deliver(a.address, b.address, older);
  assert.deepEqual(b.entries(), ['b:80']);
});

test('a change reaches near peers at once and far ones with the next repeat', async () => {
  // With 90 hosts each change told to all would fill the hosts' links.
  const {clock, far, sentBy, addHost} = makeNetwork();
  const a = addHost('a', []);
  addHost('b', [a.address]);
  addHost('c', [a.address]);
  await clock.advance(1_500);
  far.add('c');
  await clock.advance(1_000);
  const before = sentBy(a.address);
  a.exchange.changed();
  await clock.advance(6);
  assert.equal(sentBy(a.address) - before, 1);
  a.exchange.changed('all');
  await clock.advance(6);
  assert.equal(sentBy(a.address) - before, 3);
});

test('a far host that dies is out as soon as two of its neighbours lost it', async () => {
  // Far hosts hear of each other seldom, and callers would be sent to a dead
  // entry for as long as three of those long intervals take.
  const {clock, cut, far, addHost} = makeNetwork();
  const names = Array.from({length: 60}, (_, i) => `h${i}`);
  const hosts = names.map(name => addHost(name, ['h0:1']));
  await clock.advance(2_500);
  assert.equal(hosts[0].entries()?.length, 60);
  // Seen from h0, h59 is far; for the others it is near.
  hosts[59].setFar(new Set(['h0']));
  await clock.advance(2_000);
  cut.add('h59:1');
  await clock.advance(2_000);
  assert.equal(hosts[0].exchange.alive().length, 58);
  assert.equal(far.size, 0);
});

test('a far host that dies beside one of its watchers is out soon', async () => {
  // Callers are sent to dead entries: a host of 60 died, and one of the three
  // that hear all hosts often died with it, so that two are left to tell.
  const {clock, cut, watchers, addHost} = makeNetwork();
  const names = Array.from({length: 60}, (_, i) => `h${i}`);
  const hosts = names.map(name => addHost(name, ['h0:1']));
  for (const host of hosts) host.setFar(new Set(names));
  for (const hostId of ['h1', 'h2', 'h3']) watchers.add(hostId);
  await clock.advance(8_000);
  cut.add('h59:1').add('h1:1');
  await clock.advance(3_500);
  for (const {address, exchange} of hosts) {
    if (cut.has(address)) continue;
    const alive = exchange.alive().map(({hostId}) => hostId);
    assert.equal(alive.includes('h59'), false, address);
  }
});

test('a message reaches the peer that it is meant for, and no other', async () => {
  const {clock, messages, addHost} = makeNetwork();
  const a = addHost('a', []);
  addHost('b', [a.address]);
  addHost('c', [a.address]);
  await clock.advance(1_500);
  const message = {kind: 'withdraw', askId: 7} as const;
  a.exchange.tell('b', message);
  await clock.advance(6);
  assert.deepEqual(messages, [{to: 'b', from: 'a', message}]);
});

test('one lost host does not keep many hosts losing each other', async () => {
  // Entries come and go in the answers and the books of all hosts flap: each
  // host that had lost a peer by hearsay told it on, and heard it again.
  const {clock, cut, addHost} = makeNetwork();
  const names = Array.from({length: 60}, (_, i) => `h${i}`);
  const hosts: Array<ReturnType<typeof addHost>> = [];
  for (const name of names) {
    hosts.push(addHost(name, ['h0:1']));
    // Started in turn, they send their repeats at different times.
    await clock.advance(90);
  }
  const placers = new Set(['h0', 'h1']);
  for (const host of hosts) {
    host.setFar(new Set(names.filter(name => !placers.has(name))));
  }
  await clock.advance(4_000);
  const lostBefore = hosts.map(({lostCount}) => lostCount());
  cut.add('h59:1');
  await clock.advance(1_500);
  cut.delete('h59:1');
  await clock.advance(6_000);
  const lost = hosts.map(({lostCount}, i) => lostCount() - lostBefore[i]);
  lost.pop();
  assert.ok(Math.max(...lost) <= 1, lost.join());
  assert.ok(hosts.every(({exchange}) => exchange.alive().length === 59));
});

test('what is not from a peer changes nothing', async () => {
  const {clock, addHost, deliver} = makeNetwork();
  const a = addHost('a', []);
  await clock.advance(300);
  const odd = ['', '{', 'null', '{"from":"x"}', '{"from":"x","message":1}'];
  for (const text of odd) deliver('x:1', a.address, Buffer.from(text));
  await clock.advance(300);
  assert.deepEqual(a.entries(), ['a:80']);
});

test('repeats to many far peers do not go out in one moment', async () => {
  // Hosts that live are lost all the time: 78 datagrams at once overflow a
  // small host's link, and the same peers miss theirs each time.
  const {clock, addHost, sentBy} = makeNetwork();
  const names = Array.from({length: 60}, (_, i) => `h${i}`);
  const hosts = names.map(name => addHost(name, ['h0:1']));
  for (const host of hosts) host.setFar(new Set(names));
  await clock.advance(8_000);
  let most = 0;
  for (let i = 0; i < 40; i++) {
    const before = sentBy('h7:1');
    await clock.advance(50);
    most = Math.max(most, sentBy('h7:1') - before);
  }
  assert.ok(most <= 40, `${most} at once`);
  assert.ok(hosts.every(({exchange}) => exchange.alive().length === 59));
});

test('a state to many peers asks once what this host is to them', async () => {
  // Hosts of a large site spend most of their time on telling each other that
  // nothing has changed: for each of 67 receivers the sender ranked all peers
  // anew to find whether it reads the store for them.
  const {clock, addHost, sentBy} = makeNetwork();
  const names = Array.from({length: 60}, (_, i) => `h${i}`);
  const hosts = names.map(name => addHost(name, ['h0:1']));
  for (const host of hosts) host.setFar(new Set(names));
  await clock.advance(8_000);
  const before = {sent: sentBy('h7:1'), asks: hosts[7].hubAskCount()};
  await clock.advance(4_000);
  const sent = sentBy('h7:1') - before.sent;
  const asks = hosts[7].hubAskCount() - before.asks;
  const repeats = 4_000 / 250;
  assert.ok(sent > 5 * repeats, String(sent));
  assert.ok(asks <= repeats, `${asks} times for ${sent} datagrams`);
});
