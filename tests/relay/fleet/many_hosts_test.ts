/**
 * Tests of a large deployment, in which three coordinators inform all others.
 */

import assert from 'node:assert/strict';
import {test} from 'node:test';
import {MAX_UNCONFIRMED_LIST_MS} from '../../../src/relay/store/list_watch.js';
import {MAX_UNCONFIRMED_ROUTING_MS} from '../../../src/relay/store/routing_watch.js';
import {makeFleet, type Fleet, type FleetHost} from './fleet_network.js';

/** All hosts have started, and the coordinators have received all states. */
const SETTLED_MS = 8_000;
const MEASURED_MS = 4_000;
/** Target for the control traffic of each host, in both directions. */
const MAX_BYTES_PER_S = 4_000;
/** A caller loses a second with each attempt to connect to a dead host. */
const DEATH_DETECTED_MS = 3_000;

async function makeSettled(count: number, seed = 1) {
  const fleet = makeFleet(seed);
  const hosts = await fleet.startMany(count);
  await fleet.clock.advance(SETTLED_MS);
  return {fleet, hosts};
}

/** Asserts that each host lists all others. */
function assertAllListed(hosts: readonly FleetHost[], count: number): void {
  for (const {name, exchange} of hosts) {
    assert.equal(exchange.alive().length, count - 1, name);
  }
}

function coordinatorsOf(host: FleetHost): readonly string[] {
  const ids = host.exchange.coordinatorIds();
  assert.equal(ids.length, 3);
  return ids;
}

/** Dead hosts that a live host still lists. */
function listedDead(fleet: Fleet, dead: readonly string[]): readonly string[] {
  return fleet.live().flatMap(({name, exchange}) =>
    exchange
      .alive()
      .filter(({hostId}) => dead.includes(hostId))
      .map(({hostId}) => `${name}: ${hostId}`),
  );
}

function followersOf(hosts: readonly FleetHost[]): readonly FleetHost[] {
  const ids = coordinatorsOf(hosts[0]);
  return hosts.filter(({name}) => !ids.includes(name));
}

for (const count of [17, 68, 195]) {
  test(`${count} hosts that start together all find each other`, async () => {
    const {hosts} = await makeSettled(count);
    assertAllListed(hosts, count);
    const named = new Set(hosts.map(each => coordinatorsOf(each).join()));
    assert.equal(named.size, 1, 'all hosts choose the same coordinators');
  });
}

test('a dead host is no longer listed after three seconds', async () => {
  // Guards against directory answers that name a dead host, at which a caller
  // loses a second. Followers learn of the death from the coordinators alone.
  for (const count of [30, 195]) {
    const {fleet, hosts} = await makeSettled(count);
    const [victim] = followersOf(hosts);
    fleet.kill([victim.name]);
    await fleet.clock.advance(DEATH_DETECTED_MS);
    assert.deepEqual(listedDead(fleet, [victim.name]), []);
    assertAllListed(fleet.live(), count - 1);
  }
});

test('a host that dies together with a coordinator is removed as quickly', async () => {
  const {fleet, hosts} = await makeSettled(68);
  for (const position of [0, 1, 2]) {
    const coordinator = coordinatorsOf(fleet.live()[0])[position];
    const victim = fleet.live().find(({name}) => name !== coordinator);
    assert.ok(victim);
    const dead = [victim.name, coordinator];
    fleet.kill(dead);
    await fleet.clock.advance(DEATH_DETECTED_MS);
    assert.deepEqual(listedDead(fleet, dead), []);
    await fleet.clock.advance(SETTLED_MS);
  }
  assertAllListed(fleet.live(), hosts.length - 6);
});

test('when all coordinators die at once, no host loses the live ones', async () => {
  // Guards against a failed rack that contains all three coordinators. Until
  // the others agree on new ones, no host receives views; it must neither
  // forget the live hosts nor list the dead ones for long.
  const {fleet, hosts} = await makeSettled(68);
  const dead = coordinatorsOf(hosts[0]);
  const before = new Map(hosts.map(each => [each.name, each.lostCount()]));
  fleet.kill(dead);
  for (let i = 0; i < 20; i++) {
    await fleet.clock.advance(500);
    for (const {name, exchange} of fleet.live()) {
      assert.ok(exchange.alive().length >= 64, `${name} after ${i}`);
    }
  }
  assert.deepEqual(listedDead(fleet, dead), []);
  assertAllListed(fleet.live(), 65);
  for (const {name, lostCount} of fleet.live()) {
    assert.ok(lostCount() - (before.get(name) ?? 0) <= 3, name);
  }
});

