import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSeededRandom} from '../../src/core/seeded_random.js';
import {
  createVirtualClock,
  type VirtualClock,
} from '../../src/core/virtual_clock.js';
import {
  createConfigurationKeeper,
  type ApplyOutcome,
  type ConfigurationKeeper,
} from '../../src/coordination/configuration.js';
import {createMembership} from '../../src/coordination/membership.js';
import {createTableClient} from '../../src/coordination/table_client.js';
import {applyDelta, createDelta} from '../../src/coordination/text_delta.js';
import type {ListedHost} from '../../src/ports/table.js';
import {createFakeTable, type FakeTable} from './fake_table.js';
import {createVirtualNetwork} from './virtual_network.js';

const HOSTS = 9;

/** Creates nine hosts with membership that share one table. */
function createSite(clock: VirtualClock, table: FakeTable, seed: number) {
  const network = createVirtualNetwork(clock, createSeededRandom(seed));
  const listed = Array.from({length: HOSTS}, (_, index): ListedHost => ({
    hostId: `host-${index}`,
    failureDomain: `domain-${index % 4}`,
    address: `10.0.0.1:${10_000 + index}`,
    role: 'router',
    state: 'live',
  }));
  const running = new Map<string, ConfigurationKeeper>();
  let startCount = 0;
  /** Newest revision in force by host, kept across its restarts. */
  const newest = new Map<string, number>();
  let backwardSteps = 0;

  function start(index: number) {
    const {hostId, failureDomain, address} = listed[index];
    const random = createSeededRandom(seed * 1_000 + startCount++);
    const port = network.open(address);
    const membership = createMembership(
      {clock, random, datagrams: port},
      {
        hostId,
        failureDomain,
        address,
        callerAddress: address,
        peerKey: 'secret',
        probeIntervalMs: 500,
        suspicionMs: 1_500,
      },
    );
    membership.applyHostList(listed);
    const client = createTableClient(
      {clock, random, table},
      {
        hostCount: () => HOSTS,
        fleetWritesPerSecond: 300,
        fleetReadsPerSecond: 2_000,
        callTimeoutMs: 300,
      },
    );
    const keeper = createConfigurationKeeper(
      {
        clock,
        random,
        table: client,
        facts: membership.facts,
        peers: () =>
          membership
            .members()
            .map(member => member.hostId)
            .filter(other => other !== hostId),
        fetchFromPeer: async peerId => running.get(peerId)?.current(),
        check: body => (body.includes('bad') ? ['bad'] : []),
      },
      {hostId},
    );
    keeper.changes.listen(({revision}) => {
      if (revision < (newest.get(hostId) ?? 0)) backwardSteps++;
      newest.set(hostId, revision);
    });
    membership.start();
    keeper.start();
    running.set(hostId, keeper);
    const kill = () => {
      port.close();
      port.send = () => undefined;
      membership.stop();
      keeper.stop();
      running.delete(hostId);
    };
    return {hostId, keeper, kill};
  }

  const hosts = listed.map((_, index) => start(index));
  return {hosts, start, countBackwardSteps: () => backwardSteps};
}

const createChange = (basedOn: number, changeId: string) => ({
  basedOn,
  changeId,
  author: 'kati',
  comment: '',
  body: `revision: ${basedOn + 1}\nchange: ${changeId}\n`,
});

/** Advances the clock until `pending` has settled. */
async function settle<T>(clock: VirtualClock, pending: Promise<T>): Promise<T> {
  let isDone = false;
  const ended = pending.finally(() => {
    isDone = true;
  });
  while (!isDone) await clock.advance(50);
  return ended;
}

const applyIn = (
  clock: VirtualClock,
  keeper: ConfigurationKeeper,
  change: ReturnType<typeof createChange>,
): Promise<ApplyOutcome> => settle(clock, keeper.apply(change));

// Guards against an accepted change that some hosts never apply. The platform
// becomes unavailable right after the write, so hosts learn of the new head by
// gossip and have to fetch the revision from each other.
test('a change is in force on all hosts in 2 s, or 5 s without the platform', async () => {
  for (let seed = 1; seed <= 5; seed++) {
    const clock = createVirtualClock(1_000_000);
    const table = createFakeTable();
    const {hosts} = createSite(clock, table, seed);
    await clock.advance(5_000);
    const first = await applyIn(clock, hosts[2].keeper, createChange(0, 'a'));
    assert.equal(first.kind, 'accepted');
    await clock.advance(1_800);
    const getRevisions = () =>
      hosts.map(host => host.keeper.status().inForceRevision);
    assert.deepEqual(new Set(getRevisions()), new Set([1]));
    const second = await applyIn(clock, hosts[5].keeper, createChange(1, 'b'));
    assert.equal(second.kind, 'accepted');
    table.isDown = true;
    await clock.advance(4_800);
    assert.deepEqual(new Set(getRevisions()), new Set([2]), `seed ${seed}`);
  }
});

