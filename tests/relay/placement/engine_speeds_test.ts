import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import {createEngineSpeeds} from '../../../src/relay/placement/engine_speeds.js';
import {makeEngine} from './lone_scheduler.js';
import {
  DECODE_IDS,
  PREFILL_IDS,
  simulateSpeeds,
  unevenSpeed,
  type SpeedLoad,
  type SpeedLoadResult,
} from './speed_load.js';

const calm: SpeedLoad = {
  seed: 1,
  speedAt: unevenSpeed,
  loadExponent: 0,
  calmPerS: 14,
  burstPerS: 14,
  durationMs: 8_000,
};

function assertMeasured(
  {factors}: SpeedLoadResult,
  ids: readonly string[],
  margin: number,
): void {
  const mean = ids.reduce((sum, id) => sum + unevenSpeed(id), 0) / ids.length;
  for (const id of ids) {
    const error = Math.log((factors[id] * mean) / unevenSpeed(id));
    assert.ok(Math.abs(error) < margin, `${id} ${JSON.stringify(factors)}`);
  }
}

test('hosts that each see few runs measure the speeds together', async () => {
  // Guards against factors that differ by the host that measured them: each of
  // 14 hosts has one stream a second, on one engine of 12.
  for (const seed of [1, 2, 3]) {
    const result = await simulateSpeeds({...calm, seed});
    assertMeasured(result, DECODE_IDS, 0.2);
    assertMeasured(result, PREFILL_IDS, 0.2);
  }
});

test('fast engines with many runs do not look like slow ones', async () => {
  // Guards against a pace that is compared regardless of load. Fast engines get
  // two to three times the runs, which here slows each of them by half.
  for (const seed of [1, 2, 3]) {
    const load = {...calm, seed, loadExponent: 0.5};
    const {factors} = await simulateSpeeds(load);
    const factorsOf = (isFast: boolean) =>
      DECODE_IDS.filter(id => unevenSpeed(id) > 1 === isFast).map(
        id => factors[id],
      );
    const sumOf = (values: readonly number[]) =>
      values.reduce((sum, value) => sum + value, 0);
    // 2.43 in truth, and 1.5 to 1.84 if loads are not taken into account.
    const ratio = (2 * sumOf(factorsOf(true))) / sumOf(factorsOf(false));
    assert.ok(ratio > 1.9, `${ratio} ${JSON.stringify(factors)}`);
    const least = Math.min(...factorsOf(true)) / Math.max(...factorsOf(false));
    assert.ok(least > 1.4, `${least} ${JSON.stringify(factors)}`);
  }
});

test('engines of nearly equal speed are chosen as without measurements', async () => {
  // Guards against choices that follow the errors of measurements.
  for (const seed of [1, 2, 3]) {
    const load: SpeedLoad = {
      ...calm,
      seed,
      burstPerS: 34,
      durationMs: 12_000,
      speedAt: id => (Number(id.slice(1)) % 2 === 0 ? 0.95 : 1.05),
    };
    const measured = await simulateSpeeds(load);
    const without = await simulateSpeeds({...load, ignoresSpeeds: true});
    assert.ok(without.placed.length > 200);
    assert.deepEqual(measured.placed, without.placed);
    assert.ok(Object.values(measured.factors).every(factor => factor === 1));
  }
});

test('an engine that slows down gets no new work after a second of load', async () => {
  // Guards against streams that keep going to an engine at a third of its
  // speed, where first events and events are late.
  for (const seed of [1, 2, 3]) {
    const result = await simulateSpeeds({
      ...calm,
      seed,
      speedAt: (id, ms) =>
        (id === 'd0' || id === 'p1') && ms >= 4_000 ? 1 / 3 : 1,
    });
    const since = (ms: number) => result.placed.filter(each => each.atMs > ms);
    const before = result.placed.filter(({atMs}) => atMs < 4_000);
    assert.ok(before.some(({decode}) => decode === 'd0'));
    assert.ok(before.some(({prefill}) => prefill === 'p1'));
    const onSlow = since(5_200).filter(({decode}) => decode === 'd0');
    assert.equal(onSlow.length, 0, JSON.stringify(result.factors));
    // Only prompts that were alone are measured, and two hosts must agree. Six
    // take the slow engine 1.8 s; later ones go elsewhere.
    const prompts = since(4_000).filter(({prefill}) => prefill === 'p1');
    assert.ok(prompts.length <= 6, JSON.stringify(prompts));
    assert.ok(prompts.every(({atMs}) => atMs < 6_000));
    assert.equal(result.refused, 0);
  }
});

