import assert from 'node:assert/strict';
import {test} from 'node:test';
import {OWNER, simulateRetries, type RetryFleetOptions} from './retry_fleet.js';

const HOST_COUNT = 68;
const CHANGE_MS = 26_000;
const SEEDS = [1, 2, 3];

/** Failures in 4 of 20 s, as while some engines are out. */
const inBursts = (elapsedMs: number) =>
  elapsedMs % 20_000 >= 12_000 && elapsedMs % 20_000 < 16_000 ? 0.4 : 0.03;
const always = () => 0.9;

const fleet = {
  seed: 1,
  way: 'shared',
  hostCount: HOST_COUNT,
  retrySlack: 58,
  requestsPerS: 36,
  failShare: always,
} as const;

/** Runs on each seed and asserts that no 10 s exceed the limit. */
async function assertBounded(
  options: Omit<RetryFleetOptions, 'seed'>,
  check: (seen: Awaited<ReturnType<typeof simulateRetries>>) => void = () =>
    undefined,
): Promise<void> {
  for (const seed of SEEDS) {
    const seen = await simulateRetries({...options, seed});
    const text = JSON.stringify({seed, ...seen});
    assert.ok(seen.worstExcess <= 0, text);
    assert.ok(seen.allowed > 0, text);
    check(seen);
  }
}

const sumOf = (numbers: readonly number[]) =>
  numbers.reduce((a, b) => a + b, 0);

test('retries are granted where others leave some, more than by an even split', async t => {
  // Guards against requests refused for lack of retries while other hosts have
  // unused ones: half of all requests arrive at a sixth of the hosts.
  for (const seed of SEEDS) {
    const options = {...fleet, seed, failShare: inBursts};
    const even = await simulateRetries({...options, way: 'even-split'});
    const shared = await simulateRetries(options);
    const seen = JSON.stringify({seed, even, shared});
    t.diagnostic(seen);
    assert.ok(shared.allowed > 1.1 * even.allowed, seen);
    assert.ok(shared.worstExcess <= 0, seen);
    assert.ok(shared.busiestBytesPerS < 2_000, seen);
  }
});

test('a burst of failures at all hosts is retried as by the even split', async () => {
  // Guards against retries kept for owners that may not grant them, while each
  // host has used up its part.
  for (const [hostCount, retrySlack] of [
    [82, 204],
    [68, 176],
  ]) {
    const size = {hostCount, retrySlack, requestsPerS: 300};
    const load = {...fleet, ...size, failShare: inBursts};
    const even = await simulateRetries({...load, way: 'even-split'});
    await assertBounded(load, shared => {
      const seen = JSON.stringify({even, shared});
      assert.ok(shared.allowed > 0.95 * even.allowed, seen);
    });
  }
});

test('the limit holds in any 10 s when every request fails', async () => {
  // Guards against parts of one retry for each host, which together exceed the
  // limit where there are more hosts than additional retries.
  const load = {...fleet, requestsPerS: 300, retrySlack: 30};
  const even = await simulateRetries({...load, seed: 1, way: 'even-split'});
  assert.ok(even.worstExcess > 0, JSON.stringify(even));
  await assertBounded(load);
  await assertBounded(fleet);
});

test('after the death of an owner its successor grants again, within the limit', async () => {
  // Guards against a successor that grants at once what the owner before it has
  // just granted, and against requests that wait long for a dead owner.
  const isAlive = (host: number, elapsedMs: number) =>
    host !== OWNER || elapsedMs < CHANGE_MS;
  const isSeen = (by: number, other: number, elapsedMs: number) =>
    other !== OWNER || elapsedMs < CHANGE_MS + 2_200 + by * 15;
  await assertBounded({...fleet, isAlive, isSeen}, seen => {
    assert.ok(seen.longestAskMs <= 51, JSON.stringify(seen));
    const {allowedBySecond} = seen;
    assert.ok(
      sumOf(allowedBySecond.slice(36, 46)) > 20,
      allowedBySecond.join(),
    );
  });
});

test('two owners that all hosts report to stay within the limit together', async () => {
  // Guards against both granting everything: a third of the hosts count the
  // owner as dead for 15 s, and it goes on serving the others.
  const isSeen = (by: number, other: number, elapsedMs: number) => {
    const isApart = elapsedMs >= CHANGE_MS && elapsedMs < CHANGE_MS + 15_000;
    return !isApart || by % 3 !== 1 || other !== OWNER;
  };
  await assertBounded({...fleet, isSeen});
  await assertBounded({...fleet, isSeen, requestsPerS: 300, retrySlack: 30});
});

for (const parts of [2, 3]) {
  test(`the ${parts} parts of a partition stay within the limit together`, async () => {
    // Guards against an owner in each part that grants for all hosts.
    const isTogether = (a: number, b: number, elapsedMs: number) =>
      a % parts === b % parts ||
      elapsedMs < CHANGE_MS ||
      elapsedMs > CHANGE_MS + 20_000;
    const isSeen = (by: number, other: number, elapsedMs: number) =>
      isTogether(by, other, elapsedMs - 2_200 - by * 15);
    const partition = {...fleet, isLinked: isTogether, isSeen};
    await assertBounded(partition, seen => {
      const granted = sumOf(seen.allowedBySecond.slice(30, 46));
      assert.ok(granted > 15, seen.allowedBySecond.join());
    });
    await assertBounded({...partition, requestsPerS: 300, retrySlack: 30});
  });
}

test('hosts of an earlier build keep to their part and are not counted twice', async () => {
  const isOlder = (host: number) => host % 2 === 1;
  await assertBounded({...fleet, retrySlack: 90, isOlder});
});

test('few retries or few hosts are served as by the even split', async () => {
  // Guards against an owner that has less than a burst of failures needs, and
  // against few hosts that ask each other for what each had by itself.
  const fewHosts = [1, 12].map(hostCount => ({hostCount, retrySlack: 58}));
  for (const small of [{retrySlack: 8}, ...fewHosts]) {
    const load = {...fleet, ...small, failShare: inBursts};
    const even = await simulateRetries({...load, way: 'even-split'});
    const shared = await simulateRetries(load);
    assert.equal(shared.allowed, even.allowed);
  }
});

// Guards against retries that use up the constant twice within a longer window,
// and against reports that come later than a shorter one is long.
for (const retryWindowMs of [5_000, 20_000]) {
  test(`retries are bounded in a window of ${retryWindowMs} ms`, async () => {
    await assertBounded({...fleet, retryWindowMs});
    await assertBounded({...fleet, retryWindowMs, failShare: inBursts});
  });
}
