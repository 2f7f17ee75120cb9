import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import {createCancellation} from '../../../src/relay/front/cancellation.js';
import {createEngineProbation} from '../../../src/relay/placement/engine_probation.js';
import {makeLoneScheduler, makeService} from './lone_scheduler.js';
import {revisionAt} from '../../support/store_revisions.js';

const KV_TOKENS = 40_000;
const FAILS_AFTER_MS = 150;
const RUN_MS = 2_500;

/** Streams that arrive one by one at eight engines, one of which fails all. */
async function playFailingEngine(streamsPerS: number, durationMs: number) {
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
      const {decode, run, prefillBooking} = placed;
      clock.setTimer(90, prefillBooking.end);
      const isFailing = decode.id === 'd3';
      clock.setTimer(isFailing ? FAILS_AFTER_MS : RUN_MS, () => {
        if (isFailing) {
          failed++;
          scheduler.noteFailure(decode.id);
        } else {
          scheduler.noteSuccess(decode.id);
        }
        scheduler.release(run);
      });
    });
    await clock.advance(1_000 / streamsPerS);
  }
  return failed;
}

test('an engine that fails all it gets costs few streams', async () => {
  // Guards against the emptiest engine drawing all streams each time that it
  // is tried again.
  const failed = await playFailingEngine(16, 12_000);
  assert.ok(failed <= 8, `${failed} streams`);
});

test('one request at a time tries an engine that failed', async () => {
  const clock = createVirtualClock(1_000);
  const probation = createEngineProbation({clock});
  assert.equal(probation.mayUse('d1', 'failing'), false);
  assert.equal(probation.mayUse('d1', 'none'), true);
  probation.notePlaced('d1');
  assert.equal(probation.mayUse('d1', 'none'), false);
  await clock.advance(1_100);
  assert.equal(probation.mayUse('d1', 'none'), true);
  probation.notePlaced('d1');
  assert.equal(probation.mayUse('d1', 'none'), true);
});

test('an engine that fails its trials is left out longer each time', async () => {
  const clock = createVirtualClock(1_000);
  const probation = createEngineProbation({clock});
  const outMs: number[] = [];
  for (let i = 0; i < 3; i++) {
    probation.mayUse('d1', 'failing');
    const fromMs = clock.nowMs();
    while (!probation.mayUse('d1', 'none')) await clock.advance(50);
    outMs.push(clock.nowMs() - fromMs);
    probation.notePlaced('d1');
  }
  assert.ok(outMs[0] < outMs[1] && outMs[1] < outMs[2], `${outMs}`);
  assert.equal(probation.isRepeating('d1'), true);
});

test('an engine that was full once is used as before', () => {
  const clock = createVirtualClock(1_000);
  const probation = createEngineProbation({clock});
  probation.mayUse('d1', 'full');
  for (let i = 0; i < 3; i++) {
    assert.equal(probation.mayUse('d1', 'none'), true);
    probation.notePlaced('d1');
  }
});

test('an engine of another role than the list says gets nothing more', async () => {
  // Guards against prompts that are read in vain for seconds: the store is
  // down, and the list shows the role before a change.
  const clock = createVirtualClock(1_000);
  const ids = ['p1', 'd1', 'd2'];
  const {scheduler, registry} = makeLoneScheduler(clock, ids);
  scheduler.noteOtherRole('d1');
  assert.deepEqual(scheduler.inOtherRole(), ['d1']);
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
  assert.deepEqual(scheduler.inOtherRole(), []);
});

test('a host that books what another host chose tells of engines that fail', () => {
  // Guards against failures that no host counts: the one that places sends
  // nothing itself, and the others knew no engine until they placed by themselves.
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
  scheduler.bookChosen(need, {decode: registry.get('d1')!});
  scheduler.noteFailure('d1');
  assert.deepEqual(scheduler.suspects(), ['d1']);
});
