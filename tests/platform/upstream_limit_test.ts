/** Upstreams that announce a rate limit in their answers to several hosts. */

import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import type {EngineStandIn} from '../../stand_ins/users_platform/engine_stand_in_types.js';
import {
  callFor,
  createSite,
  makeConfiguration,
  PROMPT_HEADERS,
  untilReady,
  wait,
  type Entry,
  type RequestOptions,
  type Site,
} from './relay_site.js';

const WINDOW_MS = 4_000;
const LIMIT_PER_S = 2;
/** Maximum of requests from all hosts to an upstream in a window. */
const MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * (WINDOW_MS / 1_000) + 5;
/** Time for a host to apply a limit after it received the answer. */
const REACTION_MS = 500;
const FEW_HOSTS = 3;
/** Too many for a full mesh: some coordinate, place and assign slots. */
const MANY_HOSTS = 18;

let site: Site;
let entries: Entry[];

beforeEach(async () => {
  site = await createSite();
  entries = [];
});

afterEach(() => site.close());

async function startEntries(hostCount = FEW_HOSTS): Promise<void> {
  site.configure(makeConfiguration());
  for (let i = 0; i < hostCount; i++) {
    const seeds = entries.slice(0, 3).map(each => each.settings.peerAddress);
    entries.push(await site.addEntry({seedAddresses: seeds}));
  }
  for (const entry of entries) await untilReady(site, entry);
}

/** Makes each host receive an answer of each upstream. */
async function announceLimits(
  upstreams: readonly EngineStandIn[],
  path: string,
  options: RequestOptions,
): Promise<void> {
  await callFor(site, entries, 1_000, path, options);
  for (const upstream of upstreams) assert.ok(upstream.arrivals.length > 0);
  await wait(REACTION_MS);
}

function countMostInWindow({arrivals}: EngineStandIn, sinceMs: number): number {
  const times = arrivals
    .map(({atMs}) => atMs)
    .filter(atMs => atMs >= sinceMs)
    .sort((a, b) => a - b);
  return Math.max(
    0,
    ...times.map(
      fromMs =>
        times.filter(atMs => atMs >= fromMs && atMs < fromMs + WINDOW_MS)
          .length,
    ),
  );
}

const post = {method: 'POST', body: 'rida=1'};
const draft = {...post, headers: PROMPT_HEADERS};

test('all hosts together keep to the limit of an upstream', async () => {
  // Guards against hosts that ignore the limit or each use the whole of it.
  const limited = await site.addUpstream({id: 'i-1', service: 'ledger'});
  const other = await site.addUpstream({id: 'i-2', service: 'ledger'});
  limited.setLimit(LIMIT_PER_S);
  await startEntries();
  await announceLimits([limited, other], '/makse/1', post);
  const sinceMs = performance.now();
  const answers = await callFor(site, entries, 6_000, '/makse/1', post);
  const most = countMostInWindow(limited, sinceMs);
  assert.ok(most <= MAX_IN_WINDOW, `${most} in a window`);
  // The other upstream has room for all of them.
  assert.ok(answers.every(({status}) => status === 200));
});

test('streams and prompts keep to the limits of the engines', async () => {
  // Guards against limits that are applied to plain services only.
  const engines = await Promise.all([
    site.addUpstream({id: 'p-1', service: 'drafts', role: 'prefill'}),
    site.addUpstream({id: 'd-1', service: 'drafts', role: 'decode'}),
  ]);
  const others = await Promise.all([
    site.addUpstream({id: 'p-2', service: 'drafts', role: 'prefill'}),
    site.addUpstream({id: 'd-2', service: 'drafts', role: 'decode'}),
  ]);
  for (const engine of engines) engine.setLimit(LIMIT_PER_S);
  await startEntries();
  await announceLimits([...engines, ...others], '/lisa/1', draft);
  const sinceMs = performance.now();
  await callFor(site, entries, 6_000, '/lisa/1', draft);
  for (const engine of engines) {
    const most = countMostInWindow(engine, sinceMs);
    assert.ok(most <= MAX_IN_WINDOW, `${most} at ${engine.id} in a window`);
  }
});

test('a limit in a refusal is applied', async () => {
  // Guards against reading the header from successful answers only.
  const limited = await site.addUpstream({id: 'i-1', service: 'ledger'});
  await site.addUpstream({id: 'i-2', service: 'ledger'});
  limited.setLimit(LIMIT_PER_S);
  limited.setBehaviour('full');
  await startEntries();
  await announceLimits([limited], '/saldo/1', {});
  const sinceMs = performance.now();
  await callFor(site, entries, 6_000, '/saldo/1', {});
  const most = countMostInWindow(limited, sinceMs);
  assert.ok(most <= MAX_IN_WINDOW, `${most} in a window`);
});

test('many hosts, few of which coordinate, keep to a limit', async () => {
  // Guards against owners of a limit that a host with few peers can't reach.
  const limited = await site.addUpstream({id: 'i-1', service: 'ledger'});
  await site.addUpstream({id: 'i-2', service: 'ledger'});
  limited.setLimit(LIMIT_PER_S);
  await startEntries(MANY_HOSTS);
  await announceLimits([limited], '/makse/1', post);
  const sinceMs = performance.now();
  const answers = await callFor(site, entries, 5_000, '/makse/1', post);
  const most = countMostInWindow(limited, sinceMs);
  assert.ok(most <= MAX_IN_WINDOW, `${most} in a window`);
  assert.ok(most >= LIMIT_PER_S, `${most} in a window`);
  assert.ok(answers.every(({status}) => status === 200));
});

test('calls beyond the limits of all upstreams are refused with a `Retry-After`', async () => {
  // Guards against exceeding a limit because no other upstream is available.
  const upstreams = await Promise.all([
    site.addUpstream({id: 'i-1', service: 'ledger'}),
    site.addUpstream({id: 'i-2', service: 'ledger'}),
  ]);
  for (const each of upstreams) each.setLimit(LIMIT_PER_S);
  await startEntries();
  await announceLimits(upstreams, '/makse/1', post);
  const sinceMs = performance.now();
  const answers = await callFor(site, entries, 5_000, '/makse/1', post);
  for (const each of upstreams) {
    const most = countMostInWindow(each, sinceMs);
    assert.ok(most <= MAX_IN_WINDOW, `${most} at ${each.id} in a window`);
    assert.ok(most >= LIMIT_PER_S, `${most} at ${each.id} in a window`);
  }
  const refused = answers.filter(({status}) => status !== 200);
  assert.ok(refused.length > 0);
  for (const {status, headers} of refused) {
    assert.equal(status, 503);
    assert.ok(Number(headers['retry-after']) > 0);
  }
});

test('a call that was delayed by a limit gets the answer', async () => {
  // Guards against calls that are sent and cancelled at the same moment.
  const upstreams = await Promise.all([
    site.addUpstream({id: 'i-1', service: 'ledger'}),
    site.addUpstream({id: 'i-2', service: 'ledger'}),
  ]);
  upstreams[0].setLimit(3);
  upstreams[1].setLimit(0.7);
  await startEntries();
  await announceLimits(upstreams, '/saldo/1', {});
  const answers = await callFor(site, entries, 8_000, '/saldo/1');
  const failed = answers.filter(({status}) => status !== 200 && status !== 503);
  assert.deepEqual(failed, []);
});
