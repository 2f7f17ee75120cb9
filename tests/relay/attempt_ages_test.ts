import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createAttemptAges} from '../../src/relay/attempt_ages.js';

const FIRST_WAIT_MS = 2_500;

/** Every other caller repeats its attempt, as under a lasting overload. */
function playOverload(ages = createAttemptAges()) {
  for (let i = 0; i < 64; i++) {
    const isFirst = i % 2 === 0;
    ages.elapsedMs('post', isFirst ? FIRST_WAIT_MS : 900 + 17 * i);
  }
  return ages;
}

test('a repeated attempt counts as late although its host sees it for the first time', () => {
  const ages = playOverload();
  assert.equal(ages.elapsedMs('post', FIRST_WAIT_MS), 0);
  assert.equal(ages.elapsedMs('post', FIRST_WAIT_MS - 30), 0);
  assert.equal(ages.elapsedMs('post', 1_700), 800);
  assert.equal(ages.elapsedMs('other', 1_700), 0);
});

test('a few callers with a long wait do not make all others look old', () => {
  const ages = playOverload();
  for (let i = 0; i < 10; i++) ages.elapsedMs('post', 60_000);
  assert.equal(ages.elapsedMs('post', FIRST_WAIT_MS), 0);
});

test('callers with different waits are taken as first attempts', () => {
  const ages = createAttemptAges();
  for (let i = 1; i <= 64; i++) ages.elapsedMs('post', 100 * i);
  assert.equal(ages.elapsedMs('post', 1_000), 0);
});

test('invalid waits neither fail nor change what was learned', () => {
  const ages = playOverload();
  for (const waitMs of [NaN, -1, 0, Infinity]) {
    assert.equal(ages.elapsedMs('post', waitMs), 0);
  }
  assert.equal(ages.elapsedMs('post', 1_700), 800);
});
