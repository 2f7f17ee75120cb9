/** Prompts at prefill engines that fall silent, for a while or for good. */

import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import type {UpstreamPort} from '../../../src/ports/relay.js';
import {makePrefillSite, PREFILL_ENGINE_IDS, START_MS} from './prefill_site.js';

const READ_MS = 100;
const STEP_MS = 10;
const PROBE_TIMEOUT_MS = 800;

interface Silence {
  /** Of the prefill engines, in the order in which they are called. */
  readonly silentCount: number;
  /** Until the prompt is sent plus this; never if absent. */
  readonly untilMs?: number;
  /** Only the connection of the first call is dead. */
  readonly isOfConnection?: boolean;
  readonly retries?: number;
  /** The engines that are not silent answer probes and refuse the prompt. */
  readonly othersRefuse?: boolean;
}

/** Sends a prompt to engines that fall silent just before. */
async function readPrompt(silence: Silence) {
  const {
    silentCount,
    untilMs = Infinity,
    isOfConnection,
    retries = 3,
    othersRefuse,
  } = silence;
  const clock = createVirtualClock(START_MS);
  const called: string[] = [];
  /** In the order of the calls; unknown ones come last. */
  const silent = new Set<string>();
  const isSilent = (id: string) =>
    silent.has(id) && clock.nowMs() < START_MS + untilMs;
  /** Resolves to false if the engine has not been awake for long enough. */
  function awake(id: string, forMs: number, withinMs: number) {
    return new Promise<boolean>(resolve => {
      const check = (doneMs: number, passedMs: number) => {
        if (doneMs >= forMs || passedMs >= withinMs) {
          resolve(doneMs >= forMs);
          return;
        }
        clock.setTimer(STEP_MS, () =>
          check(isSilent(id) ? doneMs : doneMs + STEP_MS, passedMs + STEP_MS),
        );
      };
      check(0, 0);
    });
  }
  const readAt: string[] = [];
  const upstreamPort: Pick<UpstreamPort, 'prefill' | 'probe'> = {
    async prefill(_request, {upstream, headTimeoutMs}, cancellation) {
      const {id} = upstream;
      called.push(id);
      const isDead = isOfConnection && called.length === 1;
      if (silent.size === 0 && !isOfConnection) {
        const others = PREFILL_ENGINE_IDS.filter(each => each !== id);
        for (const each of [id, ...others].slice(0, silentCount)) {
          silent.add(each);
        }
      }
      if (othersRefuse && !silent.has(id)) {
        return {kind: 'rejected', reason: 'full', detail: ''};
      }
      const answer = awake(id, isDead ? Infinity : READ_MS, headTimeoutMs);
      const cancelled = new Promise<'cancelled'>(resolve =>
        cancellation.onCancel(() => resolve('cancelled')),
      );
      const end = await Promise.race([answer, cancelled]);
      if (end === 'cancelled') return {kind: 'cancelled'};
      if (!end) return {kind: 'broken', detail: 'no answer in time'};
      readAt.push(id);
      return {kind: 'prefilled', handle: 'h'};
    },
    async probe({id}) {
      const hasAnswered = await awake(id, STEP_MS, PROBE_TIMEOUT_MS);
      return hasAnswered ? 'answered' : 'no-answer';
    },
  };
  const site = makePrefillSite(clock, {upstreamPort, retries});
  let endedAfterMs: number | undefined;
  const run = site.step.run(await site.placeRequest()).then(outcome => {
    endedAfterMs = clock.nowMs() - START_MS;
    return outcome.kind;
  });
  while (endedAfterMs === undefined) await clock.advance(STEP_MS);
  return {
    kind: await run,
    endedAfterMs,
    called,
    retriesTaken: retries - site.retriesLeft(),
    excluded: site.scheduler.suspects(),
    bookedTokens: site.bookedTokens(),
  };
}

const ALL = PREFILL_ENGINE_IDS.length;

for (const untilMs of [500, 1_500, 2_500]) {
  test(`a prompt waits for its engine while all pause for ${untilMs} ms`, async () => {
    // Guards against prompts that are sent to three paused engines in turn.
    const end = await readPrompt({silentCount: ALL, untilMs});
    assert.equal(end.kind, 'read');
    assert.equal(end.called.length, 1);
    assert.ok(end.endedAfterMs <= untilMs + 2 * READ_MS);
    assert.deepEqual(end.excluded, []);
    assert.equal(end.retriesTaken, 0);
    assert.equal(end.bookedTokens, 0);
  });
}

for (const retries of [0, 1, 2, 10]) {
  test(`a prompt stays at an engine that pauses while the others refuse it, with ${retries} retries`, async () => {
    // Guards against a silent call that is given up before another is accepted.
    const untilMs = 2_500;
    const end = await readPrompt({
      silentCount: 1,
      untilMs,
      retries,
      othersRefuse: true,
    });
    assert.equal(end.kind, 'read');
    assert.ok(end.endedAfterMs <= untilMs + 2 * READ_MS);
    assert.equal(end.retriesTaken, Math.min(2, retries));
    assert.equal(end.bookedTokens, 0);
  });
}

test('the decode engine reads the prompt before the caller leaves', async () => {
  // Guards against prompts that wait for engines that pause for longer than
  // callers do.
  const end = await readPrompt({silentCount: ALL, untilMs: 4_000});
  assert.equal(end.kind, 'not-read');
  assert.equal(end.called.length, 1);
  assert.ok(end.endedAfterMs <= 3_400, `${end.endedAfterMs}`);
  assert.deepEqual(end.excluded, []);
  assert.equal(end.bookedTokens, 0);
});

for (const silentCount of [1, 4]) {
  test(`a prompt leaves an engine that hangs for one that answers, ${silentCount} of ${ALL} hang`, async () => {
    // Guards against prompts that are read in vain at engines that hang as well.
    const end = await readPrompt({silentCount});
    assert.equal(end.kind, 'read');
    assert.equal(end.called.length, 2);
    assert.ok(end.endedAfterMs <= 2_100, `${end.endedAfterMs}`);
    assert.deepEqual(end.excluded, [end.called[0]]);
    assert.equal(end.bookedTokens, 0);
  });
}

test('a prompt leaves a dead connection', async () => {
  // Guards against calls that wait for an answer that can't arrive.
  const end = await readPrompt({silentCount: 0, isOfConnection: true});
  assert.equal(end.kind, 'read');
  assert.equal(end.called.length, 2);
  assert.ok(end.endedAfterMs <= 1_500 + 2 * READ_MS, `${end.endedAfterMs}`);
});

test('a prompt stays at a silent engine when no retry is left', async () => {
  // Guards against calls that are ended before another may follow.
  const end = await readPrompt({silentCount: 1, untilMs: 3_000, retries: 0});
  assert.equal(end.kind, 'read');
  assert.equal(end.called.length, 1);
  assert.equal(end.bookedTokens, 0);
});
