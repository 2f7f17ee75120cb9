import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import {createUpstreamLimits} from '../../../src/relay/backpressure/upstream_limits.js';
import {silentLog} from '../../support/silent_log.js';

function makeLimits() {
  const clock = createVirtualClock(1_000);
  const limits = createUpstreamLimits({
    clock,
    log: silentLog,
    isKnown: () => true,
    onChange: () => undefined,
  });
  return {clock, limits};
}

test('an answer that overtakes the one that names the limit does not end it', async () => {
  // Guards against a limit that a slow answer from before it takes off.
  const {clock, limits} = makeLimits();
  const sentAtMs = clock.nowMs();
  await clock.advance(20);
  limits.noteAnswer('i-1', 2, clock.nowMs());
  await clock.advance(20);
  limits.noteAnswer('i-1', undefined, sentAtMs);
  assert.equal(limits.limitPerS('i-1'), 2);
});

test('a limit ends with an answer that names none', async () => {
  const {clock, limits} = makeLimits();
  limits.noteAnswer('i-1', 0.5, clock.nowMs());
  await clock.advance(20);
  const sentAtMs = clock.nowMs();
  await clock.advance(20);
  limits.noteAnswer('i-1', undefined, sentAtMs);
  assert.equal(limits.limitPerS('i-1'), undefined);
  assert.equal(limits.limitedCount(), 0);
});
