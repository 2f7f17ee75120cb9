import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import {createRunPaceMeter} from '../../../src/relay/streams/run_pace.js';

/** Events at the given times; an `r` restarts the meter after a pause. */
function measure(times: ReadonlyArray<number | 'r'>): readonly number[] {
  const clock = createVirtualClock(1_000);
  const measured: number[] = [];
  const meter = createRunPaceMeter({
    clock,
    onMeasured: msPerEvent => measured.push(msPerEvent),
  });
  let nowMs = 0;
  for (const time of times) {
    if (time === 'r') {
      meter.restart();
      continue;
    }
    clock.advanceSync(time - nowMs);
    nowMs = time;
    meter.noteEvents(1);
  }
  return measured;
}

test('events that arrive together do not look like a change of speed', () => {
  assert.deepEqual(measure([0, 80, 80, 160, 160, 240]), [48]);
  assert.deepEqual(measure([0, 600]), [600]);
});

test('a caller that reads slowly does not make the engine look slow', () => {
  // Guards against engines that are avoided because callers on slow links had
  // their streams paused.
  assert.deepEqual(measure([0, 40, 80, 'r', 3_000, 3_100, 3_200]), [100]);
});

test('a pause does not make the engine look slow', () => {
  // Guards against engines that are avoided after a pause, since all of it
  // counted as one slow event.
  const events = [0, 100, 200, 300, 3_300, 3_400, 3_500];
  assert.deepEqual(measure(events), [100, 100]);
  // An engine that slows down to a sixth is still measured.
  assert.deepEqual(measure([0, 600, 1_200]), [600, 600]);
});
