import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import type {CrashWatch} from '../../../src/relay/crashes/crash_watch.js';
import type {RunEnd} from '../../../src/relay/crashes/watched_upstream_port.js';
import {makeUpstream} from '../store/store_site.js';
import {makeRequest, makeWatch} from './crash_site.js';

let nextTarget = 1;

/** Each request is alike others in nothing but its shared parts. */
const makePartRequest = (...sharedParts: readonly string[]) => ({
  ...makeRequest(`/t${nextTarget++}`),
  sharedParts,
});

const isRefused = (watch: CrashWatch, ...parts: readonly string[]) =>
  watch.findRefusal(makePartRequest(...parts)) !== undefined;

function makeHosts() {
  const clock = createVirtualClock(1_000);
  const [host, peer] = [makeWatch(clock), makeWatch(clock)];
  let nextUpstream = 1;
  /** Runs a request that is beside sound ones at its upstream. */
  function run(parts: readonly string[], end: RunEnd): void {
    const upstream = makeUpstream(`u${nextUpstream++}`);
    host.startRun(makePartRequest(...parts), upstream).end(end);
  }
  async function crash(...parts: readonly string[]): Promise<void> {
    run(parts, 'broken');
    await clock.advance(700);
    peer.applyFacts(host.takeFacts());
    host.applyFacts(peer.takeFacts());
  }
  return {clock, host, peer, run, crash};
}

test('a part that crashes upstreams in different requests is quarantined at all hosts', async () => {
  // Guards against requests that end one upstream after the other, though no
  // two are alike.
  const {host, peer, crash} = makeHosts();
  for (const other of ['b', 'c', 'd']) await crash('a', 'bad', other);
  await crash('bad', 'e');
  assert.equal(isRefused(host, 'f', 'bad'), true);
  assert.equal(isRefused(peer, 'bad'), true);
  for (const part of ['a', 'b', 'c', 'd']) {
    assert.equal(isRefused(host, part), false, part);
    assert.equal(isRefused(peer, part), false, part);
  }
});

test('a run elsewhere that completes clears the part of a lost one', async () => {
  // Guards against sound requests that are refused at a host which has seen
  // no run of their part complete.
  const {clock, host, peer, crash} = makeHosts();
  for (let i = 0; i < 3; i++) await crash('sound');
  assert.equal(isRefused(peer, 'sound'), true);
  peer
    .startRun(makePartRequest('sound'), makeUpstream('other'))
    .end('complete');
  host.applyFacts(peer.takeFacts());
  assert.equal(isRefused(host, 'sound'), false);
  await clock.advance(10_000);
  for (let i = 0; i < 3; i++) await crash('bad', 'sound');
  assert.equal(isRefused(host, 'sound'), false);
  assert.equal(isRefused(host, 'bad', 'sound'), true);
});

const NO_ACQUITTALS: readonly RunEnd[] = ['answered', 'declined', 'abandoned'];

for (const end of NO_ACQUITTALS) {
  test(`a run that ends as ${end} clears no part`, async () => {
    // Guards against a part that is cleared by a prompt that was only read.
    const {host, run, crash} = makeHosts();
    for (let i = 0; i < 3; i++) {
      await crash('bad');
      run(['bad'], end);
    }
    assert.equal(isRefused(host, 'bad'), true);
  });
}

test('requests that have written for seconds do not blame their parts', async () => {
  // Guards against parts of long streams that are blamed for ended upstreams.
  const {clock, host, crash} = makeHosts();
  const streams = Array.from({length: 4}, (_, i) =>
    host.startRun(makePartRequest('long'), makeUpstream(`long${i}`)),
  );
  for (let i = 0; i < 4; i++) {
    for (const stream of streams) stream.noteData();
    await clock.advance(800);
  }
  for (const stream of streams) {
    stream.end('broken');
    await crash('bad');
  }
  assert.equal(isRefused(host, 'long'), false);
  assert.equal(isRefused(host, 'bad'), true);
});

test('the losses kept of a part are bounded', async () => {
  // Guards against messages between hosts that grow with each crash.
  const {host, crash} = makeHosts();
  for (let i = 0; i < 70; i++) await crash('bad');
  const facts = host.takeFacts();
  const lossCounts = facts.map(({lossIds}) => lossIds.length);
  assert.equal(Math.max(...lossCounts), 16);
  assert.equal(isRefused(host, 'bad'), true);
});
