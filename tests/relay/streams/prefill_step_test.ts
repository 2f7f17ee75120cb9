import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import type {PrefillOutcome, UpstreamPort} from '../../../src/ports/relay.js';
import {createCancellation} from '../../../src/relay/front/cancellation.js';
import {createBudgetedCalls} from '../../../src/relay/streams/budgeted_calls.js';
import {createEngineFailures} from '../../../src/relay/streams/engine_failures.js';
import {createPrefillStep} from '../../../src/relay/streams/prefill_step.js';
import type {RelayJob} from '../../../src/relay/relay_types.js';
import type {StreamState} from '../../../src/relay/streams/stream_state.js';
import {createRetryBudget} from '../../../src/request/retry_budget.js';
import {silentLog} from '../../support/silent_log.js';
import {makeLoneScheduler, makeService} from '../placement/lone_scheduler.js';

const service = makeService(30_000);

const PREFILL_ENGINE_IDS = ['p1', 'p2', 'p3', 'p4', 'p5'];

/** Runs the step with prefill engines that all end a call in the same way. */
async function runPrefill(
  end: PrefillOutcome,
  retries: number,
  backlogTokens = 0,
  speed = 1,
) {
  const clock = createVirtualClock(1_000);
  const {registry, engineLoads, statistics, scheduler} = makeLoneScheduler(
    clock,
    [...PREFILL_ENGINE_IDS, 'd1'],
  );
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
  engineLoads.startPrefill(placedAt, backlogTokens);
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
    statistics: {
      ...statistics,
      speeds: {...statistics.speeds, factorOf: () => speed},
    },
    calls: createBudgetedCalls(budget),
    failures: createEngineFailures({
      clock,
      log: silentLog,
      scheduler,
      engineLoads,
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
    ranVersions: [],
    avoid: new Set(),
    countedCalls: 0,
    hasReservedRun: false,
    wasLeft: false,
    wasPrefilled: false,
    events: 0,
    lastEventAtMs: 1_000,
  };
  const outcome = await step.run(state);
  const bookedTokens = PREFILL_ENGINE_IDS.reduce(
    (sum, id) => sum + engineLoads.prefillLoad(id).tokens,
    0,
  );
  return {outcome, calls, bookedTokens, headTimeoutMs};
}

const REFUSAL: PrefillOutcome = {kind: 'rejected', reason: 'full', detail: ''};

test('a prompt that no prefill engine accepts leaves no booking', async () => {
  // Guards against a booking without a call. After three refusals the next
  // engine was booked but never called, so it looked busy forever and idled.
  const {outcome, calls, bookedTokens} = await runPrefill(REFUSAL, 10);
  assert.equal(outcome.kind, 'not-read');
  assert.equal(calls, 3);
  assert.equal(bookedTokens, 0);
});

test('a prefill is not retried when the retry budget is used up', async () => {
  const {outcome, calls, bookedTokens} = await runPrefill(REFUSAL, 1);
  assert.equal(outcome.kind, 'no-retries');
  assert.equal(calls, 2);
  assert.equal(bookedTokens, 0);
});

test('unreachable engines cost no retry', async () => {
  const end: PrefillOutcome = {kind: 'unreachable', detail: 'refused'};
  const {outcome, calls, bookedTokens} = await runPrefill(end, 0);
  assert.equal(outcome.kind, 'not-read');
  assert.equal(calls, 3);
  assert.equal(bookedTokens, 0);
});

test('an engine with a long backlog gets a longer timeout', async () => {
  // Guards against prefills that time out shortly before they end and are then
  // repeated on another engine.
  const end: PrefillOutcome = {kind: 'prefilled', handle: 'h'};
  const idle = await runPrefill(end, 0);
  const busy = await runPrefill(end, 0, 80_000);
  assert.equal(idle.headTimeoutMs, 1_500);
  assert.ok(busy.headTimeoutMs > (2 * 80_000) / 40, `${busy.headTimeoutMs}`);
});

test('a slow engine gets a longer timeout for the same backlog', async () => {
  // Guards against prompts that time out at a slow engine, which then computes
  // them in vain.
  const end: PrefillOutcome = {kind: 'prefilled', handle: 'h'};
  const mean = await runPrefill(end, 0, 80_000);
  const slow = await runPrefill(end, 0, 80_000, 0.5);
  assert.equal(slow.headTimeoutMs, 2 * mean.headTimeoutMs);
});
