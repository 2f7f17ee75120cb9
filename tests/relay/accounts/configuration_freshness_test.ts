import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSeededRandom} from '../../../src/core/seeded_random.js';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import {createConfigurationFreshness} from '../../../src/relay/accounts/configuration_freshness.js';
import {createStoreTime} from '../../../src/relay/accounts/store_time.js';
import {makeSite} from '../store/store_site.js';

const SEEDS = Array.from({length: 20}, (_, i) => i + 1);

/** Lost versions are rewritten within this time after the store's return. */
const REWRITE_MS = 2_000;

const storeAt = (storeMs: number, era = 0) => ({era, storeMs});

function makeHost() {
  const clock = createVirtualClock(1_000);
  let suspendedMs = 0;
  let wallStepMs = 0;
  const host = {
    ...clock,
    // The steady clock omits a suspension; the wall clock doesn't.
    nowMs: () => clock.nowMs() - suspendedMs,
    wallMs: () => clock.nowMs() + wallStepMs,
  };
  const storeTime = createStoreTime(host);
  const freshness = createConfigurationFreshness({clock: host, storeTime});
  return {
    clock,
    storeTime,
    freshness,
    async suspend(durationMs: number) {
      await clock.advance(durationMs);
      suspendedMs += durationMs;
    },
    stepWall(byMs: number) {
      wallStepMs += byMs;
    },
    readStore() {
      const sentAt = storeTime.now();
      storeTime.note(sentAt, storeAt(clock.nowMs()));
      freshness.noteCompleteUntil(storeAt(clock.nowMs()));
    },
  };
}

test('a message that waited in a socket during a suspension keeps its age', async () => {
  // Guards against an age that is counted from the receipt of a datagram.
  const {clock, freshness, readStore} = makeHost();
  readStore();
  const completeUntilMs = clock.nowMs();
  await clock.advance(6_000);
  freshness.noteCompleteUntil(storeAt(completeUntilMs + 200));
  assert.equal(freshness.ageMs(), 5_800);
});

test('a suspension counts towards the age', async () => {
  // Guards against a steady clock that stops while the host is suspended.
  const {freshness, readStore, suspend} = makeHost();
  readStore();
  await suspend(7_000);
  assert.equal(freshness.ageMs(), 7_000);
});

test('a wall clock that jumps back does not reduce the age', async () => {
  const {clock, freshness, readStore, stepWall} = makeHost();
  readStore();
  stepWall(-60_000);
  await clock.advance(3_000);
  assert.equal(freshness.ageMs(), 3_000);
});

test('the next read corrects the age after the wall clock jumped forward', async () => {
  const {clock, freshness, readStore, stepWall} = makeHost();
  readStore();
  stepWall(60_000);
  assert.ok(freshness.ageMs() >= 60_000);
  await clock.advance(500);
  readStore();
  assert.equal(freshness.ageMs(), 0);
});

test("a host without the store's time confirms nothing", async () => {
  const {clock, freshness} = makeHost();
  assert.equal(freshness.ageMs(), Number.POSITIVE_INFINITY);
  const confirmed = freshness.confirmNow(500);
  await clock.advance(600);
  assert.equal(await confirmed, false);
});