test('when half of the hosts die at once, the others form a new list', async () => {
  for (const seed of [1, 2, 3]) {
    const {fleet, hosts} = await makeSettled(68, seed);
    // The coordinators and half of their followers die.
    const ids = coordinatorsOf(hosts[0]);
    const others = hosts.map(({name}) => name).filter(id => !ids.includes(id));
    const dead = [...ids, ...others.filter((_, i) => i % 2 === seed % 2)];
    fleet.kill(dead);
    await fleet.clock.advance(12_000);
    assert.deepEqual(listedDead(fleet, dead), []);
    assertAllListed(fleet.live(), 68 - dead.length);
  }
});

test('hosts find each other again after a partition', async () => {
  // A failure domain is cut off, and both sides elect coordinators of their
  // own. All seeds from the settings are on one side.
  const {fleet} = await makeSettled(68);
  const indexOf = (address: string) => Number(address.slice(1, -2));
  const isThere = (address: string) =>
    indexOf(address) > 2 && indexOf(address) % 3 === 2;
  fleet.cutBetween(isThere);
  await fleet.clock.advance(12_000);
  const parts = [0, 0];
  for (const {address} of fleet.live()) parts[Number(isThere(address))]++;
  for (const {name, address, exchange} of fleet.live()) {
    const part = parts[Number(isThere(address))];
    assert.equal(exchange.alive().length, part - 1, name);
  }
  fleet.heal();
  await fleet.clock.advance(6_000);
  assertAllListed(fleet.live(), 68);
});

test('a suspended coordinator does not report all others as dead', async () => {
  // Guards against a resumed coordinator that received nothing for seconds and
  // reports all others as dead. Its followers would name no host but the
  // coordinator for a moment.
  const {fleet, hosts} = await makeSettled(68);
  const [first] = coordinatorsOf(hosts[0]);
  const frozen = hosts.find(({name}) => name === first);
  assert.ok(frozen);
  frozen.freeze(6_000);
  for (let i = 0; i < 50; i++) {
    await fleet.clock.advance(200);
    for (const {name, exchange} of hosts) {
      assert.ok(exchange.alive().length >= 66, `${name} at ${i}`);
    }
  }
  assertAllListed(hosts, 68);
});

test('a coordinator with a lossy link does not remove live hosts', async () => {
  // One packet in five is lost. A host is often silent to one coordinator but
  // rarely to two, so it must stay alive for all.
  const {fleet, hosts} = await makeSettled(68);
  const before = hosts.map(each => each.lostCount());
  fleet.lose(0.2);
  for (let i = 0; i < 10; i++) {
    await fleet.clock.advance(1_000);
    for (const each of hosts) each.exchange.alive();
  }
  const lost = hosts.map((each, i) => each.lostCount() - before[i]);
  const total = lost.reduce((sum, each) => sum + each, 0);
  assert.equal(total, 0, lost.join());
});

test('a leaving or joining host is known everywhere within a second', async () => {
  const {fleet, hosts} = await makeSettled(68);
  const [leaving] = followersOf(hosts);
  leaving.setState('leaving');
  await fleet.clock.advance(1_000);
  for (const each of fleet.live()) {
    const [member] = each.exchange
      .alive()
      .filter(({hostId}) => hostId === leaving.name);
    if (each !== leaving) assert.equal(member.state, 'leaving', each.name);
  }
  fleet.kill([leaving.name]);
  await fleet.clock.advance(500);
  fleet.start(leaving.name, ['h0:1'], 2);
  await fleet.clock.advance(2_000);
  for (const each of fleet.live()) {
    const known = each.exchange.members();
    const member = known.find(({hostId}) => hostId === leaving.name);
    assert.equal(member?.incarnation, `${leaving.name}#2`, each.name);
    assert.equal(member.state, 'ready', each.name);
  }
});

test('a new host finds all others through any one live seed', async () => {
  const {fleet, hosts} = await makeSettled(68);
  const [seed] = followersOf(hosts);
  fleet.start('late', ['gone:1', seed.address]);
  await fleet.clock.advance(2_500);
  assertAllListed(fleet.live(), 69);
});

