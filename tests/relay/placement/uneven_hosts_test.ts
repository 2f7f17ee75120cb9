import assert from 'node:assert/strict';
import {test} from 'node:test';
import {rankHost} from '../../../src/relay/fleet/coordinators.js';
import type {HostCapacity} from '../../../src/relay/fleet/host_capacity.js';
import {rankOwners} from '../../../src/relay/fleet/owners.js';
import {createPlacementGroups} from '../../../src/relay/placement/placement_groups.js';
import {simulateBurst, type BurstResult} from './burst_load.js';

const IDS = Array.from({length: 63}, (_, i) => `host-${i}`);
const LARGE: HostCapacity = [140, 1.35, 602];

type CapacityOf = (hostId: string) => HostCapacity | undefined;

function makeGroups(capacityOf: CapacityOf, hostId = 'host-0') {
  return createPlacementGroups({
    hostId,
    isReady: () => true,
    capacity: () => capacityOf(hostId),
    peers: () =>
      IDS.filter(id => id !== hostId).map(id => ({
        hostId: id,
        isReady: true,
        capacity: capacityOf(id),
      })),
    engines: () => [],
    usedEngineIds: () => [],
  });
}

function shareOnTime({onTime, late, refused}: BurstResult): number {
  return onTime / (onTime + late + refused);
}

/** The hosts in the order of placers without capacities. */
const ranked = [...IDS].sort((a, b) => rankHost(a) - rankHost(b));

test('equal or unknown capacities choose the same placers and keepers as before', () => {
  for (const capacityOf of [() => undefined, () => LARGE]) {
    const groups = makeGroups(capacityOf);
    assert.deepEqual(groups.placers(), ranked.slice(0, 2));
    for (const service of ['storas-app', 'otra']) {
      const expected = rankOwners('keeper', service, IDS).slice(0, 2);
      assert.deepEqual(groups.keepers(service), expected);
    }
  }
});

test('hosts with a slow link, few cores or unknown capacity neither place nor keep slots', () => {
  // Guards against a keeper with a 7 Mbit/s link, which a burst of queued calls
  // exceeded, so that every host chose upstreams by itself.
  const keepers = rankOwners('keeper', 'storas-app', IDS);
  const unfit = new Map<string, HostCapacity | undefined>([
    [ranked[0], [34, 1.35, 602]],
    [ranked[1], [140, 0.6, 602]],
    [ranked[2], undefined],
    [keepers[0], [7, 1.35, 602]],
  ]);
  const groups = makeGroups(id => (unfit.has(id) ? unfit.get(id) : LARGE));
  const fit = (ids: readonly string[]) => ids.filter(id => !unfit.has(id));
  assert.deepEqual(groups.placers(), fit(ranked).slice(0, 2));
  const chosen = groups.keepers('storas-app');
  assert.deepEqual(chosen, fit(keepers).slice(0, 2));
});

test('a deployment without enough able hosts still has a placer and a standby', () => {
  // Guards against an empty group: the host with the fastest link may have the
  // fewest cores.
  const groups = makeGroups(id => {
    if (id === 'host-5') return [140, 0.5, 600];
    return id === 'host-6' ? [30, 1.35, 600] : [7, 0.4, 600];
  });
  assert.deepEqual([...groups.placers()].sort(), ['host-5', 'host-6']);
});

test('hosts that know different capacities for a moment do no lasting harm', async t => {
  // Guards against two placers that reserve the same memory, and reservations
  // that are left at the former placer: a third of the hosts learn late, in a
  // burst, that the first placer is too small.
  const isLate = (id: string) => Number(id.slice('host-'.length)) % 3 === 1;
  const ofTwenty = ranked.filter(id => Number(id.slice('host-'.length)) < 20);
  const capacityOf = (knownBy: string, id: string): HostCapacity | undefined =>
    isLate(knownBy) || id !== ofTwenty[0] ? LARGE : [7, 0.3, 200];
  for (const seed of [1, 2, 3]) {
    const load = {
      seed,
      hostCount: 20,
      prefillEngines: 3,
      decodeEngines: 10,
      calmPerS: 12.7,
      burstPerS: 27,
      burstMs: 4_000,
      capacityOf,
    };
    const agreed = await simulateBurst(load);
    const late = await simulateBurst({...load, agreeAfterMs: 4_000});
    t.diagnostic(JSON.stringify({seed, agreed, late}));
    const seen = JSON.stringify({seed, agreed, late});
    assert.equal(late.usedAtEnd, 0, seen);
    assert.ok(late.highestUse < 1.1, seen);
    assert.ok(shareOnTime(late) >= shareOnTime(agreed) - 0.05, seen);
  }
});
