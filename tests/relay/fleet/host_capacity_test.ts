import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  toHostCapacity,
  type HostCapacity,
} from '../../../src/relay/fleet/host_capacity.js';
import {createMemberTable} from '../../../src/relay/fleet/members.js';
import {encodeDatagram} from '../../../src/relay/fleet/peer_codec.js';
import {parseDatagram} from '../../../src/relay/fleet/peer_datagrams.js';
import {createReportedMembers} from '../../../src/relay/fleet/reported_members.js';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import {readJsonRelaySettings} from '../../../src/relay/relay_settings.js';
import {
  renderHostFile,
  type TemplateValues,
} from '../../support/host_file_template.js';
import {makeFleet} from './fleet_network.js';

const capacityOf = (name: string): HostCapacity => [
  7 + Number(name.slice(1)),
  0.3,
  200,
];

test('the host file states the capacity where the deployment does, and nothing elsewhere', () => {
  const readCapacity = (values: TemplateValues) =>
    toHostCapacity(readJsonRelaySettings(renderHostFile(values))!.settings);
  assert.equal(readCapacity({}), undefined);
  assert.deepEqual(readCapacity({'limits.link_mbps': '7'}), [7, 0, 0]);
  const complete = {
    'limits.link_mbps': '14.5',
    'limits.cpu_share': '0.27',
    'limits.cores': '3',
    'limits.memory_mb': '186',
  };
  assert.deepEqual(readCapacity(complete), [14.5, 0.81, 186]);
});

test('an invalid capacity is ignored and the rest of the datagram is used', async () => {
  const fleet = makeFleet();
  const [sender, receiver] = await fleet.startMany(2);
  await fleet.clock.advance(1_000);
  const state = parseDatagram(fleet.lastPayload(sender, receiver)!);
  assert.ok(state?.kind === 'state');
  for (const capacity of ['many', [1, 2], [1, 2, -3], [1, null, 3], {}]) {
    const read = parseDatagram(
      encodeDatagram({...state, capacity, sequence: 900}),
    );
    assert.ok(read?.kind === 'state' && read.sequence === 900);
    assert.equal(read.capacity, undefined);
  }
});

test('hosts that learn of each other from a coordinator know all capacities', async () => {
  const fleet = makeFleet();
  const hosts = await fleet.startMany(24, capacityOf);
  await fleet.clock.advance(8_000);
  for (const {name, exchange} of hosts) {
    assert.ok(!exchange.isMesh());
    for (const {hostId, capacity} of exchange.alive()) {
      assert.deepEqual(capacity, capacityOf(hostId), `${hostId} at ${name}`);
    }
  }
});

test('a capacity that changes with a restart reaches all hosts', async () => {
  const fleet = makeFleet();
  const hosts = await fleet.startMany(24, capacityOf);
  await fleet.clock.advance(6_000);
  fleet.kill(['h20']);
  fleet.start('h20', [hosts[0].address], 2, [140, 1.35, 602]);
  await fleet.clock.advance(4_000);
  for (const {name, exchange} of fleet.live()) {
    if (name === 'h20') continue;
    const member = exchange.alive().find(({hostId}) => hostId === 'h20');
    assert.deepEqual(member?.capacity, [140, 1.35, 602], name);
  }
});

test('a capacity that an older coordinator does not pass on is learned later and then kept', async () => {
  // Guards against members without capacity for good during an upgrade: their
  // other fields, and so the digest of older builds, are equal.
  const clock = createVirtualClock();
  const bare = {
    hostId: 'a',
    incarnation: 'a#1',
    peerAddress: 'a:1',
    callerAddress: 'a:80',
    failureDomain: 'raadi',
    state: 'ready' as const,
    isStoreReachable: true,
  };
  const known = {...bare, capacity: capacityOf('h1')};
  const from = {...bare, hostId: 'b'};
  const reported = createReportedMembers({
    clock,
    onChange: () => undefined,
    fetchMembers: () => Promise.resolve([known]),
  });
  const source = createMemberTable();
  source.set(bare);
  const membersDigest = source.digest();
  const ofOlder = {
    membersDigest,
    memberChanges: [{kind: 'up' as const, member: bare}],
  };
  reported.applyView(ofOlder, from, true);
  assert.equal(reported.get('a')?.capacity, undefined);
  source.set(known);
  assert.equal(source.digest(), membersDigest);
  const capacityDigest = source.capacityDigest();
  for (let i = 0; i < 3; i++) {
    const view = {membersDigest, capacityDigest, memberChanges: []};
    reported.applyView(view, from, true);
    await clock.advance(500);
  }
  assert.deepEqual(reported.get('a')?.capacity, known.capacity);
  reported.applyView(ofOlder, from, true);
  assert.deepEqual(reported.get('a')?.capacity, known.capacity);
});