test('three readers keep any number of hosts confirmed', async () => {
  // Guards against confirmations that become rarer with more hosts. A host
  // reads the store itself when its list was not confirmed for a second; at
  // about 80 hosts, confirmations came too late and every host kept reading.
  for (const count of [17, 68, 195]) {
    const {fleet, hosts} = await makeSettled(count);
    let most = 0;
    for (let i = 0; i < 40; i++) {
      await fleet.clock.advance(100);
      for (const each of hosts) most = Math.max(most, each.confirmedAgeMs());
    }
    assert.ok(
      most < Math.min(MAX_UNCONFIRMED_LIST_MS, MAX_UNCONFIRMED_ROUTING_MS),
      `${count}: ${most}`,
    );
  }
});

test('traffic per host does not grow with the number of hosts', async () => {
  // Guards against control traffic that grows with the deployment. With
  // hundreds of hosts, most of their time and bandwidth went into messages
  // without changes.
  const costs: Array<{sent: number; bytes: number; received: number}> = [];
  for (const count of [30, 195]) {
    const {fleet, hosts} = await makeSettled(count);
    const measured = followersOf(hosts).slice(0, 20);
    const add = () =>
      measured
        .map(({name}) => fleet.trafficOf(name))
        .reduce((a, b) => ({
          sent: a.sent + b.sent,
          bytes: a.bytes + b.bytes,
          heard: a.heard + b.heard,
        }));
    const before = add();
    await fleet.clock.advance(MEASURED_MS);
    const after = add();
    const hostSeconds = (measured.length * MEASURED_MS) / 1_000;
    costs.push({
      sent: (after.sent - before.sent) / hostSeconds,
      bytes: (after.bytes - before.bytes) / hostSeconds,
      received: (after.heard - before.heard) / hostSeconds,
    });
  }
  const [few, many] = costs;
  const text = JSON.stringify(costs);
  assert.ok(many.sent <= 1.1 * few.sent, text);
  assert.ok(many.received <= 1.1 * few.received, text);
  assert.ok(many.bytes <= 1.1 * few.bytes, text);
  assert.ok(many.bytes <= MAX_BYTES_PER_S, text);
});

test('a change reaches the placers immediately and few other hosts', async () => {
  const {fleet, hosts} = await makeSettled(68);
  const [host, placer] = followersOf(hosts);
  host.setNear([placer.name]);
  await fleet.clock.advance(1_000);
  const before = fleet.trafficOf(host.name).sent;
  fleet.change(host);
  await fleet.clock.advance(6);
  const near = fleet.trafficOf(host.name).sent - before;
  assert.ok(near >= 1 && near <= 4, String(near));
  fleet.change(host, 'all');
  await fleet.clock.advance(6);
  assert.equal(fleet.trafficOf(host.name).sent - before - near, 4);
});

test('a coordinator does not send to all others at once', async () => {
  // Guards against 194 datagrams at once, which overflow a small host's link.
  // The same hosts miss theirs each time and are declared dead though alive.
  const {fleet, hosts} = await makeSettled(195);
  const [coordinator] = coordinatorsOf(hosts[0]);
  let most = 0;
  for (let i = 0; i < 40; i++) {
    const before = fleet.trafficOf(coordinator).sent;
    await fleet.clock.advance(50);
    const now = fleet.trafficOf(coordinator).sent - before;
    most = Math.max(most, now);
  }
  assert.ok(most <= 100, `${most} at once`);
});

test('directory answers vary in a large deployment', async () => {
  // Guards against uneven load: each host named itself and the first 63 hosts
  // of its list, so these received almost all callers.
  const {hosts} = await makeSettled(195);
  const named = new Map<string, number>();
  for (const host of hosts) {
    const entries = host.entries();
    assert.equal(entries.length, 64);
    assert.equal(new Set(entries).size, 64);
    for (const entry of entries) named.set(entry, (named.get(entry) ?? 0) + 1);
  }
  assert.equal(named.size, 195);
  // The mean is 64 with a standard deviation of 7.
  assert.ok(Math.max(...named.values()) < 100);
  assert.ok(Math.min(...named.values()) > 30);
});
