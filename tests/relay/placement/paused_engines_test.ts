/** New streams after engines paused, and were suspected of having failed. */

import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import {createCancellation} from '../../../src/relay/front/cancellation.js';
import {makeLoneScheduler, makeService} from './lone_scheduler.js';

const DECODE_IDS = Array.from({length: 8}, (_, i) => `d${i}`);
const service = makeService(40_000);

/** Peers suspect engines again and again; returns where streams start then. */
async function startStreams(suspectCount: number) {
  const clock = createVirtualClock(1_000);
  let suspects: readonly string[] = [];
  const {scheduler} = makeLoneScheduler(
    clock,
    ['p1', 'p2', ...DECODE_IDS],
    undefined,
    {isSuspect: id => suspects.includes(id)},
  );
  const startedAt: string[] = [];
  const place = async () => {
    const nowMs = clock.nowMs();
    const need = {
      requestId: 'r',
      service,
      promptTokens: 5_000,
      expectedOutputTokens: 300,
      startMs: 250,
      waiting: {
        arrivedAtMs: nowMs,
        onTimeUntilMs: nowMs + 650,
        giveUpAtMs: nowMs + 3_000,
      },
      callerLeftMs: 14_000,
    };
    const placed = await scheduler.place(need, createCancellation());
    if (placed.kind !== 'placed') return;
    placed.prefillReservation.end();
    startedAt.push(placed.decode.id);
  };
  for (let i = 0; i < 3; i++) {
    // Candidates are looked at when a stream is placed.
    suspects = [];
    await place();
    await clock.advance(800);
    suspects = DECODE_IDS.slice(0, suspectCount);
    await place();
    await clock.advance(1_500);
  }
  const before = startedAt.length;
  for (let i = 0; i < 30; i++) {
    void place();
    await clock.advance(1);
  }
  return startedAt.slice(before);
}

test('engines that peers suspect again are used while most are suspected', async () => {
  // Guards against streams that wait or are refused since all engines paused,
  // and went on.
  assert.equal((await startStreams(8)).length, 30);
  assert.equal((await startStreams(6)).length, 30);
});

test('half of the engines that peers suspect again are not used', async () => {
  // Guards against streams at engines that fail all of them.
  const startedAt = await startStreams(4);
  const suspects = DECODE_IDS.slice(0, 4);
  assert.ok(startedAt.length > 0);
  assert.ok(!startedAt.some(id => suspects.includes(id)), startedAt.join());
});
