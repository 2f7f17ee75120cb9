import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSeededRandom} from '../../../src/core/seeded_random.js';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import {createServiceShares} from '../../../src/relay/accounts/service_shares.js';

const TOKENS = 3_400;
const SEEDS = [1, 2, 3, 4, 5, 6];
/** Streams per second of 16 accounts at their usual rate, 34 in total. */
const USUAL = [
  9, 6, 4, 3, 3, 2, 1.5, 1.5, 1, 0.8, 0.7, 0.5, 0.4, 0.3, 0.2, 0.1,
];
/** Placed per second; more than the usual demand, less than with bursts. */
const ROOM_PER_S = 38;
const STEP_MS = 10;

interface Outcome {
  /** Placed share of the streams by account, over all seeds. */
  readonly placed: readonly number[];
  /** Share of the checks in which the account was over its share. */
  readonly over: readonly number[];
}

/**
 * Simulates a queue for engines. Streams wait up to 2 s; those of accounts
 * within their share start first, then the oldest. `factorOf` is the multiple
 * of its usual rate that an account sends from 8 s to 28 s.
 */
async function simulate(
  factorOf: (account: number) => number,
  hasShares = true,
): Promise<Outcome> {
  const placed = USUAL.map(() => 0);
  const offered = USUAL.map(() => 0);
  const over = USUAL.map(() => 0);
  let checks = 0;
  for (const seed of SEEDS) {
    const clock = createVirtualClock(1_000);
    const random = createSeededRandom(seed);
    const shares = createServiceShares({
      clock,
      weightOf: account => USUAL[Number(account)] * 1.8 * TOKENS,
    });
    let queue: Array<{account: number; atMs: number}> = [];
    let room = 0;
    for (let t = 0; t < 28_000; t += STEP_MS) {
      const nowMs = clock.nowMs();
      const isMeasured = t >= 12_000;
      USUAL.forEach((ratePerS, account) => {
        const factor = t < 8_000 ? 1 : factorOf(account);
        const chance = (ratePerS * factor * STEP_MS) / 1_000;
        if (random.nextFloat() >= chance) return;
        queue.push({account, atMs: nowMs});
        if (isMeasured) offered[account]++;
      });
      queue = queue.filter(({atMs}) => nowMs - atMs <= 2_000);
      room = Math.min(2, room + (ROOM_PER_S * STEP_MS) / 1_000);
      if (room >= 1 && queue.length > 0) {
        const within = queue.findIndex(
          ({account}) => !shares.isOverShare('drafts', `${account}`),
        );
        const [next] = queue.splice(hasShares ? Math.max(0, within) : 0, 1);
        shares.record('drafts', `${next.account}`, TOKENS);
        if (isMeasured) placed[next.account]++;
        room--;
      }
      if (isMeasured && t % 100 === 0) {
        checks++;
        USUAL.forEach((_, account) => {
          over[account] += Number(shares.isOverShare('drafts', `${account}`));
        });
      }
      await clock.advance(STEP_MS);
    }
  }
  return {
    placed: placed.map((count, account) => count / offered[account]),
    over: over.map(count => count / checks),
  };
}

test('accounts at their usual rate keep their service while one sends 5 times its own', async () => {
  // Guards against an account whose burst delays the requests of all others.
  // Also guards against a share that heavy accounts raise for themselves.
  const cases = [
    {heavy: [0], factor: 5, least: 0.98},
    {heavy: [3], factor: 5, least: 0.98},
    {heavy: [0, 1, 2], factor: 4, least: 0.7},
  ];
  for (const {heavy, factor, least} of cases) {
    const factorOf = (each: number) => (heavy.includes(each) ? factor : 1);
    const others = (values: readonly number[]) => {
      const usual = values.filter((_, account) => !heavy.includes(account));
      return usual.reduce((sum, each) => sum + each, 0) / usual.length;
    };
    const {placed, over} = await simulate(factorOf);
    const alike = others((await simulate(factorOf, false)).placed);
    assert.ok(over[heavy[0]] > 0.5, `${over}`);
    assert.ok(others(over) < 0.01, `${over}`);
    assert.ok(others(placed) > least, `${placed}`);
    assert.ok(others(placed) > alike + 0.1, `${alike}`);
  }
});

test('small accounts are not over their share because the window is short', async () => {
  // Guards against judging an account by one or two requests.
  for (const factors of [[1], [5], [4, 4, 4]]) {
    const {over} = await simulate(account => factors[account] ?? 1);
    const small = over.filter((_, account) => USUAL[account] < 2);
    assert.ok(Math.max(...small) < 0.01, `${over}`);
  }
});

function createShares(weights: Readonly<Record<string, number>> = {}) {
  const clock = createVirtualClock(1_000);
  const weightOf = (account: string) => weights[account] ?? 1;
  const shares = createServiceShares({clock, weightOf});
  const record = (counts: Readonly<Record<string, number>>) => {
    for (const [account, count] of Object.entries(counts)) {
      for (let i = 0; i < count; i++) shares.record('drafts', account, TOKENS);
    }
  };
  const over = (...accounts: readonly string[]) =>
    accounts.filter(account => shares.isOverShare('drafts', account));
  return {clock, shares, record, over};
}

test('unused shares go to the others', () => {
  // Guards against holding accounts to a part of what an idle one could use.
  const {record, over} = createShares({idle: 100});
  record({idle: 1, first: 60, second: 60, heavy: 300});
  assert.deepEqual(over('idle', 'first', 'second', 'heavy'), ['heavy']);
  const alone = createShares({idle: 100});
  alone.record({first: 500});
  assert.deepEqual(alone.over('first'), []);
});

test('shares are correct 8 s after the start or a change', async () => {
  // Guards against use that never expires, and against a new placer that stays
  // without shares.
  const {clock, shares, record, over} = createShares();
  assert.deepEqual(over('first', 'second'), []);
  record({first: 200, second: 40});
  assert.deepEqual(over('first', 'second'), ['first']);
  await clock.advance(8_000);
  assert.deepEqual(over('first', 'second'), []);
  record({first: 40, second: 200});
  await clock.advance(200);
  assert.deepEqual(over('first', 'second'), ['second']);
  assert.equal(shares.isOverShare('other', 'second'), false);
});

test('invalid tokens and weights are ignored', () => {
  // Guards against a sum that is no number.
  const {shares, record, over} = createShares({first: Number.NaN});
  record({first: 300, second: 40, third: 40});
  for (const tokens of [Number.NaN, Number.POSITIVE_INFINITY, -1e9, 0]) {
    shares.record('drafts', 'second', tokens);
  }
  assert.deepEqual(over('first', 'second', 'third'), ['first']);
});

test('accounts and services placed longest ago are evicted', async () => {
  // Guards against unbounded memory.
  const {clock, shares, record, over} = createShares();
  record({first: 300, second: 40});
  assert.equal(shares.overShareCount(), 1);
  for (let i = 0; i < 1_024; i++) shares.record('drafts', `${i}`, TOKENS);
  await clock.advance(200);
  assert.deepEqual(over('first'), []);
  record({first: 300});
  await clock.advance(200);
  assert.deepEqual(over('first'), ['first']);
  for (let i = 0; i < 64; i++) shares.record(`${i}`, 'first', TOKENS);
  assert.deepEqual(over('first'), []);
});