test('false reports of one host change no factor much', async () => {
  // Guards against a faulty host that keeps all work from good engines, and
  // against one invalid record that loses the valid ones beside it.
  const falseRecords = [
    ['d0', 1, 0.1],
    ['d1', 1_000_000, 10],
    ['d2', 1, Number.NaN],
    ['d3', 1, 1e9],
    ['d4', -1, 1],
    ['gone', 1, 1],
    'd5',
  ];
  const result = await simulateSpeeds({...calm, falseRecords});
  const margin = Math.log(1.5);
  assertMeasured(result, ['d0', 'd1', 'd2', 'd3', 'd4', 'd5'], margin);
  assert.ok(result.rejectedRecords > 0);
});

function makeSpeeds(hostCount: number) {
  const clock = createVirtualClock(1_000);
  const listed = ['p0', 'd0', 'd1', 'd2', 'd3'].map(makeEngine);
  const speeds = createEngineSpeeds({
    clock,
    tokensPerMs: () => 33,
    engines: () => listed,
    hostCount: () => hostCount,
  });
  return {clock, speeds, listed};
}

test('a placer without measurements and a restarted engine begin at 1', () => {
  const {clock, speeds, listed} = makeSpeeds(5);
  assert.equal(speeds.factorOf('d0'), 1);
  for (const host of ['a', 'b', 'c', 'd']) {
    speeds.applyPeer(host, [
      ['d0', 1, 0.3],
      ['d1', 1, 1],
      ['d2', 1, 1],
    ]);
  }
  clock.advanceSync(200);
  assert.ok(speeds.isSlowed('d0'));
  // The id changes with the start of an engine.
  listed.push(makeEngine('d0-restarted'));
  assert.equal(speeds.factorOf('d0-restarted'), 1);
  // Nobody has used the slow engine for a minute, so it is tried again.
  clock.advanceSync(61_000);
  assert.equal(speeds.factorOf('d0'), 1);
  assert.equal(speeds.isSlowed('d0'), false);
});

test('a host that announces anything else changes no factor', () => {
  // Guards against a datagram of another version that stops all placements.
  const {clock, speeds} = makeSpeeds(5);
  for (const value of [undefined, null, 'd0', {}, [[]], [['d0', '1', 1]]]) {
    speeds.applyPeer('a', value);
  }
  clock.advanceSync(200);
  assert.equal(speeds.factorOf('d0'), 1);
  assert.equal(speeds.rejectedCount(), 5);
});

test('two hosts alone cannot take all work from an engine', () => {
  // Guards against a median of two reports, which one of them determines.
  const {clock, speeds} = makeSpeeds(5);
  for (const host of ['a', 'b']) {
    speeds.applyPeer(host, [
      ['d0', 1, 0.1],
      ['d1', 1, 1],
      ['d2', 1, 1],
    ]);
  }
  clock.advanceSync(200);
  assert.ok(speeds.factorOf('d0') >= 0.5, `${speeds.factorOf('d0')}`);
});

test('300 hosts announce at most 50 records per second together', () => {
  // Guards against a host that receives more bytes the more hosts there are.
  const {clock, speeds, listed} = makeSpeeds(300);
  let count = 0;
  for (let i = 0; i < 1_000; i++) {
    clock.advanceSync(100);
    for (const engine of listed) {
      const msPerToken = 2.7 + (i % 7) / 10;
      speeds.recordEvents({engine, runs: 3, msPerToken, durationMs: 200});
    }
    count += speeds.takeRecords().length;
  }
  // This host's part of 50 records per second, for 100 s.
  assert.ok(count > 14 && count <= 17, `${count}`);
});
