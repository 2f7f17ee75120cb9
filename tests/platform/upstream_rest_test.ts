/** Upstreams that turn a host away and ask it for rest. */

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
/** A host has this long to act on the answer. */
const TOLD_MS = 500;
/** Requests that the host may still send while the upstream rests. */
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

/** Each arrival is refused and begins a time of rest. */
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

test('a service that asks for rest gets it, and another serves its calls', async () => {
  // Guards against an upstream that draws calls as it refuses them quickly.
  const resting = await site.addUpstream({id: 'i-1', service: 'ledger'});
  await site.addUpstream({id: 'i-2', service: 'ledger'});
  await startEntry();
  const answers = await restThrough([resting], '/makse/1', post);
  assert.ok(answers.every(({status}) => status === 200));
});

test('engines that ask for rest get it', async () => {
  // Guards against rest that holds for plain calls only.
  const resting = await Promise.all([
    site.addUpstream({id: 'p-1', service: 'drafts', role: 'prefill'}),
    site.addUpstream({id: 'd-1', service: 'drafts', role: 'decode'}),
  ]);
  await site.addUpstream({id: 'p-2', service: 'drafts', role: 'prefill'});
  await site.addUpstream({id: 'd-2', service: 'drafts', role: 'decode'});
  await startEntry();
  await restThrough(resting, '/lisa/1', draft);
});

test('when all upstreams rest callers are refused at once, until one may be back', async () => {
  // Guards against calls that go to the last upstream whatever it asks for,
  // or wait for it.
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
