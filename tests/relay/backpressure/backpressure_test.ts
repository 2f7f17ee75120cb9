import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSeededRandom} from '../../../src/core/seeded_random.js';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import {createBackpressure} from '../../../src/relay/backpressure/backpressure.js';
import {createUpstreamRegistry} from '../../../src/relay/store/upstream_registry.js';
import type {Upstream} from '../../../src/core/upstream.js';
import {silentLog} from '../../support/silent_log.js';
import {revisionAt} from '../../support/store_revisions.js';

const UPSTREAM: Upstream = {
  id: 'i-1',
  name: 'i-1',
  service: 'ledger',
  address: '10.0.0.1:80',
  failureDomain: 'd0',
  slots: 6,
  isDraining: false,
  heartbeat: revisionAt(1),
};

const HOST_IDS = ['host-1'];

/** Creates a host without peers. */
function makeHost() {
  const clock = createVirtualClock(1_000);
  const registry = createUpstreamRegistry({clock, log: silentLog});
  const backpressure = createBackpressure({
    clock,
    random: createSeededRandom(1),
    log: silentLog,
    metrics: {count: () => undefined},
    hostId: 'host-1',
    registry,
    hostIds: () => HOST_IDS,
    send: () => undefined,
    onChange: () => undefined,
  });
  let revision = 0;
  return {
    clock,
    ...backpressure,
    list(...upstreams: readonly Upstream[]) {
      registry.apply({revision: revisionAt(++revision), upstreams});
    },
  };
}

test('a limit and a rest period outlive the list entry of their upstream', async () => {
  // Guards against losing them in a store outage, when the entry of an
  // overloaded upstream may expire and be listed again.
  const {clock, gate, limits, signals, list} = makeHost();
  list(UPSTREAM);
  signals.onSignals(UPSTREAM, {limitPerS: 2, restMs: 3_000}, clock.nowMs());
  list();
  await clock.advance(500);
  list(UPSTREAM);
  assert.equal(limits.limitPerS('i-1'), 2);
  assert.equal(gate.blockedForMs('i-1'), 2_500);
});

test('nothing is admitted to an upstream until its rest period ends', async () => {
  const {clock, gate, signals, list} = makeHost();
  list(UPSTREAM);
  signals.onSignals(UPSTREAM, {restMs: 3_000}, clock.nowMs());
  await clock.advance(1_000);
  // A second refusal with a shorter rest period doesn't shorten the first.
  signals.onSignals(UPSTREAM, {restMs: 500}, clock.nowMs());
  const verdict = await gate.admit('i-1', 10_000);
  assert.deepEqual(verdict, {kind: 'withheld', waitMs: 2_000, by: 'rest'});
  await clock.advance(2_000);
  assert.equal((await gate.admit('i-1', 0)).kind, 'open');
});

test('a request is not sent to an upstream that leaves after it was chosen', async () => {
  const {clock, gate, signals, list} = makeHost();
  list(UPSTREAM);
  signals.onSignals(UPSTREAM, {isLeaving: true}, clock.nowMs());
  const verdict = await gate.admit('i-1', 0);
  assert.deepEqual(verdict, {kind: 'withheld', waitMs: 0, by: 'leaving'});
});

test('a limit of an unlisted upstream is not sent to peers', async () => {
  const {clock, limits, signals, list} = makeHost();
  list(UPSTREAM);
  signals.onSignals(UPSTREAM, {limitPerS: 2}, clock.nowMs());
  assert.equal(limits.ownRecords().length, 1);
  list();
  assert.equal(limits.ownRecords().length, 0);
  assert.equal(limits.limitedCount(), 0);
});
