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

test('many hosts together stay within the shared retry allowance', () => {
  // Guards against a wrong share: if each of 90 hosts takes a twelfth of the
  // allowance, they retry seven times as much as allowed, and a failing service
  // gets nearly twice its load.
  for (const hostCount of [9, 13, 90]) {
    const requests = 835;
    const retries = countRetries(hostCount, requests);
    assert.ok(
      retries <= 198 + 0.2 * requests,
      `${retries} retries by ${hostCount} hosts`,
    );
  }
});

test('the share of a host shrinks as other hosts appear', () => {
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

test('only a returned retry can be taken again', () => {
  const budget = createRetryBudget({burst: () => 2, ratioOf: () => 0});
  assert.equal(budget.hasLeft('drafts', 2), true);
  assert.equal(budget.tryTake('drafts'), true);
  assert.equal(budget.hasLeft('drafts', 2), false);
  budget.giveBack('drafts');
  budget.giveBack('drafts');
  assert.equal(budget.hasLeft('drafts', 2), true);
  assert.equal(budget.hasLeft('drafts', 3), false);
});
