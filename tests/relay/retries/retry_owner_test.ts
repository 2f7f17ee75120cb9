import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import {
  readUnusedRetries,
  toOwnerTag,
} from '../../../src/relay/retries/retry_messages.js';
import {createRetryOwner} from '../../../src/relay/retries/retry_owner.js';
import {silentLog} from '../../support/silent_log.js';

const HOST_COUNT = 68;
const SLACK = 58;
const SERVICE = 'drafts';

const WINDOW_MS = 10_000;

function makeOwners(...hostIds: readonly string[]) {
  return makeOwnersFor(WINDOW_MS, hostIds);
}

function makeOwnersFor(retryWindowMs: number, hostIds: readonly string[]) {
  const clock = createVirtualClock(5_000);
  const owners = hostIds.map(hostId =>
    createRetryOwner({
      hostId,
      clock,
      log: silentLog,
      limits: () => ({retryRatio: 0.1, retrySlack: SLACK, retryWindowMs}),
      knownCount: () => HOST_COUNT,
      hasService: service => service === SERVICE,
      isOwner: () => true,
    }),
  );
  /** All hosts report the same total, which they leave to the first owner. */
  function reportAll(total: unknown, incarnation = '1'): void {
    const report = [[SERVICE, total, toOwnerTag(hostIds[0])]];
    for (let i = 0; i < HOST_COUNT; i++) {
      const from = {hostId: `h${i}`, incarnation};
      for (const each of owners) each.record(from, readUnusedRetries(report)!);
    }
  }
  /** Grants of each owner until it refuses. */
  const grantAll = () =>
    owners.map(owner => {
      let count = 0;
      while (owner.grant('h9', SERVICE)) count++;
      return count;
    });
  return {clock, reportAll, grantAll};
}

test('a new owner has nothing to grant at first, and all after 10 s', async () => {
  // Guards against a successor that grants again what its predecessor granted.
  const {clock, reportAll, grantAll} = makeOwners('h0');
  reportAll(0);
  assert.deepEqual(grantAll(), [0]);
  await clock.advance(5_000);
  reportAll(0);
  assert.deepEqual(grantAll(), [14]);
  await clock.advance(5_000);
  reportAll(0);
  assert.deepEqual(grantAll(), [15]);
  await clock.advance(5_100);
  reportAll(0);
  assert.deepEqual(grantAll(), [0]);
  await clock.advance(1_000);
  assert.deepEqual(grantAll(), [14]);
});

test('two owners at once each grant half, and only one what hosts leave unused', async () => {
  const {clock, reportAll, grantAll} = makeOwners('h0', 'h1');
  reportAll(0);
  await clock.advance(11_000);
  reportAll(0);
  const granted = [0, 0];
  for (let total = 1; total <= 9; total++) {
    await clock.advance(1_000);
    reportAll(total);
    grantAll().forEach((count, i) => (granted[i] += count));
  }
  const [first, second] = granted;
  assert.equal(second, SLACK / 2);
  assert.ok(first > 3 * second, `${first}`);
  assert.ok(first <= SLACK / 2 + 9 * HOST_COUNT, `${first}`);
});

test('invalid reports and those of another start add nothing', async () => {
  // Guards against a host that restarts, or sends nonsense, and so makes the
  // owner grant more than the requests of all allowed.
  const {clock, reportAll, grantAll} = makeOwners('h0');
  reportAll(0);
  await clock.advance(10_000);
  for (const total of [Number.NaN, -1, '900', null]) reportAll(total);
  reportAll(900, '2');
  await clock.advance(1_000);
  assert.deepEqual(grantAll(), [SLACK / 2]);
  assert.equal(readUnusedRetries('many'), undefined);
  assert.deepEqual(readUnusedRetries([['a'], 7, null, ['b', 1, 2]]), [
    ['b', 1, 2],
  ]);
});

// Guards against retries that use up the constant several times in a longer
// window than the usual one.
for (const windowMs of [5_000, 10_000, 20_000, 60_000]) {
  test(`an owner that is asked all the time keeps to a window of ${windowMs} ms`, async () => {
    const stepMs = 500;
    const {clock, reportAll, grantAll} = makeOwnersFor(windowMs, ['h0']);
    const grants: number[] = [];
    for (let i = 0; i < (3 * windowMs) / stepMs; i++) {
      reportAll(0);
      grants.push(grantAll()[0]);
      await clock.advance(stepMs);
    }
    const windowSteps = windowMs / stepMs;
    const sums = grants.map((_, i) =>
      grants.slice(i, i + windowSteps).reduce((sum, count) => sum + count, 0),
    );
    // One owner grants half of what all hosts leave at most.
    assert.ok(Math.max(...sums) <= SLACK / 2, `${sums}`);
    assert.ok(Math.max(...sums) >= SLACK / 4, `${sums}`);
  });
}
