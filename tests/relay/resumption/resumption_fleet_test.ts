/** Many hosts that keep each other's streams, in virtual time. */

import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Routing} from '../../../src/core/routing_types.js';
import {createSeededRandom} from '../../../src/core/seeded_random.js';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import type {TablePort} from '../../../src/ports/table.js';
import {encodeDatagram} from '../../../src/relay/fleet/peer_codec.js';
import type {OriginMessage} from '../../../src/relay/resumption/origin_messages.js';
import {createResumption} from '../../../src/relay/resumption/resumption.js';
import type {RelayJob} from '../../../src/relay/relay_types.js';
import {createRoutingState} from '../../../src/relay/routing_state.js';
import {createUpstreamRegistry} from '../../../src/relay/store/upstream_registry.js';
import {makeEngine, makeService} from '../placement/lone_scheduler.js';
import {silentLog} from '../../support/silent_log.js';
import {createFakeTable} from '../../coordination/fake_table.js';
import {revisionAt} from '../../support/store_revisions.js';

const service = makeService(30_000);
const route: Routing['routes'][number] = {
  name: 'briefs',
  host: 'x.example',
  prefix: '/',
  kind: 'stream',
  targets: [{service: service.name, weight: 1}],
  maxAttempts: 2,
  timeoutMs: 14_000,
  goalMs: 900,
  gapGoalMs: 300,
  priority: 1,
  isResumable: true,
  isPublic: true,
};
const WINDOW_MS = 2 * route.timeoutMs;
const TRANSIT_MS = 2;
const UDP_HEADER_BYTES = 28;
const MAX_MESH_HOSTS = 16;

const unreadable: Partial<TablePort> = {
  read: () => Promise.resolve({kind: 'failed', reason: 'away'}),
};

/** An empty table that was restored this many times. */
function makeTable(restoredCount: number): TablePort {
  const table = createFakeTable();
  return {
    ...table,
    async read(keys, timeoutMs) {
      const outcome = await table.read(keys, timeoutMs);
      return {...outcome, tableNowMs: 5_000, tableEra: restoredCount};
    },
  };
}

function makeFleet(
  hostCount: number,
  versions: readonly string[],
  table = unreadable as TablePort,
) {
  const clock = createVirtualClock(1_000);
  const random = createSeededRandom(7);
  const ids = Array.from({length: hostCount}, (_, i) => `host-${i}`);
  const dead = new Set<string>();
  const earlier = new Set<string>();
  /** Live hosts that neither send nor receive. */
  const silent = new Set<string>();
  let sentBytes = 0;
  let nextId = 1;

  function makeHost(hostId: string) {
    const registry = createUpstreamRegistry({clock, log: silentLog});
    const routing = createRoutingState(silentLog);
    const limits = {} as Routing['limits'];
    const services = [service];
    const current = {version: 1, routes: [route], services, limits};
    routing.applyIfNewer({...current, accounts: []}, 'store');
    const send = (to: string, message: OriginMessage) => {
      sentBytes += encodeDatagram(message).length + UDP_HEADER_BYTES;
      clock.setTimer(TRANSIT_MS, () => {
        if (dead.has(to) || dead.has(hostId) || earlier.has(to)) return;
        if (silent.has(to) || silent.has(hostId)) return;
        fleet.get(to)?.resumption.receive(hostId, message);
      });
    };
    const resumption = createResumption({
      clock,
      random,
      log: silentLog,
      metrics: {count: () => undefined},
      hostId,
      registry,
      routing,
      peers: () =>
        ids
          .filter(each => each !== hostId && !dead.has(each))
          .map(each => ({hostId: each, state: 'ready'})),
      isMesh: () => hostCount <= MAX_MESH_HOSTS,
      listAgeMs: () => 0,
      table,
      storeEra: () => 0,
      isWriter: () => hostId === 'host-0',
      send,
    });
    const list = (listed: readonly string[], revision: number) => {
      const upstreams = listed.map((version, i) => ({
        ...makeEngine(`d${i}`),
        version,
      }));
      registry.apply({revision: revisionAt(revision), upstreams});
      resumption.noteList();
    };
    list(versions, 1);
    return {resumption, list};
  }

  const fleet = new Map(ids.map(id => [id, makeHost(id)]));
  const hostAt = (hostId: string) => {
    const host = fleet.get(hostId);
    assert.ok(host);
    return host;
  };

  const makeJob = (
    request: Partial<RelayJob['request']>,
    account?: string,
    from = service,
  ) =>
    ({
      request: {arrivedAtMs: clock.nowMs(), waitMs: 14_000, ...request},
      deadlineAtMs: clock.nowMs() + 14_000,
      route,
      service: from,
      admitted: {account: account && {name: account}},
    }) as unknown as RelayJob;

  return {
    clock,
    ids,
    dead,
    earlier,
    silent,
    hostAt,
    sentBytes: () => sentBytes,
    begin(
      hostId: string,
      version: string,
      account?: string,
      from = service,
    ): string {
      const requestId = `${(nextId++).toString(16).padStart(16, '0')}`;
      const job = makeJob({requestId}, account, from);
      hostAt(hostId).resumption.recordBegun(job, version);
      return requestId;
    },
    /** Returns the version at which the stream goes on, if it does. */
    async takeUp(
      hostId: string,
      resumes: string,
      account?: string,
      {waitMs = 250, onDecided = (): unknown => undefined} = {},
    ): Promise<string | undefined> {
      const job = makeJob({lastEventId: '3', resumes}, account);
      const decided = hostAt(hostId).resumption.takeUps.decide(job);
      void decided.then(onDecided);
      for (let i = 0; i < waitMs / 5; i++) await clock.advance(5);
      const takeUp = await decided;
      return takeUp.kind === 'resumed' ? takeUp.version : undefined;
    },
    /** The host's process starts again, and knows nothing. */
    restart(hostId: string): void {
      dead.delete(hostId);
      fleet.set(hostId, makeHost(hostId));
    },
  };
}

