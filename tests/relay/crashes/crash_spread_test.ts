import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSeededRandom} from '../../../src/core/seeded_random.js';
import type {CrashWatch} from '../../../src/relay/crashes/crash_watch.js';
import {makeFleet, type FleetHost} from '../fleet/fleet_network.js';
import {makeUpstream} from '../store/store_site.js';
import {isRefused, makeRequest, makeWatch} from './crash_site.js';

interface WatchingHost {
  readonly host: FleetHost;
  readonly watch: CrashWatch;
}

/** A fleet whose hosts watch for crashes; each upstream that fails has ended. */
async function startFleet(hostCount: number, seed: number) {
  const fleet = makeFleet(seed);
  const {clock} = fleet;
  const random = createSeededRandom(seed);
  const hosts: WatchingHost[] = (await fleet.startMany(hostCount)).map(host => {
    const watch = makeWatch(clock, {
      onChange: () => host.exchange.changed('coordinators'),
    });
    host.setFindings({losses: watch.takeFacts, applyLosses: watch.applyFacts});
    return {host, watch};
  });
  /** Placements are announced at once, several a second by each host. */
  function announcePlacements(each: WatchingHost): void {
    each.host.exchange.changed('all');
    clock.setTimer(20 + random.nextInt(200), () => announcePlacements(each));
  }
  for (const each of hosts) announcePlacements(each);
  await clock.advance(5_000);

  /** Ends an upstream under one request at each of the given hosts. */
  function crash(upstreamId: string, targets: readonly string[]): void {
    const first = random.nextInt(hosts.length);
    targets.forEach((target, i) => {
      const {watch} = hosts[(first + i) % hosts.length];
      watch
        .startRun(makeRequest(target), makeUpstream(upstreamId))
        .end('broken');
    });
  }
  return {clock, fleet, hosts, crash};
}

const SEEDS_BY_HOST_COUNT: ReadonlyMap<number, readonly number[]> = new Map([
  [9, [1, 2, 4, 5]],
  [40, [1]],
]);

for (const [hostCount, seeds] of SEEDS_BY_HOST_COUNT) {
  test(`losses of a request reach all ${hostCount} hosts beside many suspects`, async () => {
    // Guards against hosts that go on sending a request that crashed three
    // engines, as messages between hosts leave its losses out.
    const late: string[] = [];
    for (const seed of seeds) {
      const {clock, fleet, hosts, crash} = await startFleet(hostCount, seed);
      fleet.lose(0.02);
      for (let i = 0; i < 6; i++) {
        crash(`early-${i}`, [`/early-${i}a`, `/early-${i}b`, `/early-${i}c`]);
        await clock.advance(500);
      }
      for (let i = 0; i < 3; i++) {
        crash(`late-${i}`, ['/poison', `/beside-${i}a`, `/beside-${i}b`]);
        await clock.advance(400);
      }
      await clock.advance(2_600);
      for (const {host, watch} of hosts) {
        if (!isRefused(watch, '/poison')) late.push(`${seed}: ${host.name}`);
      }
    }
    assert.deepEqual(late, []);
  });
}
