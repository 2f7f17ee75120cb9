import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createPlacementGroups,
  assignToGroups,
  type GroupedEngine,
} from '../../../src/relay/placement/placement_groups.js';

function makeIds(prefix: string, count: number): readonly string[] {
  return Array.from({length: count}, (_, i) => `${prefix}-${i}`);
}

function makeEngines(decode: number, prefill: number): GroupedEngine[] {
  const service = 'brief-llm';
  return [
    ...makeIds('d', decode).map(id => ({id, service, role: 'decode' as const})),
    ...makeIds('p', prefill).map(id => ({
      id,
      service,
      role: 'prefill' as const,
    })),
  ];
}

function makeGroups(
  hostId: string,
  hostIds: readonly string[],
  engines: readonly GroupedEngine[],
  used: readonly string[] = [],
  leaving: readonly string[] = [],
) {
  return createPlacementGroups({
    hostId,
    isReady: () => true,
    peers: () =>
      hostIds
        .filter(id => id !== hostId)
        .map(id => ({hostId: id, isReady: !leaving.includes(id)})),
    engines: () => engines,
    usedEngineIds: () => used,
  });
}

test('few hosts share all engines and announce every change to each other', () => {
  const hosts = makeIds('host', 9);
  const groups = makeGroups('host-3', hosts, makeEngines(9, 4));
  assert.ok(
    hosts.every(id => groups.isUpdatedAtOnce(id) && groups.isInOwnGroup(id)),
  );
  assert.ok(makeEngines(9, 4).every(({id}) => groups.isPreferred(id)));
});

test('all hosts of a group have the same placer and standby', () => {
  const hosts = makeIds('host', 90);
  const engines = makeEngines(50, 13);
  const named = new Set(
    hosts.map(id => makeGroups(id, hosts, engines).placers().join()),
  );
  assert.equal(named.size, 1);
  const [placers] = [...named].map(each => each.split(','));
  assert.equal(placers.length, 2);
  const other = hosts.find(id => !placers.includes(id))!;
  const groups = makeGroups(other, hosts, engines);
  assert.deepEqual(
    hosts.filter(id => id !== other && groups.isUpdatedAtOnce(id)).sort(),
    [...placers].sort(),
  );
});

test('a placer that begins to leave is replaced by its standby', () => {
  const hosts = makeIds('host', 90);
  const engines = makeEngines(50, 13);
  const [first, standby] = makeGroups('host-0', hosts, engines).placers();
  const self = hosts.find(id => id !== first && id !== standby)!;
  const groups = makeGroups(self, hosts, engines, [], [first]);
  assert.equal(groups.placers()[0], standby);
});

test('each engine of a very large deployment is preferred by one group', () => {
  const hosts = makeIds('host', 300);
  const engines = makeEngines(150, 45);
  const users = new Map<string, number>();
  for (const hostId of hosts) {
    const groups = makeGroups(hostId, hosts, engines);
    for (const {id} of engines) {
      if (groups.isPreferred(id)) users.set(id, (users.get(id) ?? 0) + 1);
    }
  }
  for (const {id} of engines) assert.equal(users.get(id), 100, id);
});

test('a host that uses an engine of another group updates the placer of that group at once', () => {
  const hosts = makeIds('host', 300);
  const engines = makeEngines(150, 45);
  const idle = makeGroups('host-0', hosts, engines);
  const foreign = engines.find(({id}) => !idle.isPreferred(id))!;
  const user = hosts.find(id => idle.isPreferredBy(id, foreign.id))!;
  const [placer] = makeGroups(user, hosts, engines).placers();
  assert.equal(idle.isUpdatedAtOnce(placer), false);
  const borrower = makeGroups('host-0', hosts, engines, [foreign.id]);
  assert.equal(borrower.isUpdatedAtOnce(placer), true);
  assert.equal(borrower.isInOwnGroup(placer), false);
});

test('a few engines are shared by all, however many hosts there are', () => {
  const hosts = makeIds('host', 90);
  const engines = makeEngines(3, 1);
  const groups = makeGroups('host-7', hosts, engines);
  assert.ok(engines.every(({id}) => groups.isPreferred(id)));
});

test('adding or removing one engine moves few others to another group', () => {
  // During a rolling release engines come and go each second, and an engine
  // that changes groups is used with load data that is a second old.
  const ids = makeIds('engine', 60);
  const before = assignToGroups(ids, 4);
  const after = assignToGroups(
    ids.filter(id => id !== 'engine-17'),
    4,
  );
  const moved = [...after].filter(([id, group]) => before.get(id) !== group);
  assert.ok(moved.length <= 6, `${moved.length} moved`);
});
