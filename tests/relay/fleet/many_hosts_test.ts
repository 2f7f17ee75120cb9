/** Many hosts, of which three hear all and tell the others who lives. */

import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  LIST_CONFIRMED_MS,
  ROUTING_CONFIRMED_MS,
} from '../../../src/relay/store/store_watch.js';
import {makeFleet, type Fleet, type FleetHost} from './fleet_network.js';

/** All have started and coordinators have heard everyone. */
const SETTLED_MS = 8_000;
const MEASURED_MS = 4_000;
/** Aim for control, of each host, in both directions. */
const MOST_BYTES_PER_S = 4_000;
/** A caller loses a second with each try of a dead entry. */
const DEAD_BOUND_MS = 3_000;

async function makeSettled(count: number, seed = 1) {
  const fleet = makeFleet(seed);
  const hosts = await fleet.startMany(count);
  await fleet.clock.advance(SETTLED_MS);
  return {fleet, hosts};
}

/** Every host's own list of the others, this one left out. */
function knowsAll(hosts: readonly FleetHost[], count: number): void {
  for (const {name, exchange} of hosts) {
    assert.equal(exchange.alive().length, count - 1, name);
  }
}

function coordinatorsOf(host: FleetHost): readonly string[] {
  const ids = host.exchange.coordinatorIds();
  assert.equal(ids.length, 3);
  return ids;
}

/** Hosts that a live host still takes for alive though they are not. */
function namedDead(fleet: Fleet, dead: readonly string[]): readonly string[] {
  return fleet.live().flatMap(({name, exchange}) =>
    exchange
      .alive()
      .filter(({hostId}) => dead.includes(hostId))
      .map(({hostId}) => `${name}: ${hostId}`),
  );
}

function ordinary(hosts: readonly FleetHost[]): readonly FleetHost[] {
  const ids = coordinatorsOf(hosts[0]);
  return hosts.filter(({name}) => !ids.includes(name));
}

for (const count of [17, 68, 195]) {
  test(`${count} hosts that start at once all know each other`, async () => {
    const {hosts} = await makeSettled(count);
    knowsAll(hosts, count);
    const named = new Set(hosts.map(each => coordinatorsOf(each).join()));
    assert.equal(named.size, 1, 'all name the same coordinators');
  });
}

test('a dead host is no longer named after three seconds', async () => {
  // Callers are told of an entry that is dark, and lose a second with it. Each
  // host but the coordinators learns of the death from these alone.
  for (const count of [30, 195]) {
    const {fleet, hosts} = await makeSettled(count);
    const [victim] = ordinary(hosts);
    fleet.kill([victim.name]);
    await fleet.clock.advance(DEAD_BOUND_MS);
    assert.deepEqual(namedDead(fleet, [victim.name]), []);
    knowsAll(fleet.live(), count - 1);
  }
});

test('a host that dies with one of the coordinators is out as soon', async () => {
  const {fleet, hosts} = await makeSettled(68);
  for (const position of [0, 1, 2]) {
    const coordinator = coordinatorsOf(fleet.live()[0])[position];
    const victim = fleet.live().find(({name}) => name !== coordinator);
    assert.ok(victim);
    const dead = [victim.name, coordinator];
    fleet.kill(dead);
    await fleet.clock.advance(DEAD_BOUND_MS);
    assert.deepEqual(namedDead(fleet, dead), []);
    await fleet.clock.advance(SETTLED_MS);
  }
  knowsAll(fleet.live(), hosts.length - 6);
});

test('when all coordinators die at once, no host loses the others', async () => {
  // A rack with the three hosts that tell all others who lives goes dark. The
  // others are told nothing until they agree on new ones, and must neither
  // forget who lives nor go on naming the dead for long.
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
  assert.deepEqual(namedDead(fleet, dead), []);
  knowsAll(fleet.live(), 65);
  for (const {name, lostCount} of fleet.live()) {
    assert.ok(lostCount() - (before.get(name) ?? 0) <= 3, name);
  }
});

