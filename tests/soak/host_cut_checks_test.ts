import assert from 'node:assert/strict';
import {test} from 'node:test';
import {findUnservedCuts} from './host_cuts.js';
import type {CallRecord} from './soak_callers.js';

/** All calls of one host are refused, all of the other are served. */
function judge(waitedShare: number) {
  const records = Array.from({length: 80}, (_, i): CallRecord => ({
    id: `q${i}`,
    kind: 'idempotent',
    hostId: `host-${i % 2}`,
    sentAtMs: 3_100 + i,
    deadlineMs: 4_000,
    endedAtMs: 3_200 + i,
    status: i % 2 === 0 ? 503 : 200,
    body: '',
    isCut: false,
    hasDisconnected: false,
  }));
  const hostIds = new Set(['host-0']);
  const cuts = [{hostIds, fromMs: 0, toMs: 7_000, waitedShare}];
  return findUnservedCuts({records, cuts, disruptions: []});
}

test('a cut during which processors were missing is told from a fault', () => {
  // Guards against seeds that break beside the load of other processes.
  assert.deepEqual(
    judge(0.3).map(({isStarved}) => isStarved),
    [false],
  );
  assert.deepEqual(
    judge(0.8).map(({isStarved}) => isStarved),
    [true],
  );
});
