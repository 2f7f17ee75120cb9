/** Upstreams that refuse with `Retry-After`. */

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
  type SiteAnswer,
} from './relay_site.js';

const REST_S = 3;
const PLAY_MS = 6_000;
/** Time for a host to act on the answer. */
const TOLD_MS = 500;
/** Requests that the host may still send during the `Retry-After` period. */
const MOST_IN_REST = 2;

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
function mostInRest({arrivals}: EngineStandIn): number {
  return Math.max(
    ...arrivals.map(({atMs}) => {
      const fromMs = atMs + TOLD_MS;
      const toMs = atMs + REST_S * 1_000;
      return arrivals.filter(each => each.atMs > fromMs && each.atMs < toMs)
        .length;
    }),
  );
}

async function restThrough(
  resting: readonly EngineStandIn[],
  path: string,
  options: RequestOptions = {},
): Promise<readonly SiteAnswer[]> {
  for (const each of resting) {
    each.setBehaviour('full');
    each.setRest(REST_S);
  }
  const answers = await callFor(site, [entry], PLAY_MS, path, options);
  for (const each of resting) {
    const most = mostInRest(each);
    assert.ok(most <= MOST_IN_REST, `${most} at ${each.id} while it rests`);
  }
  return answers;
}

test('`Retry-After` of a service is respected, and another serves its calls', async () => {
  // Guards against preferring an upstream because it refuses calls quickly.
  const resting = await site.addUpstream({id: 'i-1', service: 'ledger'});
  await site.addUpstream({id: 'i-2', service: 'ledger'});
  await startEntry();
  const answers = await restThrough([resting], '/makse/1', post);
  assert.ok(answers.every(({status}) => status === 200));
});

test('`Retry-After` of engines is respected', async () => {
  // Guards against applying it to plain services only.
  const resting = await Promise.all([
    site.addUpstream({id: 'p-1', service: 'drafts', role: 'prefill'}),
    site.addUpstream({id: 'd-1', service: 'drafts', role: 'decode'}),
  ]);
  await site.addUpstream({id: 'p-2', service: 'drafts', role: 'prefill'});
  await site.addUpstream({id: 'd-2', service: 'drafts', role: 'decode'});
  await startEntry();
  await restThrough(resting, '/lisa/1', draft);
});

test('callers are refused at once while no upstream may be called', async () => {
  // Guards against calls that go to the last upstream despite its
  // `Retry-After`, or wait for it.
  const upstreams = await Promise.all([
    site.addUpstream({id: 'i-1', service: 'ledger'}),
    site.addUpstream({id: 'i-2', service: 'ledger'}),
  ]);
  await startEntry();
  const answers = await restThrough(upstreams, '/makse/1', post);
  for (const {status, headers} of answers) {
    assert.equal(status, 503);
    const seconds = Number(headers['retry-after']);
    assert.ok(seconds > 0 && seconds <= 2 * REST_S, `${seconds}`);
  }
});
