import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import type {PrefillOutcome, UpstreamPort} from '../../../src/ports/relay.js';
import {createCancellation} from '../../../src/relay/front/cancellation.js';
import {createCountedCalls} from '../../../src/relay/streams/counted_calls.js';
import {createEngineFailures} from '../../../src/relay/streams/engine_failures.js';
import {createPrefillStep} from '../../../src/relay/streams/prefill_step.js';
import type {RelayJob} from '../../../src/relay/relay_types.js';
import type {StreamState} from '../../../src/relay/streams/stream_state.js';
import {createRetryBudget} from '../../../src/request/retry_budget.js';
import {silentLog} from '../../support/silent_log.js';
import {makeLoneScheduler, makeService} from '../placement/lone_scheduler.js';

const service = makeService(30_000);

const READERS = ['p1', 'p2', 'p3', 'p4', 'p5'];

/** Prefill engines that all end a call in the same way. */
async function playPrefill(
  end: PrefillOutcome,
  retries: number,
  backlogTokens = 0,
) {
  const clock = createVirtualClock(1_000);
  const {registry, books, learning, scheduler} = makeLoneScheduler(clock, [
    ...READERS,
    'd1',
  ]);
  const cancellation = createCancellation();
  const need = {
    requestId: 'r',
    service,
    promptTokens: 3_000,
    expectedOutputTokens: 500,
    startMs: 250,
    waiting: {arrivedAtMs: 1_000, onTimeUntilMs: 1_600, giveUpAtMs: 4_000},
    callerLeftMs: 14_000,
  };
  const placement = await scheduler.place(need, cancellation);
  assert.ok(placement.kind === 'placed');
  const placedAt = placement.prefill?.id ?? '';
  books.startPrefill(placedAt, backlogTokens);
  let calls = 0;
  let headTimeoutMs = 0;
  const upstreamPort: Pick<UpstreamPort, 'prefill'> = {
    prefill(_, options) {
      calls++;
      headTimeoutMs = options.headTimeoutMs;
      return Promise.resolve(end);
    },
  };
  const budget = createRetryBudget({burst: () => retries, ratioOf: () => 0});
  const step = createPrefillStep({
    clock,
    upstreamPort,
    scheduler,
    learning,
    calls: createCountedCalls(budget),
    failures: createEngineFailures({
      clock,
      log: silentLog,
      scheduler,
      books,
      registry,
    }),
  });
  const request: Partial<RelayJob['request']> = {
    requestId: 'r',
    arrivedAtMs: 1_000,
  };
  const job: Partial<RelayJob> = {
    request: request as RelayJob['request'],
    service,
    cancellation,
    deadlineAtMs: 15_000,
  };
  const state: StreamState = {
    job: job as RelayJob,
    need,
    placement,
    ran: [],
    avoid: new Set(),
    countedCalls: 0,
    wasRead: false,
    events: 0,
  };
  const outcome = await step.run(state);
  const booked = READERS.reduce(
    (sum, id) => sum + books.prefillLoad(id).tokens,
    0,
  );
  return {outcome, calls, booked, headTimeoutMs};
}

const REFUSAL: PrefillOutcome = {kind: 'rejected', reason: 'full', detail: ''};

test('a prompt that no prefill engine takes leaves nothing booked', async () => {
  // Prefill engines stand idle: after three refusals the next engine was
  // booked and never asked, so that it looked busy with that prompt for ever.
  const {outcome, calls, booked} = await playPrefill(REFUSAL, 10);
  assert.equal(outcome.kind, 'not-read');
  assert.equal(calls, 3);
  assert.equal(booked, 0);
});

test('a prompt is not asked for again when the retries are used up', async () => {
  const {outcome, calls, booked} = await playPrefill(REFUSAL, 1);
  assert.equal(outcome.kind, 'spent');
  assert.equal(calls, 2);
  assert.equal(booked, 0);
});

test('engines that could not be reached cost no retry', async () => {
  const end: PrefillOutcome = {kind: 'unreachable', detail: 'refused'};
  const {outcome, calls, booked} = await playPrefill(end, 0);
  assert.equal(outcome.kind, 'not-read');
  assert.equal(calls, 3);
  assert.equal(booked, 0);
});

test('an engine with a long backlog is waited for', async () => {
  // Guards against prompts that are given up just before they are read, each
  // then read once more elsewhere.
  const end: PrefillOutcome = {kind: 'prefilled', handle: 'h'};
  const idle = await playPrefill(end, 0);
  const busy = await playPrefill(end, 0, 80_000);
  assert.equal(idle.headTimeoutMs, 1_500);
  assert.ok(busy.headTimeoutMs > (2 * 80_000) / 40, `${busy.headTimeoutMs}`);
});
