/** Upstreams that refuse with `Retry-After`. */

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
  type SiteAnswer,
} from './relay_site.js';

const RETRY_AFTER_S = 3;
const CALLING_MS = 6_000;
/** Time for a host to act on the answer. */
const REACTION_MS = 500;
/** Requests that the host may still send during the `Retry-After` period. */
const MAX_IN_PERIOD = 2;

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

/** Each request is refused and starts a new `Retry-After` period. */
function countMostInPeriod({arrivals}: EngineStandIn): number {
  return Math.max(
    ...arrivals.map(({atMs}) => {
      const fromMs = atMs + REACTION_MS;
      const toMs = atMs + RETRY_AFTER_S * 1_000;
      return arrivals.filter(each => each.atMs > fromMs && each.atMs < toMs)
        .length;
    }),
  );
}

async function callWhileRefused(
  refusing: readonly EngineStandIn[],
  path: string,
  options: RequestOptions = {},
): Promise<readonly SiteAnswer[]> {
  for (const each of refusing) {
    each.setBehaviour('full');
    each.setRetryAfter(RETRY_AFTER_S);
  }
  const answers = await callFor(site, [entry], CALLING_MS, path, options);
  for (const each of refusing) {
    const most = countMostInPeriod(each);
    assert.ok(most <= MAX_IN_PERIOD, `${most} at ${each.id} in a period`);
  }
  return answers;
}

test('`Retry-After` of a service is respected, and another serves its calls', async () => {
  // Guards against preferring an upstream because it refuses calls quickly.
  const refusing = await site.addUpstream({id: 'i-1', service: 'ledger'});
  await site.addUpstream({id: 'i-2', service: 'ledger'});
  await startEntry();
  const answers = await callWhileRefused([refusing], '/makse/1', post);
  assert.ok(answers.every(({status}) => status === 200));
});

test('`Retry-After` of engines is respected', async () => {
  // Guards against applying it to plain services only.
  const refusing = await Promise.all([
    site.addUpstream({id: 'p-1', service: 'drafts', role: 'prefill'}),
    site.addUpstream({id: 'd-1', service: 'drafts', role: 'decode'}),
  ]);
  await site.addUpstream({id: 'p-2', service: 'drafts', role: 'prefill'});
  await site.addUpstream({id: 'd-2', service: 'drafts', role: 'decode'});
  await startEntry();
  await callWhileRefused(refusing, '/lisa/1', draft);
});

test('callers are refused at once while no upstream may be called', async () => {
  // Guards against calls that go to the last upstream despite its
  // `Retry-After`, or wait for it.
  const upstreams = await Promise.all([
    site.addUpstream({id: 'i-1', service: 'ledger'}),
    site.addUpstream({id: 'i-2', service: 'ledger'}),
  ]);
  await startEntry();
  const answers = await callWhileRefused(upstreams, '/makse/1', post);
  for (const {status, headers} of answers) {
    assert.equal(status, 503);
    const seconds = Number(headers['retry-after']);
    assert.ok(seconds > 0 && seconds <= 2 * RETRY_AFTER_S, `${seconds}`);
  }
});
