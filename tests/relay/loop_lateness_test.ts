import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../src/core/virtual_clock.js';
import {createLoopLateness} from '../../src/relay/loop_lateness.js';
import {createFreezableClock} from './fleet/fleet_network.js';

test('a process that stood still knows so before its timers have run', async () => {
  // Guards against a refusal that can't be told from one of a host on time.
  const clock = createVirtualClock(1_000);
  const process = createFreezableClock(clock);
  const lateness = createLoopLateness(process.host);
  lateness.start();
  await clock.advance(1_000);
  assert.equal(lateness.recentMs(), 0);
  process.stop(700);
  await clock.advance(650);
  assert.ok(lateness.recentMs() >= 500);
  await clock.advance(1_000);
  assert.ok(lateness.recentMs() >= 500);
  await clock.advance(5_000);
  assert.equal(lateness.recentMs(), 0);
});

test('a process that stood still knows since when signals may have waited', async () => {
  // Guards against a host that counts its grace from when it noticed SIGTERM.
  const clock = createVirtualClock(1_000);
  const process = createFreezableClock(clock);
  const lateness = createLoopLateness(process.host);
  lateness.start();
  await clock.advance(1_050);
  const beforeMs = process.host.nowMs();
  assert.ok(beforeMs - lateness.handledUntilMs() <= 200);
  process.stop(700);
  await clock.advance(710);
  // The late tick has run, and the loop handles signals after it.
  assert.ok(lateness.handledUntilMs() <= beforeMs);
});

test('a loop that has polled shows more exactly since when signals may have waited', async () => {
  // Guards against a host on time that refuses requests early in its grace, as if
  // its signal had waited for two ticks of 100 ms.
  const clock = createVirtualClock(1_000);
  const afterPoll: Array<() => void> = [];
  const poll = () => afterPoll.splice(0).forEach(callback => callback());
  const lateness = createLoopLateness(clock, callback =>
    afterPoll.push(callback),
  );
  lateness.start();
  for (let i = 0; i < 20; i++) {
    await clock.advance(10);
    poll();
  }
  const beforeMs = lateness.handledUntilMs();
  assert.ok(clock.nowMs() - beforeMs <= 40, String(beforeMs));
  clock.standStill(700);
  await clock.advance(0);
  // A late tick has run, and the loop has not polled since.
  assert.equal(lateness.handledUntilMs(), beforeMs);
  poll();
  assert.equal(lateness.handledUntilMs(), clock.nowMs());
});
