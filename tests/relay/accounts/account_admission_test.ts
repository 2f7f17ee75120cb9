import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Route} from '../../../src/core/routing_types.js';
import type {RelayRequest} from '../../../src/ports/relay.js';
import {
  createAccountAdmission,
  type AccountAdmissionHost,
} from '../../../src/relay/accounts/account_admission.js';
import type {Charge} from '../../../src/relay/accounts/account_limiter.js';
import {QUOTA} from './quota_fleet.js';

test('calls without a prompt are not held back for urgent streams', () => {
  // Guards against plain calls that are refused for a reserve of tokens that
  // they hardly touch.
  const charges: Charge[] = [];
  const account = {name: 'a', keyDigests: ['k'], quota: QUOTA};
  const admission = createAccountAdmission({
    freshness: {ageMs: () => 0},
    priorities: {of: ({priority}: Route) => priority},
    accounts: () => ({requiresKey: true, findByKey: () => account}),
    limiter: {
      take(charge: Charge) {
        charges.push(charge);
        return {kind: 'allowed'};
      },
    },
    keyWithdrawalMs: () => undefined,
  } as unknown as AccountAdmissionHost);
  const route = {priority: 2, isPublic: false} as Route;
  const prompt = {model: 'm', promptTokens: 3_200, maxOutputTokens: 1_000};
  const request = {requestId: 'r', keyDigest: 'k'} as RelayRequest;
  void admission.admit({...request, prompt}, route);
  void admission.admit(request, route);
  assert.deepEqual(
    charges.map(({priority}) => priority),
    [2, undefined],
  );
});