test('when half of all hosts die at once, the others find each other', async () => {
  for (const seed of [1, 2, 3]) {
    const {fleet, hosts} = await makeSettled(68, seed);
    // Among the dead are the coordinators and half of those that follow them.
    const ids = coordinatorsOf(hosts[0]);
    const others = hosts.map(({name}) => name).filter(id => !ids.includes(id));
    const dead = [...ids, ...others.filter((_, i) => i % 2 === seed % 2)];
    fleet.kill(dead);
    await fleet.clock.advance(12_000);
    assert.deepEqual(namedDead(fleet, dead), []);
    knowsAll(fleet.live(), 68 - dead.length);
  }
});

test('hosts that were parted find each other again', async () => {
  // A failure domain is cut off and both parts go on with coordinators of
  // their own; the seeds in the settings all lie in one part.
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
  knowsAll(fleet.live(), 68);
});

test('a coordinator that stood still tells nobody that all others are dead', async () => {
  // It wakes and has heard no one for seconds. All hosts go by its word: for a
  // moment the answers would name no entry but itself.
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
  knowsAll(hosts, 68);
});

test('a coordinator with a bad link does not take living hosts out', async () => {
  // One packet in five is lost: a host is silent for one coordinator now and
  // then, but hardly for two, and lives for all.
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

test('a host that leaves or joins is told to all within a second', async () => {
  const {fleet, hosts} = await makeSettled(68);
  const [leaving] = ordinary(hosts);
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

test('a new host finds all by one live seed, whichever it is', async () => {
  const {fleet, hosts} = await makeSettled(68);
  const [seed] = ordinary(hosts);
  fleet.start('late', ['gone:1', seed.address]);
  await fleet.clock.advance(2_500);
  knowsAll(fleet.live(), 69);
});

test('all stay confirmed by three readers, however many they are', async () => {
  // Every host reads the store by itself as soon as nobody has confirmed its
  // list for a second. Word of the readers that came the less often, the more
  // hosts there are, came too late from some eighty hosts on, and each host
  // read for itself from then on.
  for (const count of [17, 68, 195]) {
    const {fleet, hosts} = await makeSettled(count);
    let most = 0;
    for (let i = 0; i < 40; i++) {
      await fleet.clock.advance(100);
      for (const each of hosts) most = Math.max(most, each.confirmedAgeMs());
    }
    assert.ok(
      most < Math.min(LIST_CONFIRMED_MS, ROUTING_CONFIRMED_MS),
      `${count}: ${most}`,
    );
  }
});

test('what a host sends and hears does not grow with the number of hosts', async () => {
  // Hundreds of hosts spent most of their time on telling each other that
  // nothing had changed, and their links carried little else.
  const costs: Array<{sent: number; bytes: number; heard: number}> = [];
  for (const count of [30, 195]) {
    const {fleet, hosts} = await makeSettled(count);
    const measured = ordinary(hosts).slice(0, 20);
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
      heard: (after.heard - before.heard) / hostSeconds,
    });
  }
  const [few, many] = costs;
  const text = JSON.stringify(costs);
  assert.ok(many.sent <= 1.1 * few.sent, text);
  assert.ok(many.heard <= 1.1 * few.heard, text);
  assert.ok(many.bytes <= 1.1 * few.bytes, text);
  assert.ok(many.bytes <= MOST_BYTES_PER_S, text);
});

test('a change reaches those that place at once, and hardly anyone else', async () => {
  const {fleet, hosts} = await makeSettled(68);
  const [host, placer] = ordinary(hosts);
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

test('a coordinator does not send to all others in one moment', async () => {
  // Hosts that live are lost all the time: 194 datagrams at once overflow a
  // small host's link, and the same hosts miss theirs each time.
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

test('an answer names other entries each time where there are many', async () => {
  // Each host named the first 63 of its list beside itself: these got all
  // callers, and the others next to none.
  const {hosts} = await makeSettled(195);
  const named = new Map<string, number>();
  for (const host of hosts) {
    const entries = host.entries();
    assert.equal(entries.length, 64);
    assert.equal(new Set(entries).size, 64);
    for (const entry of entries) named.set(entry, (named.get(entry) ?? 0) + 1);
  }
  assert.equal(named.size, 195);
  // 64 on the mean, with a spread of 7.
  assert.ok(Math.max(...named.values()) < 100);
  assert.ok(Math.min(...named.values()) > 30);
});