// Guards against an older configuration coming into force again. Hosts are
// killed and replaced while changes are made and the platform is at times
// unavailable; a host that starts without it must not adopt an older revision.
test('no host goes back to an older revision in 100 kills and restarts', async () => {
  const clock = createVirtualClock(1_000_000);
  const table = createFakeTable();
  const {hosts, start, countBackwardSteps} = createSite(clock, table, 3);
  const random = createSeededRandom(77);
  await clock.advance(3_000);
  let head = 0;
  for (let round = 0; round < 100; round++) {
    table.isDown = random.nextFloat() < 0.4;
    const index = random.nextInt(HOSTS);
    hosts[index].kill();
    await clock.advance(500);
    hosts[index] = start(index);
    await clock.advance(1_500);
    const author = hosts[random.nextInt(HOSTS)].keeper;
    const change = createChange(head, `c${round}`);
    const outcome = table.isDown
      ? undefined
      : await applyIn(clock, author, change);
    if (outcome?.kind === 'accepted') head++;
    await clock.advance(3_000);
    assert.equal(countBackwardSteps(), 0, `round ${round}`);
  }
  assert.ok(head > 40);
  table.isDown = false;
  await clock.advance(10_000);
  for (const {keeper} of hosts) {
    assert.equal(keeper.status().inForceRevision, head);
  }
});

// Guards against a wrong outcome for one of several concurrent changes. Three
// operators change the same revision at once; for one write in ten the answer
// is lost before or after its effect, or the write is applied late.
test('each of three concurrent changes gets the right outcome in 1,000 races', async () => {
  const clock = createVirtualClock(1_000_000);
  const table = createFakeTable();
  const {hosts} = createSite(clock, table, 8);
  hosts.slice(3).forEach(host => host.kill());
  const faults = createSeededRandom(5);
  table.nextFault = () =>
    faults.nextFloat() < 0.1
      ? (['lost-before', 'lost-after', 'late'] as const)[faults.nextInt(3)]
      : 'none';
  const counts = {accepted: 0, lost: 0, unknown: 0};
  for (let race = 0; race < 1_000; race++) {
    const ids = [0, 1, 2].map(index => `${race}-${index}`);
    const pending = ids.map((id, index) =>
      hosts[index].keeper.apply(createChange(race, id)),
    );
    await clock.advance(300);
    table.applyLate();
    const outcomes = await settle(clock, Promise.all(pending));
    const row = [...table.rows.values()].find(
      found =>
        found.key.startsWith('config/revision/') &&
        found.value.revision === race + 1,
    );
    outcomes.forEach((outcome, index) => {
      const isOurs = row?.value.changeId === ids[index];
      if (outcome.kind === 'accepted') assert.ok(isOurs, `race ${race}`);
      else if (outcome.kind === 'lost') assert.ok(!isOurs, `race ${race}`);
      else assert.equal(outcome.kind, 'unknown');
      counts[outcome.kind as keyof typeof counts]++;
    });
  }
  assert.equal(counts.accepted, 1_000);
  assert.equal(counts.unknown, 0);
});

test('a retry with the same change id returns the first outcome', async () => {
  const clock = createVirtualClock(1_000_000);
  const table = createFakeTable();
  const {hosts} = createSite(clock, table, 4);
  await clock.advance(3_000);
  await applyIn(clock, hosts[0].keeper, createChange(0, 'a'));
  await applyIn(clock, hosts[1].keeper, createChange(1, 'b'));
  const again = await applyIn(clock, hosts[2].keeper, createChange(0, 'a'));
  assert.equal(again.kind, 'accepted');
  const late = await applyIn(clock, hosts[2].keeper, createChange(0, 'c'));
  assert.equal(late.kind, 'lost');
  if (late.kind !== 'lost') return;
  assert.equal(late.to.author, 'kati');
  assert.match(late.difference, /\+change: a/);
});

test('a rollback creates a new revision and appears in the history', async () => {
  const clock = createVirtualClock(1_000_000);
  const table = createFakeTable();
  const {hosts} = createSite(clock, table, 6);
  await clock.advance(3_000);
  for (let n = 0; n < 20; n++) {
    await applyIn(clock, hosts[0].keeper, createChange(n, `c${n}`));
  }
  const change = createChange(20, 'back');
  const outcome = await settle(clock, hosts[3].keeper.rollback(7, change));
  assert.equal(outcome.kind, 'accepted');
  await clock.advance(2_000);
  assert.match(hosts[8].keeper.current()!.body, /change: c6/);
  const history = await hosts[1].keeper.history(3);
  assert.ok(history.kind === 'read');
  assert.deepEqual(
    history.value.map(row => row.changeId),
    ['back', 'c19', 'c18'],
  );
});

test('an invalid body is reported as invalid and is not written', async () => {
  const clock = createVirtualClock(1_000_000);
  const table = createFakeTable();
  const {hosts} = createSite(clock, table, 6);
  await clock.advance(3_000);
  const bad = {...createChange(0, 'x'), body: 'bad'};
  const outcome = await applyIn(clock, hosts[0].keeper, bad);
  assert.equal(outcome.kind, 'invalid');
  assert.equal(table.rows.size, 0);
});

test('applying a delta restores the new text', () => {
  const random = createSeededRandom(1);
  const createText = () =>
    Array.from({length: random.nextInt(8)}, () => `${random.nextInt(3)}`).join(
      '\n',
    );
  for (let i = 0; i < 2_000; i++) {
    const [before, after] = [createText(), createText()];
    assert.equal(applyDelta(before, createDelta(before, after)), after);
  }
});
