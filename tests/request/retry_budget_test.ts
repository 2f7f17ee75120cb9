import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createRetryBudget} from '../../src/request/retry_budget.js';

function countRetries(hostCount: number, requests: number): number {
  const slack = 198;
  const budgets = Array.from({length: hostCount}, () =>
    createRetryBudget({burst: () => slack / hostCount, ratioOf: () => 0.2}),
  );
  let retries = 0;
  for (let i = 0; i < requests; i++) {
    const budget = budgets[i % hostCount];
    budget.requestStarted('drafts');
    while (budget.tryTake('drafts')) retries++;
  }
  return retries;
}

test('many hosts together keep to the allowance of one', () => {
  // A failing service gets its load nearly twice: each of 90 hosts took the
  // part of a twelfth of the allowance, seven times what all may.
  for (const hostCount of [9, 13, 90]) {
    const requests = 835;
    const retries = countRetries(hostCount, requests);
    assert.ok(
      retries <= 198 + 0.2 * requests,
      `${retries} retries by ${hostCount} hosts`,
    );
  }
});

test('the part of a host shrinks as others are heard of', () => {
  let hostCount = 1;
  const budget = createRetryBudget({
    burst: () => 10 / hostCount,
    ratioOf: () => 0,
  });
  assert.equal(budget.tryTake('drafts'), true);
  hostCount = 10;
  assert.equal(budget.tryTake('drafts'), true);
  assert.equal(budget.tryTake('drafts'), false);
});

test('a retry that is given back can be taken again, and none beyond', () => {
  const budget = createRetryBudget({burst: () => 2, ratioOf: () => 0});
  assert.equal(budget.hasLeft('drafts', 2), true);
  assert.equal(budget.tryTake('drafts'), true);
  assert.equal(budget.hasLeft('drafts', 2), false);
  budget.giveBack('drafts');
  budget.giveBack('drafts');
  assert.equal(budget.hasLeft('drafts', 2), true);
  assert.equal(budget.hasLeft('drafts', 3), false);
});
