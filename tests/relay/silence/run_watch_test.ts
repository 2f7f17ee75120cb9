import assert from 'node:assert/strict';
import {describe, test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import type {Cancellation} from '../../../src/ports/relay.js';
import type {EngineSilence} from '../../../src/relay/silence/engine_silence.js';
import type {RunAtEngine} from '../../../src/relay/silence/run_reports.js';
import {createRunWatch} from '../../../src/relay/silence/run_watch.js';
import {makeEngine} from '../placement/lone_scheduler.js';
import {makeFakeSilence} from './fake_silence.js';

const PREPARE_MS = 200;

interface WatchChanges {
  readonly silence?: Partial<EngineSilence>;
  readonly lastStartAtMs?: number;
  readonly hasBegun?: boolean;
  /** Preparations that find nothing. */
  readonly failureCount?: number;
}

/** A run that has just sent its first bytes. */
function watchRun(changes: WatchChanges = {}) {
  const clock = createVirtualClock();
  const prepared: Array<{atMs: number; cancellation: Cancellation}> = [];
  const keptMs: number[] = [];
  const watch = createRunWatch<string>(makeEngine('d1'), {
    clock,
    silence: makeFakeSilence(changes.silence),
    requestId: 'q1',
    hasBegun: () => changes.hasBegun ?? true,
    lastStartAtMs: () => changes.lastStartAtMs ?? 3_000,
    async prepare(reason, cancellation) {
      prepared.push({atMs: clock.nowMs(), cancellation});
      await new Promise<void>(done => clock.setTimer(PREPARE_MS, done));
      const isFailed = prepared.length <= (changes.failureCount ?? 0);
      return isFailed || cancellation.isCancelled ? undefined : reason;
    },
    onKept: silentMs => void keptMs.push(silentMs),
  });
  return {clock, watch, prepared, keptMs};
}

describe('a silent run', () => {
  test('is left once its successor is ready', async () => {
    const {clock, watch, prepared} = watchRun();
    await clock.advance(1_290);
    assert.equal(prepared.length, 0);
    await clock.advance(110);
    assert.equal(prepared.length, 1);
    assert.ok(!watch.leaving.isCancelled);
    await clock.advance(PREPARE_MS);
    assert.equal(watch.departure?.successor, 'silent-engine');
    assert.ok(watch.leaving.isCancelled);
  });

  // Guards against a sound run that is ended while its successor is prepared.
  test('is kept if it goes on before its successor is ready', async () => {
    const {clock, watch, prepared, keptMs} = watchRun();
    await clock.advance(1_400);
    watch.noteData();
    assert.ok(prepared[0].cancellation.isCancelled);
    await clock.advance(1_000);
    assert.deepEqual(keptMs, [1_400]);
    assert.ok(!watch.leaving.isCancelled);
  });

  // Guards against ending a run that nothing can follow.
  test('is kept while no successor is found', async () => {
    const {clock, watch, prepared} = watchRun({failureCount: 2});
    await clock.advance(2_000);
    assert.equal(prepared.length, 2);
    assert.ok(!watch.leaving.isCancelled);
    await clock.advance(800);
    assert.ok(watch.leaving.isCancelled);
  });

  // Guards against prompts read for nothing in pauses of all engines.
  test('is kept up to the last start while most engines are silent', async () => {
    const {clock, prepared} = watchRun({silence: {isCommon: () => true}});
    await clock.advance(2_950);
    assert.equal(prepared.length, 0);
    await clock.advance(150);
    assert.equal(prepared.length, 1);
  });

  // Guards against leaving a run whose engine has just gone on after a pause.
  test('is kept for a moment once its engine answers', async () => {
    let isAlive = false;
    const silence = {wasAliveAfter: () => isAlive, isCommon: () => true};
    const {clock, watch, prepared} = watchRun({silence});
    await clock.advance(1_600);
    isAlive = true;
    await clock.advance(200);
    assert.equal(prepared.length, 0);
    await clock.advance(400 + PREPARE_MS);
    assert.equal(watch.departure?.reason, 'dead-connection');
  });

  // Guards against a request that two engines work on: one that has preempted a
  // run goes on with it, and may do so although its connection has closed.
  const KEPT_FOR_MS: Readonly<Record<RunAtEngine, number>> = {
    unreported: 1_300,
    undecided: Infinity,
    advancing: 1_300,
    held: Infinity,
    waiting: 3_000,
    absent: 1_300,
  };
  for (const [atEngine, keptForMs] of Object.entries(KEPT_FOR_MS)) {
    test(`is left at a live engine after ${keptForMs} ms if it is ${atEngine} there`, async () => {
      const silence = {
        wasAliveAfter: () => true,
        reports: {ask: () => undefined, find: () => atEngine as RunAtEngine},
      };
      const {clock, prepared} = watchRun({silence});
      await clock.advance(8_000);
      if (keptForMs === Infinity) return assert.deepEqual(prepared, []);
      const [{atMs}] = prepared;
      assert.ok(atMs >= keptForMs && atMs < keptForMs + 400, `${atMs}`);
    });
  }

  test('that has sent no event is left although its engine holds it', async () => {
    const silence = {
      wasAliveAfter: () => true,
      reports: {ask: () => undefined, find: () => 'held' as const},
    };
    const {clock, prepared} = watchRun({silence, hasBegun: false});
    await clock.advance(1_700);
    assert.equal(prepared.length, 1);
  });

  // Guards against taking bytes from before a pause for a dead connection.
  test('is kept in a pause that begins after bytes of other runs', async () => {
    const lastSeenAtMs = 250;
    const silence = {
      wasAliveAfter: (_: string, atMs: number) => lastSeenAtMs > atMs,
      isCommon: () => true,
    };
    const {clock, prepared} = watchRun({silence});
    await clock.advance(2_000);
    assert.equal(prepared.length, 0);
  });

  // Guards against a host that stood still itself and blames its engines.
  test('is not counted as silent while this host stood still', async () => {
    const {clock, prepared} = watchRun();
    await clock.advance(500);
    clock.standStill(5_000);
    await clock.advance(800);
    assert.equal(prepared.length, 0);
    await clock.advance(700);
    assert.equal(prepared.length, 1);
  });

  // Guards against silences that seem to begin in the future.
  test('is counted as silent from the end of the stand-still on', async () => {
    const {clock, watch, prepared} = watchRun();
    await clock.advance(850);
    watch.noteData();
    clock.standStill(300);
    await clock.advance(1_450);
    assert.equal(prepared.length, 1);
  });

  test('is not watched after its end', async () => {
    const {clock, watch, prepared} = watchRun();
    await clock.advance(1_400);
    watch.end();
    assert.ok(prepared[0].cancellation.isCancelled);
    assert.equal(clock.pendingCount(), 1);
  });
});
