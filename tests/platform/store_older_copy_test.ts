/** A store that is restored from a copy some seconds old. */

import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import type {EngineStandIn} from '../../stand_ins/users_platform/engine_stand_in_types.js';
import {
  callFor,
  createSite,
  makeConfiguration,
  untilReady,
  wait,
  type Entry,
  type Site,
} from './relay_site.js';

/** Limit on new work after the store lists an upstream as draining. */
const DRAIN_MS = 2_000;
const CALLING_MS = 4_000;
/** Lost writes; enough to set the store's version counter far back. */
const LOST_WRITES = 12;

let site: Site;

beforeEach(async () => {
  site = await createSite();
});

afterEach(() => site.close());

async function startEntries(count: number): Promise<readonly Entry[]> {
  const first = await site.addEntry();
  const seedAddresses = [first.settings.peerAddress];
  const entries = [first];
  while (entries.length < count) {
    entries.push(await site.addEntry({seedAddresses}));
  }
  for (const entry of entries) await untilReady(site, entry);
  return entries;
}

/** Restores the store's present state after further writes. */
async function loseWrites(): Promise<void> {
  const copy = site.store.copy();
  for (let i = 0; i < LOST_WRITES; i++) {
    site.configure(makeConfiguration());
    await wait(50);
  }
  await wait(1_000);
  site.store.setMode('busy');
  await wait(500);
  site.store.restore(copy);
  site.store.setMode('serving');
}

async function countLate(
  entries: readonly Entry[],
  leaving: EngineStandIn,
): Promise<number> {
  const leftAtMs = performance.now();
  const answers = await callFor(site, entries, CALLING_MS, '/saldo/1');
  assert.ok(answers.every(({status}) => status === 200));
  const late = leaving.arrivals.filter(({atMs}) => atMs > leftAtMs + DRAIN_MS);
  return late.length;
}

for (const count of [1, 3]) {
  test(`an upstream that drains after the store lost writes gets no new work from ${count} hosts`, async () => {
    // Guards against ignoring upstream lists because the store's version
    // counter went back.
    const leaving = await site.addUpstream({id: 'i-1', service: 'ledger'});
    await site.addUpstream({id: 'i-2', service: 'ledger'});
    site.configure(makeConfiguration());
    const entries = await startEntries(count);
    await loseWrites();
    await wait(1_500);
    site.list(leaving, 'draining');
    assert.equal(await countLate(entries, leaving), 0);
  });
}