test('every version acknowledged before the confirmed time is in force', async () => {
  // Guards against a withdrawn key that a host accepts because it is cut off
  // from the store or from changes, gets a version from a peer, or receives
  // messages late.
  for (const seed of SEEDS) {
    const random = createSeededRandom(seed);
    const hearMs = 3 + random.nextInt(900);
    const site = makeSite(8, {hearMs, announceEveryMs: 250});
    const {clock, hosts, store, cut, hearsNoChanges} = site;
    const acknowledged = [{version: 1, atMs: 0}];
    for (let step = 0; step < 40; step++) {
      await clock.advance(50 + random.nextInt(500));
      const host = hosts[random.nextInt(hosts.length)];
      switch (random.nextInt(6)) {
        case 0:
          site.configure();
          acknowledged.push({version: store.version, atMs: clock.nowMs()});
          break;
        case 1:
          cut.add(host.hostId);
          break;
        case 2:
          cut.clear();
          break;
        case 3:
          hearsNoChanges.add(host.hostId);
          break;
        case 4:
          store.isDown = !store.isDown;
          break;
        case 5:
          site.fetchFromPeer(host.hostId);
          break;
      }
      for (const {hostId, routing, freshness} of hosts) {
        const untilMs = freshness.completeUntil()?.storeMs ?? 0;
        const newest = acknowledged.filter(({atMs}) => atMs < untilMs).at(-1);
        const isComplete = routing.version() >= (newest?.version ?? 0);
        assert.ok(isComplete, `seed ${seed}, ${hostId} at ${clock.nowMs()}`);
      }
    }
  }
});

test('peers confirm the configuration of hosts that the store refuses', async () => {
  // Guards against hosts that refuse all callers in a partial outage.
  const {clock, hosts, cut} = makeSite(9);
  await clock.advance(3_000);
  for (const {hostId} of hosts.slice(0, 3)) cut.add(hostId);
  for (let i = 0; i < 20; i++) {
    await clock.advance(500);
    for (const {freshness} of hosts) {
      assert.ok(freshness.ageMs() < 3_000, `${freshness.ageMs()}`);
    }
  }
});

test('the age is kept when the clock of the store goes back', async () => {
  // Guards against a withdrawn key that works longer by the time that the clock
  // went back.
  const {clock, storeTime, freshness, readStore} = makeHost();
  readStore();
  await clock.advance(2_000);
  storeTime.note(storeTime.now(), storeAt(10, 1));
  assert.equal(freshness.ageMs(), 2_000);
  await clock.advance(500);
  assert.equal(freshness.ageMs(), 2_500);
});

test('every version acknowledged before the confirmed time is in force though the store loses versions', async () => {
  // Guards against a withdrawn key that an older copy of the store contains.
  for (const seed of SEEDS) {
    const random = createSeededRandom(seed);
    const site = makeSite(5, {hearMs: 3, announceEveryMs: 250});
    const {clock, hosts, store, cut} = site;
    const shifts = [0];
    const acknowledged = [{version: 1, atMs: 0}];
    let copy = site.copy();
    for (let step = 0; step < 60; step++) {
      await clock.advance(50 + random.nextInt(500));
      const newest = acknowledged.at(-1)!.version;
      switch (random.nextInt(6)) {
        case 0:
          site.configure(newest + 1);
          acknowledged.push({version: newest + 1, atMs: clock.nowMs()});
          break;
        case 1:
          copy = site.copy();
          break;
        case 2:
          store.isDown = true;
          await clock.advance(random.nextInt(1_500));
          store.clockShiftMs =
            shifts[shifts.length - 1] - random.nextInt(9_000);
          shifts.push(store.clockShiftMs);
          site.restore(copy);
          store.isDown = false;
          // The operator notices the lost version and writes it again.
          clock.setTimer(random.nextInt(REWRITE_MS), () =>
            site.configure(acknowledged.at(-1)!.version),
          );
          break;
        case 3:
          cut.add(hosts[random.nextInt(hosts.length)].hostId);
          break;
        case 4:
          cut.clear();
          break;
        case 5:
          if (hosts.length < 9) site.join(`late-${hosts.length}`);
          break;
      }
      for (const {hostId, routing, freshness} of hosts) {
        const until = freshness.completeUntil() ?? storeAt(0);
        const untilMs = until.storeMs - shifts[until.era];
        const known = acknowledged.filter(({atMs}) => atMs < untilMs).at(-1);
        const isComplete = routing.version() >= (known?.version ?? 0);
        assert.ok(isComplete, `seed ${seed}, ${hostId} at ${clock.nowMs()}`);
      }
    }
  }
});
