import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import {createCancellation} from '../../../src/relay/front/cancellation.js';
import {createEngineBreaker} from '../../../src/relay/placement/engine_breaker.js';
import {makeLoneScheduler, makeService} from './lone_scheduler.js';
import {revisionAt} from '../../support/store_revisions.js';

const KV_TOKENS = 40_000;
const FAILS_AFTER_MS = 150;
const RUN_MS = 2_500;

/**
 * Streams that arrive one by one at eight decode engines, one of which fails
 * every stream.
 */
async function simulateFailingEngine(streamsPerS: number, durationMs: number) {
  const clock = createVirtualClock(1_000);
  const ids = ['p1', 'p2', ...Array.from({length: 8}, (_, i) => `d${i}`)];
  const {scheduler} = makeLoneScheduler(clock, ids);
  const service = makeService(KV_TOKENS);
  let failed = 0;
  const endAtMs = clock.nowMs() + durationMs;
  while (clock.nowMs() < endAtMs) {
    const need = {
      requestId: 'r',
      service,
      promptTokens: 5_000,
      expectedOutputTokens: 300,
      startMs: 250,
      waiting: {
        arrivedAtMs: clock.nowMs(),
        onTimeUntilMs: clock.nowMs() + 650,
        giveUpAtMs: clock.nowMs() + 3_000,
      },
      callerLeftMs: 14_000,
    };
    void scheduler.place(need, createCancellation()).then(placed => {
      if (placed.kind !== 'placed') return;
      const {decode, run, prefillReservation} = placed;
      clock.setTimer(90, prefillReservation.end);
      const isFailing = decode.id === 'd3';
      clock.setTimer(isFailing ? FAILS_AFTER_MS : RUN_MS, () => {
        if (isFailing) {
          failed++;
          scheduler.recordFailure(decode.id);
        } else {
          scheduler.recordSuccess(decode.id);
        }
        scheduler.release(run);
      });
    });
    await clock.advance(1_000 / streamsPerS);
  }
  return failed;
}

test('an engine that fails all requests costs few streams', async () => {
  // Guards against the least loaded engine getting all streams each time it is
  // readmitted.
  const failed = await simulateFailingEngine(16, 12_000);
  assert.ok(failed <= 8, `${failed} streams`);
});

test('an engine that failed gets one trial request at a time', async () => {
  const clock = createVirtualClock(1_000);
  const breaker = createEngineBreaker({clock});
  assert.equal(breaker.mayUse('d1', 'failing'), false);
  assert.equal(breaker.mayUse('d1', 'none'), true);
  breaker.recordPlacement('d1');
  assert.equal(breaker.mayUse('d1', 'none'), false);
  await clock.advance(1_100);
  assert.equal(breaker.mayUse('d1', 'none'), true);
  breaker.recordPlacement('d1');
  assert.equal(breaker.mayUse('d1', 'none'), true);
});

test('an engine that fails its trial requests is excluded longer each time', async () => {
  const clock = createVirtualClock(1_000);
  const breaker = createEngineBreaker({clock});
  const outMs: number[] = [];
  for (let i = 0; i < 3; i++) {
    breaker.mayUse('d1', 'failing');
    const fromMs = clock.nowMs();
    while (!breaker.mayUse('d1', 'none')) await clock.advance(50);
    outMs.push(clock.nowMs() - fromMs);
    breaker.recordPlacement('d1');
  }
  assert.ok(outMs[0] < outMs[1] && outMs[1] < outMs[2], `${outMs}`);
  assert.equal(breaker.isRepeating('d1'), true);
});

test('an engine that was full once gets requests as before', () => {
  const clock = createVirtualClock(1_000);
  const breaker = createEngineBreaker({clock});
  breaker.mayUse('d1', 'full');
  for (let i = 0; i < 3; i++) {
    assert.equal(breaker.mayUse('d1', 'none'), true);
    breaker.recordPlacement('d1');
  }
});

test('an engine whose role differs from the list gets no more requests', async () => {
  // Guards against prompts prefilled in vain for seconds: in a store outage the
  // list shows an engine's role from before a change.
  const clock = createVirtualClock(1_000);
  const ids = ['p1', 'd1', 'd2'];
  const {scheduler, registry} = makeLoneScheduler(clock, ids);
  scheduler.recordRoleMismatch('d1');
  assert.deepEqual(scheduler.roleMismatches(), ['d1']);
  const service = makeService(KV_TOKENS);
  for (let i = 0; i < 4; i++) {
    const need = {
      requestId: 'r',
      service,
      promptTokens: 3_000,
      expectedOutputTokens: 300,
      startMs: 250,
      waiting: {arrivedAtMs: 0, onTimeUntilMs: 9_000, giveUpAtMs: 9_000},
      callerLeftMs: 14_000,
    };
    const placed = await scheduler.place(need, createCancellation());
    assert.ok(placed.kind === 'placed' && placed.decode.id === 'd2');
  }
  const upstreams = ids.map(id => ({
    ...registry.get(id)!,
    role: id === 'd2' ? ('decode' as const) : ('prefill' as const),
  }));
  registry.apply({revision: revisionAt(2), upstreams});
  assert.deepEqual(scheduler.roleMismatches(), []);
});

test('a host that reserves engines chosen by a placer reports those that fail', () => {
  // Guards against failures that no host reports: a placer sends no requests to
  // engines itself, and the other hosts tracked no engine until they placed by
  // themselves.
  const clock = createVirtualClock(1_000);
  const {scheduler, registry} = makeLoneScheduler(clock, ['p1', 'd1', 'd2']);
  const need = {
    requestId: 'r',
    service: makeService(KV_TOKENS),
    promptTokens: 3_000,
    expectedOutputTokens: 300,
    startMs: 250,
    waiting: {arrivedAtMs: 0, onTimeUntilMs: 9_000, giveUpAtMs: 9_000},
    callerLeftMs: 14_000,
  };
  scheduler.reserveChosen(need, {decode: registry.get('d1')!});
  scheduler.recordFailure('d1');
  assert.deepEqual(scheduler.suspects(), ['d1']);
});