test('streams are known after three of nine hosts were killed and started again', async () => {
  // Guards against refusing the callers of hosts that are killed, who are most
  // of those that take up streams.
  const fleet = makeFleet(9, ['v1', 'v2']);
  const begun = fleet.ids
    .flatMap(id => [id, id, id, id])
    .map((id, i) => fleet.begin(id, `v${1 + (i % 2)}`));
  await fleet.clock.advance(TRANSIT_MS);
  const killed = fleet.ids.slice(0, 3);
  for (const id of killed) fleet.dead.add(id);
  for (const id of killed) fleet.restart(id);
  let goOn = 0;
  for (const [i, requestId] of begun.entries()) {
    const version = await fleet.takeUp(fleet.ids[(i * 5) % 9], requestId);
    assert.ok(version === undefined || version === `v${1 + (i % 2)}`);
    if (version) goOn++;
  }
  assert.ok(goOn >= 0.9 * begun.length, `${goOn} of ${begun.length}`);
});

test('another account, and hosts that all started anew, do not go on with a stream', async () => {
  const fleet = makeFleet(9, ['v1', 'v2']);
  const requestId = fleet.begin('host-0', 'v1', 'a');
  await fleet.clock.advance(TRANSIT_MS);
  assert.equal(await fleet.takeUp('host-1', requestId, 'b'), undefined);
  assert.equal(await fleet.takeUp('host-1', requestId, 'a'), 'v1');
  for (const id of fleet.ids) fleet.restart(id);
  // One version in the list does not show that the other did not begin it.
  for (const id of fleet.ids) fleet.hostAt(id).list(['v1'], 2);
  assert.equal(await fleet.takeUp('host-1', requestId, 'a'), undefined);
});

test('a stream does not go on at another version after its route moved to a service with one', async () => {
  // Guards against events of two versions in one stream.
  const fleet = makeFleet(9, ['v1']);
  await fleet.clock.advance(WINDOW_MS);
  const former = {...service, name: 'former'};
  const requestId = fleet.begin('host-0', 'v2', undefined, former);
  assert.equal(await fleet.takeUp('host-0', requestId), undefined);
  const atSame = fleet.begin('host-0', 'v1', undefined, former);
  assert.equal(await fleet.takeUp('host-0', atSame), 'v1');
});

