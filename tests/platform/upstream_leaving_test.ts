/** Upstreams that say in their answers that they leave. */

import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import type {EngineStandIn} from '../../stand_ins/users_platform/engine_stand_in.js';
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

/** After this long no host that was told sends the upstream new work. */
const DRAIN_MS = 2_000;
const PLAY_MS = 4_000;
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
 * The upstreams leave while the store cannot tell it, and calls go on.
 * Returns how many requests reached each of them too late.
 */
async function leaveWithoutStore(
  leaving: readonly EngineStandIn[],
  path: string,
  options: RequestOptions = {},
): Promise<readonly number[]> {
  site.store.setMode('busy');
  for (const each of leaving) each.setLeaving();
  const fromMs = performance.now();
  const answers = await callFor(site, [entry], PLAY_MS, path, options);
  assert.ok(answers.every(({status}) => status === 200));
  return leaving.map(({arrivals}) => {
    const toldAtMs = arrivals.find(({atMs}) => atMs >= fromMs)?.atMs;
    assert.ok(toldAtMs !== undefined);
    const boundMs = toldAtMs + STREAM_MS + DRAIN_MS;
    return arrivals.filter(({atMs}) => atMs > boundMs).length;
  });
}

test('a service that leaves gets no calls when only its answers say so', async () => {
  // Guards against hosts that learn it from the store alone.
  const leaving = await site.addUpstream({id: 'i-1', service: 'ledger'});
  await site.addUpstream({id: 'i-2', service: 'ledger'});
  await startEntry();
  assert.deepEqual(await leaveWithoutStore([leaving], '/makse/1', post), [0]);
});

test('a service that says in its failures that it leaves gets no calls', async () => {
  // Guards against a word that is read from answers of success only.
  const leaving = await site.addUpstream({id: 'i-1', service: 'ledger'});
  await site.addUpstream({id: 'i-2', service: 'ledger'});
  await startEntry();
  leaving.setBehaviour('fail');
  assert.deepEqual(await leaveWithoutStore([leaving], '/saldo/1'), [0]);
});

test('engines that leave get no streams and prompts when only their answers say so', async () => {
  // Guards against prefill answers that nobody looks at.
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

test('an upstream that said that it leaves stays out when the list has it as ready again', async () => {
  // Guards against a word that is forgotten with the entry of the list.
  const leaving = await site.addUpstream({id: 'i-1', service: 'ledger'});
  await site.addUpstream({id: 'i-2', service: 'ledger'});
  await startEntry();
  leaving.setLeaving();
  await callFor(site, [entry], 500, '/saldo/1');
  site.store.remove('servers', leaving.id);
  await callFor(site, [entry], 1_500, '/saldo/1');
  site.list(leaving);
  const count = leaving.arrivals.length;
  await callFor(site, [entry], PLAY_MS, '/saldo/1');
  assert.equal(leaving.arrivals.length, count);
});
