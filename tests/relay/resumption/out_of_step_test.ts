import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createFakeTable} from '../../coordination/fake_table.js';
import {
  makeFleet,
  makeTable,
  service,
  TRANSIT_MS,
  WINDOW_MS,
} from './resumption_fleet.js';

const NEXT = {service: service.name, version: 'v2'};
/** How long ago the streams began that are taken up. */
const AGES_MS = [0, 300, 1_000, 3_000] as const;
/** A host waits this long at most for peers that do not answer. */
const DECISION_MS = 1_000;
const LATE = 'host-8';

for (const [cause, isListed] of [
  ['cut off from its peers', true],
  ['standing still, so its list is older too', false],
] as const) {
  test(`a stream keeps its version at a host that was ${cause} while that version joined`, async () => {
    // Guards against a stream that is taken for one of the only version known.
    for (const ageMs of AGES_MS) {
      const fleet = makeFleet(9, ['v1'], makeTable(0, createFakeTable()));
      await fleet.clock.advance(WINDOW_MS);
      const others = fleet.ids.filter(id => id !== LATE);
      fleet.silent.add(LATE);
      for (const id of others) fleet.hostAt(id).list(['v1', 'v2'], 2);
      if (isListed) fleet.hostAt(LATE).list(['v1', 'v2'], 2);
      const mayBegin = () => fleet.hostAt(others[0]).resumption.mayBegin(NEXT);
      for (let ms = 0; ms < 5_000 && !mayBegin(); ms += 10) {
        await fleet.clock.advance(10);
      }
      assert.ok(mayBegin());
      const requestId = fleet.begin(others[0], NEXT.version);
      await fleet.clock.advance(TRANSIT_MS + ageMs);
      const options = {waitMs: DECISION_MS};
      const takeUp = () => fleet.takeUp(LATE, requestId, undefined, options);
      const version = await takeUp();
      assert.ok(version === undefined || version === NEXT.version, version);
      fleet.silent.delete(LATE);
      fleet.hostAt(LATE).list(['v1', 'v2'], 3);
      assert.equal(await takeUp(), NEXT.version);
    }
  });
}