test('a stream goes on without `Resumes` after the first start of a system', async () => {
  // Guards against refusing callers that name no attempt for half a minute.
  const first = makeFleet(9, ['v1'], makeTable(0));
  await first.clock.advance(TRANSIT_MS);
  assert.equal(await first.takeUp('host-1', ''), 'v1');
  for (const id of first.ids) first.hostAt(id).list(['v1', 'v2'], 2);
  await first.clock.advance(TRANSIT_MS);
  for (const id of first.ids) first.restart(id);
  assert.equal(await first.takeUp('host-1', ''), undefined);
});

test('the versions of a store that lost its record are not known at once', async () => {
  const restored = makeFleet(9, ['v1'], makeTable(1));
  await restored.clock.advance(TRANSIT_MS);
  assert.equal(await restored.takeUp('host-1', ''), undefined);
  await restored.clock.advance(WINDOW_MS);
  assert.equal(await restored.takeUp('host-1', ''), 'v1');
});

test('nothing is sent while a service has one version, and all once another appears', async () => {
  const fleet = makeFleet(9, ['v1']);
  await fleet.clock.advance(WINDOW_MS);
  const requestId = fleet.begin('host-0', 'v1');
  assert.equal(fleet.sentBytes(), 0);
  for (const id of fleet.ids) fleet.hostAt(id).list(['v1', 'v2'], 2);
  await fleet.clock.advance(TRANSIT_MS);
  fleet.dead.add('host-0');
  assert.equal(await fleet.takeUp('host-1', requestId), 'v1');
});

test('hosts of an earlier build, which do not answer, do not hold a caller up', async () => {
  const fleet = makeFleet(9, ['v1', 'v2']);
  const requestId = fleet.begin('host-0', 'v2');
  for (const id of fleet.ids.slice(2)) fleet.earlier.add(id);
  await fleet.clock.advance(TRANSIT_MS);
  assert.equal(await fleet.takeUp('host-1', requestId), 'v2');
});

for (const hostCount of [9, 60]) {
  test(`a stream goes on although the hosts that know it are silent for 0.5 s, ${hostCount} hosts`, async () => {
    // Guards against callers that are told to begin anew, since the peers that
    // could tell the version were suspended as they were asked.
    const fleet = makeFleet(hostCount, ['v1', 'v2']);
    const requestId = fleet.begin('host-0', 'v2');
    await fleet.clock.advance(TRANSIT_MS);
    const knows = (id: string) => fleet.hostAt(id).resumption.knownCount() > 0;
    for (const id of fleet.ids.filter(knows)) fleet.silent.add(id);
    fleet.clock.setTimer(500, () => fleet.silent.clear());
    const asked = fleet.ids.find(id => !knows(id))!;
    const wait = {waitMs: 1_000};
    const version = await fleet.takeUp(asked, requestId, undefined, wait);
    assert.equal(version, 'v2');
  });
}

test('a caller does not wait for long where no host knows its stream', async () => {
  const fleet = makeFleet(9, ['v1', 'v2']);
  const atMs = fleet.clock.nowMs();
  for (const id of fleet.ids.slice(2)) fleet.silent.add(id);
  let endedAtMs = Infinity;
  const onDecided = () => (endedAtMs = fleet.clock.nowMs());
  const wait = {waitMs: 2_000, onDecided};
  const takeUp = fleet.takeUp('host-0', 'unknown', undefined, wait);
  assert.equal(await takeUp, undefined);
  assert.ok(endedAtMs - atMs <= 1_000, `${endedAtMs - atMs} ms`);
});

for (const hostCount of [9, 60, 300]) {
  test(`copies take under 2 KB a second and host, ${hostCount} hosts`, async () => {
    // Two streams a second at each host, while versions differ.
    const fleet = makeFleet(hostCount, ['v1', 'v2']);
    for (const id of fleet.ids) {
      fleet.begin(id, 'v1');
      fleet.begin(id, 'v2');
    }
    const bytes = fleet.sentBytes() / hostCount;
    assert.ok(bytes < 2_000, `${bytes} bytes`);
    console.log(`${hostCount} hosts: ${Math.round(bytes)} bytes a second each`);
  });
}
