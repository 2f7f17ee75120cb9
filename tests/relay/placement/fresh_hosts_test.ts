import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSeededRandom} from '../../../src/core/seeded_random.js';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import {createCancellation} from '../../../src/relay/front/cancellation.js';
import {makeLoneScheduler, makeService} from './lone_scheduler.js';

const HOSTS = 40;
const PREFILL_IDS = ['p1', 'p2', 'p3', 'p4', 'p5', 'p6', 'p7', 'p8'];
const DECODE_IDS = Array.from({length: 20}, (_, i) => `d${i}`);

test('hosts that have just started spread their first streams', async () => {
  // Guards against hosts without any load data that all choose the same engine
  // first: after all hosts restarted, one engine had 68 runs.
  const clock = createVirtualClock(1_000);
  const counts = new Map<string, number>();
  const random = createSeededRandom(5);
  for (let i = 0; i < HOSTS; i++) {
    const {scheduler} = makeLoneScheduler(
      clock,
      [...PREFILL_IDS, ...DECODE_IDS],
      random,
    );
    const need = {
      requestId: 'r',
      service: makeService(40_000),
      promptTokens: 5_000,
      expectedOutputTokens: 300,
      startMs: 250,
      waiting: {arrivedAtMs: 0, onTimeUntilMs: 9_000, giveUpAtMs: 9_000},
      callerLeftMs: 14_000,
    };
    const placed = await scheduler.place(need, createCancellation());
    assert.ok(placed.kind === 'placed' && placed.prefill);
    for (const {id} of [placed.decode, placed.prefill]) {
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
  }
  const mostOf = (ids: readonly string[]) =>
    Math.max(...ids.map(id => counts.get(id) ?? 0));
  assert.ok(
    mostOf(DECODE_IDS) <= 8,
    `${mostOf(DECODE_IDS)} runs on one engine`,
  );
  assert.ok(
    mostOf(PREFILL_IDS) <= 14,
    `${mostOf(PREFILL_IDS)} prompts at one engine`,
  );
});
