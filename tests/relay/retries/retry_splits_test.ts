import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createFleetSize} from '../../../src/relay/fleet/fleet_size.js';
import {ownPart, ownersPart} from '../../../src/relay/retries/retry_rules.js';

const RETRY_SLACK = 176;
const HOST_COUNTS = [9, 54, 68, 150];

test('hosts that start while all are cut off keep to the shared retries together', () => {
  // Guards against hosts that count themselves alone and each take a large part.
  for (const hostCount of HOST_COUNTS) {
    const size = createFleetSize({
      hostId: 'a',
      hasSeeds: true,
      knownPeerCount: () => 0,
    });
    const part = ownPart(RETRY_SLACK, {knownCount: size.count()});
    assert.ok(part * hostCount <= RETRY_SLACK, `${hostCount}: ${part}`);
  }
});

test('the owners and hosts on all sides of any split keep to the shared retries', () => {
  // Guards against an owner on each side that grants what all hosts leave.
  for (const hostCount of HOST_COUNTS) {
    const hosts = {knownCount: hostCount};
    for (let sideCount = 1; sideCount <= hostCount; sideCount++) {
      const own = ownPart(RETRY_SLACK, hosts) * hostCount;
      let granted = 0;
      for (let side = 0; side < sideCount; side++) {
        const size = Math.floor((hostCount + side) / sideCount);
        granted += ownersPart(RETRY_SLACK, hosts, size);
      }
      assert.ok(own + granted <= RETRY_SLACK + 1e-6, `${own + granted}`);
    }
  }
});
