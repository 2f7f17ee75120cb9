import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSeededRandom} from '../../../src/core/seeded_random.js';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import type {QuotaRequest} from '../../../src/relay/accounts/quota_messages.js';
import {createQuotaOwner} from '../../../src/relay/accounts/quota_owner.js';
import {createRoutePriorities} from '../../../src/relay/accounts/route_priorities.js';
import {reserveUnitsFor} from '../../../src/relay/accounts/reserve_rules.js';
import {createLimitPools} from '../../../src/relay/accounts/limit_pools.js';
import {createSpendingLedger} from '../../../src/relay/accounts/spending_ledger.js';
import {ACCOUNT, QUOTA} from './quota_fleet.js';
import type {Route} from '../../../src/core/routing_types.js';

function createOwner() {
  const clock = createVirtualClock(1_000);
  const quotaOf = () => QUOTA;
  const hostId = 'host-1';
  const pools = createLimitPools({
    clock,
    random: createSeededRandom(1),
    hostId,
    quotaOf,
    hostCount: () => 2,
    toleranceUnits: () => 0,
  });
  const ledger = createSpendingLedger({clock, pools, quotaOf});
  // The bucket begins half full.
  for (const each of [hostId, 'host-2']) {
    const reporting = {hostId: each, incarnation: 'a', aliveMs: 0};
    ledger.record(reporting, [], {[hostId]: 0});
  }
  const invalid = {count: 0};
  const onInvalidField = () => void invalid.count++;
  const owner = createQuotaOwner({clock, ledger, pools, onInvalidField});
  let askId = 0;
  const ask = (costUnits: number, more: Partial<QuotaRequest> = {}) => {
    const kind = 'quota-ask';
    const own = {kind, askId: askId++, account: ACCOUNT, costUnits} as const;
    return owner.handle('host-1', {...own, ...more});
  };
  /** Makes the account send 4 times its limit, half of it urgent. */
  const overload = () => {
    const offeredUnits = QUOTA.unitsPerS * 4;
    const totals = {offeredUnits, admittedUnits: 0, returnedUnits: 0};
    const self = {hostId: 'host-2', incarnation: 'a', aliveMs: 10};
    ledger.record(self, [{account: ACCOUNT, ...totals}], {[hostId]: 0});
    for (let i = 0; i < 20; i++) ask(500, {priority: i % 2});
  };
  return {ask, overload, invalid};
}

test('a new owner applies the reserve that hosts send', () => {
  // Guards against a successor that reserves nothing until it has a history.
  const {ask} = createOwner();
  const refused = ask(5_000, {priority: 2, reserveUnits: 14_000});
  assert.equal(refused.isGranted, false);
  assert.equal(refused.reserveUnits, 14_000);
  assert.equal(ask(5_000, {priority: 0, reserveUnits: 0}).isGranted, true);
});

test('an owner with a history applies its own reserve', () => {
  // Guards against a reserve by the few requests that one host has seen.
  const {ask, overload} = createOwner();
  overload();
  assert.equal(ask(5_000, {priority: 1, reserveUnits: 0}).isGranted, false);
  assert.equal(ask(5_000, {priority: 0, reserveUnits: 9e9}).isGranted, true);
});

test('a request without the new fields gets the answer of the previous build', () => {
  // Guards against an older host that is refused for a reserve.
  const {ask, overload} = createOwner();
  overload();
  const {askId, levelUnits, ...answer} = ask(5_000);
  assert.deepEqual(answer, {kind: 'quota-answer', isGranted: true});
  assert.ok(Number.isFinite(askId) && Number.isFinite(levelUnits));
});

test('invalid fields are ignored and counted', () => {
  // Guards against a host that sends wrong fields and so empties the bucket or
  // locks it for good.
  const {ask, invalid} = createOwner();
  const wrong = ['x', null, -1, Number.NaN] as unknown as readonly number[];
  for (const reserveUnits of wrong) {
    assert.equal(ask(100, {priority: 1, reserveUnits}).isGranted, true);
    assert.equal(ask(100, {priority: reserveUnits}).isGranted, true);
    assert.equal(ask(reserveUnits).isGranted, false);
  }
  assert.equal(invalid.count, 3 * wrong.length);
  for (let i = 0; i < 100; i++) ask(1, {priority: i / 7});
  assert.equal(ask(100, {priority: 0}).isGranted, true);
  const huge = createOwner().ask(100, {priority: 2, reserveUnits: 9e9});
  assert.equal(huge.reserveUnits, QUOTA.burstUnits / 2);
});

test('a full bucket holds the reserve beside the request', () => {
  // Guards against an account whose less urgent requests are always refused,
  // since its bucket holds little more than one.
  const shares = [0, 1].map(priority => ({priority, share: 0.5}));
  const mix = {shares, requestUnits: 5_300, requestCount: 50, unitsPerS: 0};
  const offeredUnitsPerS = QUOTA.unitsPerS * 4;
  const level = {account: ACCOUNT, levelUnits: 0, offeredUnitsPerS};
  const reserveFor = (burstUnits: number) =>
    reserveUnitsFor(1, mix, level, {...QUOTA, burstUnits}, 5_300);
  assert.equal(reserveFor(QUOTA.burstUnits), QUOTA.burstUnits / 2);
  assert.equal(reserveFor(6_000), 700);
  assert.equal(reserveFor(3_000), 0);
});

const route = (name: string, service: string, priority: number) =>
  ({name, priority, targets: [{service, weight: 1}]}) as unknown as Route;
test('only routes of different priorities of a service give requests a priority', () => {
  // Guards against a reserve where the configuration does not call for it. The
  // priority of the account is the same for all requests that share its limit.
  let routes = [
    route('chat', 'drafts', 0),
    route('batch', 'drafts', 2),
    route('read', 'ledger', 1),
    route('write', 'ledger', 1),
  ];
  const priorities = createRoutePriorities(() => routes);
  const all = () => routes.map(each => priorities.of(each));
  assert.deepEqual(all(), [0, 2, undefined, undefined]);
  routes = [route('chat', 'drafts', 1), route('batch', 'drafts', 1)];
  assert.deepEqual(all(), [undefined, undefined]);
});
