import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import type {PrefillOutcome, UpstreamPort} from '../../../src/ports/relay.js';
import {makePrefillSite, START_MS} from './prefill_site.js';

/** Runs the step with prefill engines that all end a call in the same way. */
async function runPrefill(end: PrefillOutcome, retries: number) {
  const clock = createVirtualClock(START_MS);
  let calls = 0;
  const upstreamPort: Pick<UpstreamPort, 'prefill' | 'probe'> = {
    prefill() {
      calls++;
      return Promise.resolve(end);
    },
    probe: () => Promise.resolve('answered'),
  };
  const site = makePrefillSite(clock, {upstreamPort, retries});
  const outcome = await site.step.run(await site.placeRequest());
  return {outcome, calls, bookedTokens: site.bookedTokens()};
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

/** Returns how long an engine that only answers probes is waited for. */
async function measureTimeoutMs(backlogTokens: number, speed = 1) {
  const clock = createVirtualClock(START_MS);
  const calledAtMs: number[] = [];
  const upstreamPort: Pick<UpstreamPort, 'prefill' | 'probe'> = {
    prefill(_request, _options, cancellation) {
      calledAtMs.push(clock.nowMs());
      return new Promise(resolve =>
        cancellation.onCancel(() => resolve({kind: 'cancelled'})),
      );
    },
    probe: () => Promise.resolve('answered'),
  };
  const options = {upstreamPort, retries: 3, backlogTokens, speed};
  const site = makePrefillSite(clock, options);
  void site.step.run(await site.placeRequest());
  while (calledAtMs.length < 2) await clock.advance(10);
  return calledAtMs[1] - calledAtMs[0];
}

test('an engine with a long backlog gets a longer timeout', async () => {
  // Guards against prefills that time out shortly before they end and are then
  // repeated on another engine.
  assert.equal(await measureTimeoutMs(0), 1_500);
  const busyMs = await measureTimeoutMs(80_000);
  assert.ok(busyMs > (2 * 80_000) / 40, `${busyMs}`);
});

test('a slow engine gets a longer timeout for the same backlog', async () => {
  // Guards against prompts that time out at a slow engine, which then computes
  // them in vain.
  const meanMs = await measureTimeoutMs(80_000);
  const slowMs = await measureTimeoutMs(80_000, 0.5);
  assert.ok(Math.abs(slowMs - 2 * meanMs) <= 5, `${slowMs}, ${meanMs}`);
});
