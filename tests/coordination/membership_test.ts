import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSeededRandom} from '../../src/core/seeded_random.js';
import {createVirtualClock} from '../../src/core/virtual_clock.js';
import {
  createMembership,
  type Membership,
} from '../../src/coordination/membership.js';
import type {ListedHost} from '../../src/ports/table.js';
import {createVirtualNetwork} from './virtual_network.js';

const DOMAINS = 4;
const FIRST_PORT = 10_000;

function createListed(index: number): ListedHost {
  return {
    hostId: `host-${index}`,
    failureDomain: `domain-${index % DOMAINS}`,
    address: `10.0.0.1:${FIRST_PORT + index}`,
    role: 'router',
    state: 'live',
  };
}

interface Site {
  readonly members: Membership[];
  readonly add: (index: number) => Membership;
}

function createSite(count: number, seed = 1) {
  const clock = createVirtualClock(1_000_000);
  const random = createSeededRandom(seed);
  const network = createVirtualNetwork(clock, random);
  const listed = Array.from({length: count}, (_, index) => createListed(index));
  const ports = listed.map(host => network.open(host.address));

  function add(index: number): Membership {
    const {hostId, failureDomain, address} = listed[index];
    const member = createMembership(
      {
        clock,
        random: createSeededRandom(seed * 1_000 + index),
        datagrams: ports[index],
      },
      {
        hostId,
        failureDomain,
        address,
        callerAddress: `10.0.1.1:${FIRST_PORT + index}`,
        peerKey: 'secret',
        probeIntervalMs: 500,
        suspicionMs: 1_500,
      },
    );
    member.applyHostList(listed);
    member.start();
    return member;
  }

  const site: Site = {members: listed.map((_, index) => add(index)), add};
  /** Stops all traffic of a process without notice. */
  const kill = (index: number) => {
    ports[index].close();
    ports[index].send = () => undefined;
  };
  return {clock, network, listed, kill, ...site};
}

const countRunning = (member: Membership) => member.members().length;

test('all hosts learn each other with their addresses for callers', () => {
  const {clock, members} = createSite(9);
  clock.advanceSync(5_000);
  for (const member of members) {
    assert.equal(countRunning(member), 9);
    assert.ok(member.members().every(other => other.callerAddress !== ''));
  }
});

// Guards against callers being sent to a failed host: one of nine hosts stops
// without notice.
test('a killed host is declared dead by all others within 5 s', () => {
  let slowestMs = 0;
  for (let seed = 1; seed <= 20; seed++) {
    const {clock, members, kill} = createSite(9, seed);
    clock.advanceSync(5_000);
    kill(4);
    const others = members.filter((_, index) => index !== 4);
    let passedMs = 0;
    while (others.some(member => member.get('host-4')?.state !== 'dead')) {
      clock.advanceSync(100);
      passedMs += 100;
      assert.ok(passedMs <= 10_000, `seed ${seed}`);
    }
    slowestMs = Math.max(slowestMs, passedMs);
  }
  assert.ok(slowestMs <= 5_000, `slowest ${slowestMs} ms`);
});

// Guards against healthy hosts being declared dead when one datagram in twenty
// is lost.
test('no host is declared dead in 10 minutes at 5% loss', () => {
  for (let seed = 1; seed <= 3; seed++) {
    const {clock, network, members} = createSite(9, seed);
    clock.advanceSync(5_000);
    network.loss = 0.05;
    let deaths = 0;
    for (const member of members) {
      member.changes.listen(change => {
        if (change.member.state === 'dead') deaths++;
      });
    }
    clock.advanceSync(600_000);
    assert.equal(deaths, 0, `seed ${seed}`);
  }
});

test('a host is known as leaving within 2 s and then as left, not dead', () => {
  const {clock, members, kill} = createSite(36);
  clock.advanceSync(10_000);
  members[7].leave();
  clock.advanceSync(2_000);
  for (const member of members) {
    assert.equal(member.get('host-7')?.state, 'leaving');
  }
  members[7].stop();
  kill(7);
  clock.advanceSync(3_000);
  assert.ok(members[0].get('host-7')?.state === 'left');
});

// Guards against a lasting split after a network partition of one minute. Each
// side holds the other's members as dead, and without contact to dead members
// neither side would learn that they are running.
test('all members are known again after a network partition', () => {
  const {clock, network, members} = createSite(36);
  clock.advanceSync(10_000);
  const sideOf = (address: string) =>
    Number(address.split(':')[1]) - FIRST_PORT < 18;
  network.passes = (from, to) => sideOf(from) === sideOf(to);
  clock.advanceSync(60_000);
  assert.equal(countRunning(members[0]), 18);
  assert.equal(countRunning(members[35]), 18);
  network.passes = () => true;
  clock.advanceSync(60_000);
  for (const member of members) assert.equal(countRunning(member), 36);
});

// Guards against a host that was paused for 10 s, for example by a snapshot or
// SIGSTOP, and then declares the others dead or stays dead in their view.
test('a host that was cut off for 10 s is known as running again', () => {
  const {clock, network, members, listed} = createSite(9);
  clock.advanceSync(5_000);
  const address = listed[3].address;
  network.passes = (from, to) => from !== address && to !== address;
  clock.advanceSync(10_000);
  assert.equal(members[0].get('host-3')?.state, 'dead');
  network.passes = () => true;
  clock.advanceSync(15_000);
  for (const member of members) assert.equal(countRunning(member), 9);
});

test('datagrams sealed with another key are refused', () => {
  const {clock, network, members, listed} = createSite(9);
  clock.advanceSync(5_000);
  const stranger = createMembership(
    {
      clock,
      random: createSeededRandom(9),
      datagrams: network.open('10.0.0.9:1'),
    },
    {
      hostId: 'stranger',
      failureDomain: 'domain-0',
      address: '10.0.0.9:1',
      callerAddress: '10.0.0.9:2',
      peerKey: 'another',
      probeIntervalMs: 500,
      suspicionMs: 1_500,
    },
  );
  stranger.applyHostList(listed);
  stranger.start();
  clock.advanceSync(5_000);
  for (const member of members) assert.equal(countRunning(member), 9);
  assert.ok(members.some(member => member.counts().refusedDatagrams > 0));
});

test('a relayed fact reaches all hosts and is not replaced by an older one', () => {
  const {clock, members} = createSite(36);
  clock.advanceSync(10_000);
  const publish = (index: number, version: number) =>
    members[index].facts.publish({
      key: 'config/head',
      version,
      body: new Uint8Array([version]),
      ttlMs: 60_000,
      reach: 'relayed',
    });
  publish(3, 7);
  clock.advanceSync(2_000);
  publish(5, 6);
  clock.advanceSync(2_000);
  for (const member of members) {
    assert.equal(member.facts.get('config/head')?.version, 7);
  }
});
