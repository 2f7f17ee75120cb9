import {makeFakeSilence} from './fake_silence.js';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import type {RelayRequest, UpstreamPort} from '../../../src/ports/relay.js';
import {createRunLog, type Run} from '../../../src/relay/crashes/run_log.js';
import {createEngineProbes} from '../../../src/relay/silence/engine_probes.js';
import {createEngineSilence} from '../../../src/relay/silence/engine_silence.js';
import {makeEngine} from '../placement/lone_scheduler.js';

const SERVICE = 'brief-llm';
const PROBE_TIMEOUT_MS = 800;

/** Decode engines that answer probes unless they have paused. */
function makeEngines(count: number) {
  const clock = createVirtualClock();
  const engines = Array.from({length: count}, (_, i) => makeEngine(`d${i}`));
  const runLog = createRunLog({clock});
  const paused = new Set<string>();
  const gone = new Set<string>();
  const probed: string[] = [];
  const probe: UpstreamPort['probe'] = async ({id}) => {
    probed.push(id);
    if (gone.has(id)) return 'refused';
    if (!paused.has(id)) return 'answered';
    await new Promise<void>(done => clock.setTimer(PROBE_TIMEOUT_MS, done));
    return 'no-answer';
  };
  const silence = createEngineSilence({
    clock,
    reports: makeFakeSilence().reports,
    registry: {open: () => engines},
    runs: runLog,
    probes: createEngineProbes({clock, upstreamPort: {probe}}),
  });
  const startRun = (i: number): Run => {
    const request = {requestId: 'r', body: Buffer.alloc(0)} as RelayRequest;
    const run = runLog.start({...request, headers: []}, engines[i]);
    runLog.noteAnswer(run);
    return run;
  };
  return {clock, engines, runLog, paused, gone, probed, silence, startRun};
}

test('one silent engine among others is not a common silence', async () => {
  // Guards against callers that wait for the last start at a lone dead engine.
  const {clock, engines, paused, silence, startRun} = makeEngines(6);
  startRun(0);
  paused.add('d0');
  await clock.advance(1_000);
  silence.investigate(engines[0]);
  await clock.advance(350);
  assert.ok(!silence.isCommon(SERVICE));
  assert.ok(!silence.wasAliveAfter('d0', 0));
});

test('engines that pause together are a common silence, though few are used', async () => {
  // Guards against prompts read anew in a pause that ends by itself.
  const {clock, engines, paused, silence, startRun} = makeEngines(6);
  startRun(0);
  for (const {id} of engines.slice(0, 4)) paused.add(id);
  await clock.advance(1_000);
  silence.investigate(engines[0]);
  await clock.advance(350);
  assert.ok(silence.isCommon(SERVICE));
});

test('an engine is alive if another of its runs or a probe is answered', async () => {
  // Guards against waiting on a dead connection of a sound engine.
  const {clock, engines, runLog, silence, startRun} = makeEngines(2);
  startRun(0);
  const other = startRun(0);
  await clock.advance(600);
  assert.ok(!silence.wasAliveAfter('d0', 0));
  runLog.noteData(other);
  assert.ok(silence.wasAliveAfter('d0', 0));
  startRun(1);
  const sinceMs = clock.nowMs();
  await clock.advance(600);
  silence.investigate(engines[1]);
  await clock.advance(1);
  assert.ok(silence.wasAliveAfter('d1', sinceMs));
});

test('probes of a silence are few, and what they show expires', async () => {
  const {clock, engines, paused, probed, silence, startRun} = makeEngines(20);
  startRun(0);
  for (const {id} of engines) paused.add(id);
  await clock.advance(1_000);
  for (let i = 0; i < 8; i++) {
    silence.investigate(engines[0]);
    await clock.advance(100);
  }
  assert.ok(probed.length <= 5, probed.join());
  assert.ok(silence.isCommon(SERVICE));
  await clock.advance(3_000);
  assert.ok(!silence.isCommon(SERVICE));
});

test('an engine that has paused is no engine to go over to', async () => {
  const {clock, engines, paused, silence} = makeEngines(2);
  paused.add('d1');
  const answers = [silence.answers(engines[0]), silence.answers(engines[1])];
  await clock.advance(600);
  assert.deepEqual(await Promise.all(answers), [true, false]);
});

test('an engine whose connections here have died is one to go over to', async () => {
  // Guards against runs that are never left since every engine has dead runs.
  const {clock, engines, silence, startRun} = makeEngines(2);
  startRun(0);
  startRun(1);
  await clock.advance(2_000);
  const answers = silence.answers(engines[1]);
  await clock.advance(600);
  assert.ok(await answers);
});

test('dead connections to engines that answer are no common silence', async () => {
  // Guards against callers that wait for the last start at a lone dead engine.
  const {clock, engines, paused, silence, startRun} = makeEngines(3);
  for (const i of engines.keys()) startRun(i);
  paused.add('d0');
  await clock.advance(1_000);
  for (let i = 0; i < 4; i++) {
    silence.investigate(engines[0]);
    await clock.advance(100);
  }
  assert.ok(!silence.isCommon(SERVICE));
});

test('an engine that has just ended is no engine to go over to', async () => {
  // Guards against leaving a run for an engine that sent bytes before its end.
  const {clock, engines, gone, silence, startRun} = makeEngines(1);
  startRun(0);
  await clock.advance(400);
  gone.add('d0');
  assert.ok(!(await silence.answers(engines[0])));
});

test('an engine that has just woken is no engine to go over to at once', async () => {
  // Guards against runs at two engines that have paused and go on together.
  const {clock, engines, paused, silence} = makeEngines(2);
  paused.add('d1');
  await clock.advance(1_000);
  silence.investigate(engines[1]);
  await clock.advance(900);
  paused.delete('d1');
  silence.investigate(engines[1]);
  await clock.advance(1);
  let isTaken: boolean | undefined;
  void silence.answers(engines[1]).then(answers => (isTaken = answers));
  await clock.advance(200);
  assert.equal(isTaken, undefined);
  await clock.advance(100);
  assert.equal(isTaken, true);
});
