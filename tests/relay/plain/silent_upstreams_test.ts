import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  GOAL_MS,
  PAUSED,
  play,
  PLAYED_CALLS as CALLS,
  type UpstreamFaults,
} from './plain_site.js';

const FOREVER: UpstreamFaults = {pause: [0, Infinity]};

test('a silence of all upstreams ends no call, with or without retries', async () => {
  // Guards against calls ended after 2.5 goals before their next attempt is sure.
  const upstreams = {a: PAUSED, b: PAUSED, c: PAUSED};
  for (const retries of [0, 3, 1_000]) {
    const {served} = await play({upstreams, retries});
    assert.equal(served.length, CALLS, `${retries} retries`);
  }
});

test('a silence of some upstreams ends no call while the others are full', async () => {
  const full: UpstreamFaults = {isFull: true};
  const {served} = await play({upstreams: {a: PAUSED, b: full, c: full}});
  assert.equal(served.length, CALLS);
});

test('calls that are left for an upstream that rejects them are placed again', async () => {
  // Guards against 502 for calls whose first attempt would have been answered.
  const {served} = await play({upstreams: {a: PAUSED, b: {isFull: true}}});
  assert.equal(served.length, CALLS);
});

test('a call that is placed again ends at its deadline', async () => {
  const full: UpstreamFaults = {isFull: true};
  const upstreams = {a: FOREVER, b: full, c: full, d: full};
  const {slowestMs} = await play({upstreams}, {deadlineMs: 900});
  assert.ok(slowestMs <= 960, `${slowestMs} ms`);
});

test('a silence of all upstreams costs no run and no retry', async () => {
  const upstreams = {a: PAUSED, b: PAUSED, c: PAUSED};
  const {site} = await play({upstreams, retries: 5});
  assert.equal(site.runs.length, CALLS);
  assert.ok(site.retriesLeft(5));
});

test('calls go on elsewhere when an upstream is silent for good', async () => {
  const {site, served, slowestMs} = await play({
    upstreams: {a: FOREVER, b: {}},
  });
  assert.equal(served.length, CALLS);
  assert.ok(slowestMs <= 2.5 * GOAL_MS + 100, `${slowestMs} ms`);
  const silentRuns = site.runs.filter(id => id === 'a').length;
  assert.ok(silentRuns <= 8, `${silentRuns} runs at the silent upstream`);
});

test('calls go on elsewhere when bodies stop for good', async () => {
  // Guards against calls that end with their callers' patience.
  const stalled: UpstreamFaults = {bodyStalls: true};
  const {served, slowestMs} = await play({upstreams: {a: stalled, b: {}}});
  assert.equal(served.length, CALLS);
  assert.ok(slowestMs <= 2.5 * GOAL_MS + 100, `${slowestMs} ms`);
});

test('a call runs at no more upstreams than its route allows', async () => {
  const dead: UpstreamFaults = {isDead: true};
  const upstreams = {a: dead, b: dead, c: dead, d: dead};
  const {ends, site} = await play({upstreams}, {maxAttempts: 3});
  assert.equal(site.runs.length, 3 * CALLS);
  assert.ok(ends.every(({refusal}) => refusal === 'deadline-passed'));
});

test('a call that must run once is sent to one upstream and waits for it', async () => {
  const upstreams = {a: PAUSED, b: PAUSED, c: {}};
  const {site, served} = await play({upstreams}, {kind: 'non-idempotent'});
  assert.equal(served.length, CALLS);
  assert.equal(site.runs.length, CALLS);
});
