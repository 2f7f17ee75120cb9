/** Upstreams that announce in their answers that they are shutting down. */

import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import type {EngineStandIn} from '../../stand_ins/users_platform/engine_stand_in_types.js';
import {
  callFor,
  createSite,
  makeConfiguration,
  PROMPT_HEADERS,
  untilReady,
  type Entry,
  type RequestOptions,
  type Site,
} from './relay_site.js';

/** Limit on new work from a host that received the announcement. */
const DRAIN_MS = 2_000;
const CALLING_MS = 4_000;
const STREAM_MS = 100;

let site: Site;
let entry: Entry;

beforeEach(async () => {
  site = await createSite();
});

afterEach(() => site.close());

async function startEntry(): Promise<void> {
  site.configure(makeConfiguration());
  entry = await site.addEntry();
  await untilReady(site, entry);
}

const post = {method: 'POST', body: 'rida=1'};
const draft = {...post, headers: PROMPT_HEADERS};

/**
 * Makes the upstreams leave during an outage of the store, while calls go on.
 * Returns the number of requests that reached each of them after the limit.
 */
async function leaveWithoutStore(
  leaving: readonly EngineStandIn[],
  path: string,
  options: RequestOptions = {},
): Promise<readonly number[]> {
  site.store.setMode('busy');
  for (const each of leaving) each.setLeaving();
  const fromMs = performance.now();
  const answers = await callFor(site, [entry], CALLING_MS, path, options);
  assert.ok(answers.every(({status}) => status === 200));
  return leaving.map(({arrivals}) => {
    const announcedAtMs = arrivals.find(({atMs}) => atMs >= fromMs)?.atMs;
    assert.ok(announcedAtMs !== undefined);
    const boundMs = announcedAtMs + STREAM_MS + DRAIN_MS;
    return arrivals.filter(({atMs}) => atMs > boundMs).length;
  });
}

test('a leaving service gets no calls when only its answers announce it', async () => {
  // Guards against hosts that read the state from the store only.
  const leaving = await site.addUpstream({id: 'i-1', service: 'ledger'});
  await site.addUpstream({id: 'i-2', service: 'ledger'});
  await startEntry();
  assert.deepEqual(await leaveWithoutStore([leaving], '/makse/1', post), [0]);
});

test('a service that announces in error answers that it leaves gets no calls', async () => {
  // Guards against reading the header from successful answers only.
  const leaving = await site.addUpstream({id: 'i-1', service: 'ledger'});
  await site.addUpstream({id: 'i-2', service: 'ledger'});
  await startEntry();
  leaving.setBehaviour('fail');
  assert.deepEqual(await leaveWithoutStore([leaving], '/saldo/1'), [0]);
});

test('leaving engines get no streams or prompts when only their answers announce it', async () => {
  // Guards against ignoring the header of prefill answers.
  const leaving = await Promise.all([
    site.addUpstream({id: 'p-1', service: 'drafts', role: 'prefill'}),
    site.addUpstream({id: 'd-1', service: 'drafts', role: 'decode'}),
  ]);
  await site.addUpstream({id: 'p-2', service: 'drafts', role: 'prefill'});
  await site.addUpstream({id: 'd-2', service: 'drafts', role: 'decode'});
  await startEntry();
  const late = await leaveWithoutStore(leaving, '/lisa/1', draft);
  assert.deepEqual(late, [0, 0]);
});

test('an upstream that announced its leaving gets no calls when it is listed as ready again', async () => {
  // Guards against dropping the state when the upstream leaves the list.
  const leaving = await site.addUpstream({id: 'i-1', service: 'ledger'});
  await site.addUpstream({id: 'i-2', service: 'ledger'});
  await startEntry();
  leaving.setLeaving();
  await callFor(site, [entry], 500, '/saldo/1');
  site.store.remove('servers', leaving.id);
  await callFor(site, [entry], 1_500, '/saldo/1');
  site.list(leaving);
  const count = leaving.arrivals.length;
  await callFor(site, [entry], CALLING_MS, '/saldo/1');
  assert.equal(leaving.arrivals.length, count);
});
