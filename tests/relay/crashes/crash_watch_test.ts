import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import type {ProbeOutcome} from '../../../src/ports/relay.js';
import type {CrashWatch} from '../../../src/relay/crashes/crash_watch.js';
import {createUpstreamRegistry} from '../../../src/relay/store/upstream_registry.js';
import {silentLog} from '../../support/silent_log.js';
import {revisionAt} from '../../support/store_revisions.js';
import {makeUpstream} from '../store/store_site.js';
import {isRefused, makeProbe, makeRequest, makeWatch} from './crash_site.js';

const start = (watch: CrashWatch, target: string, upstreamId: string) =>
  watch.startRun(makeRequest(target), makeUpstream(upstreamId));

function answer(watch: CrashWatch, target: string, upstreamId: string): void {
  const run = start(watch, target, upstreamId);
  run.noteAnswer();
  run.end('complete');
}

/** A host whose list of upstreams the test writes. */
function makeListedHost(outcome: ProbeOutcome) {
  const clock = createVirtualClock(1_000);
  const registry = createUpstreamRegistry({clock, log: silentLog});
  const upstreamPort = makeProbe(() => outcome);
  const watch = makeWatch(clock, {registry, upstreamPort});
  registry.onChange(watch.noteList);
  let revision = 1;
  const setList = (ids: readonly string[], changes: object = {}) => {
    revision++;
    registry.apply({
      revision: revisionAt(revision),
      upstreams: ids.map(id => ({
        ...makeUpstream(id),
        heartbeat: revisionAt(revision),
        ...changes,
      })),
    });
  };
  return {clock, watch, setList};
}

test('a request that crashes upstreams is quarantined on this host and its peers', async () => {
  // Guards against a request that crashes each engine that runs it, and that
  // its caller sends again to other entries until no engine is left.
  const clock = createVirtualClock(1_000);
  const watch = makeWatch(clock);
  for (const id of ['e1', 'e2']) {
    start(watch, '/poison', id).end('broken');
    await clock.advance(100);
  }
  assert.equal(isRefused(watch, '/poison'), true);
  assert.equal(isRefused(watch, '/harmless'), false);
  const peer = makeWatch(clock);
  peer.applyFacts(watch.takeFacts());
  assert.equal(isRefused(peer, '/poison'), true);
});

test('a request is not quarantined for lost answers of reachable upstreams', async () => {
  const clock = createVirtualClock(1_000);
  const upstreamPort = makeProbe(() => 'answered');
  const watch = makeWatch(clock, {upstreamPort});
  for (const id of ['e1', 'e2', 'e3']) {
    start(watch, '/unlucky', id).end('broken');
    await clock.advance(100);
  }
  assert.equal(isRefused(watch, '/unlucky'), false);
});

test('callers of a suspected request may return until its losses are confirmed', async () => {
  // Guards against sound requests that are refused for good on the first word
  // of a host that was cut off.
  const clock = createVirtualClock(1_000);
  const watch = makeWatch(clock);
  for (const id of ['e1', 'e2']) start(watch, '/t', id).end('broken');
  await clock.advance(100);
  const early = watch.findRefusal(makeRequest('/t'));
  assert.equal(early?.kind, 'suspected');
  assert.ok((early?.retryAfterMs ?? 0) > 0);
  await clock.advance(3_000);
  assert.equal(watch.findRefusal(makeRequest('/t'))?.kind, 'quarantined');
});

test('a host that is cut off from its upstreams blames no request', async () => {
  // Guards against sound requests that are quarantined since the network of
  // their host failed.
  const clock = createVirtualClock(1_000);
  const upstreamPort = makeProbe(() => 'no-answer');
  const watch = makeWatch(clock, {upstreamPort});
  for (const id of ['e1', 'e2', 'e3']) start(watch, '/t', id).end('broken');
  await clock.advance(10_000);
  assert.equal(watch.suspectCount(), 0);
});

test('losses of an upstream that answers another host are cleared everywhere', async () => {
  // Guards against sound requests that are quarantined since one host lost its
  // connections to sound upstreams.
  const clock = createVirtualClock(1_000);
  const cutOff = makeWatch(clock);
  const peer = makeWatch(clock);
  for (const id of ['e1', 'e2']) start(cutOff, '/t', id).end('broken');
  await clock.advance(100);
  peer.applyFacts(cutOff.takeFacts());
  assert.equal(isRefused(peer, '/t'), true);
  await clock.advance(100);
  answer(peer, '/other', 'e1');
  answer(peer, '/other', 'e2');
  assert.equal(isRefused(peer, '/t'), false);
  cutOff.applyFacts(peer.takeFacts());
  assert.equal(isRefused(cutOff, '/t'), false);
});

test('losses of an upstream that sends heartbeats are cleared', async () => {
  // Guards against losses that stay since no host has calls for the upstream.
  const {clock, watch, setList} = makeListedHost('refused');
  setList(['e1']);
  start(watch, '/t', 'e1').end('broken');
  await clock.advance(100);
  assert.equal(watch.suspectCount(), 1);
  start(watch, '/t', 'e2').end('broken');
  await clock.advance(600);
  assert.equal(isRefused(watch, '/t'), true);
  setList(['e1']);
  assert.equal(isRefused(watch, '/t'), true, 'may be from before its end');
  setList(['e1']);
  assert.equal(isRefused(watch, '/t'), false);
});

test('a change of the list is no read of its heartbeats', async () => {
  // Guards against losses that a heartbeat from before the end clears.
  const {clock, watch, setList} = makeListedHost('refused');
  setList(['e1']);
  start(watch, '/t', 'e1').end('broken');
  start(watch, '/t', 'e2').end('broken');
  await clock.advance(700);
  watch.noteList();
  setList(['e1']);
  assert.equal(isRefused(watch, '/t'), true);
});

test('an upstream that answers no probe counts as ended if others answer', async () => {
  // Guards against ports that reset connections or never answer.
  const clock = createVirtualClock(1_000);
  const upstreamPort = makeProbe(() => 'no-answer');
  const watch = makeWatch(clock, {upstreamPort});
  start(watch, '/t', 'e1').end('broken');
  start(watch, '/t', 'e2').end('abandoned');
  start(watch, '/t', 'e3');
  for (let i = 0; i < 30; i++) {
    await clock.advance(100);
    answer(watch, '/other', 'e4');
  }
  assert.equal(isRefused(watch, '/t'), true);
});

test('an upstream that answers a later call was not ended by a run that broke off', async () => {
  // Guards against requests that are blamed for the end of an upstream long
  // after their answers were lost.
  const {clock, watch, setList} = makeListedHost('answered');
  setList(['e1', 'e2']);
  for (const id of ['e1', 'e2']) {
    start(watch, '/t', id).end('broken');
    await clock.advance(100);
    answer(watch, '/other', id);
  }
  setList([]);
  assert.equal(watch.suspectCount(), 0);
});

test('the list shows the end of upstreams whose address another instance has', async () => {
  // Guards against an instance that starts so soon that it answers the probe.
  const {clock, watch, setList} = makeListedHost('answered');
  setList(['e1', 'e2']);
  start(watch, '/t', 'e1').end('broken');
  start(watch, '/t', 'e2').end('abandoned');
  await clock.advance(100);
  assert.equal(watch.suspectCount(), 0);
  setList(['e2', 'again'], {address: 'e1:1'});
  assert.equal(watch.suspectCount(), 1);
  setList(['again'], {address: 'e1:1'});
  assert.equal(isRefused(watch, '/t'), true);
});

test('an upstream that left as announced was not crashed', async () => {
  const {clock, watch, setList} = makeListedHost('refused');
  setList(['e1', 'e2'], {isDraining: true});
  for (const id of ['e1', 'e2']) start(watch, '/t', id).end('broken');
  setList([]);
  await clock.advance(100);
  assert.equal(watch.suspectCount(), 0);
});

test('a run that broke off is blamed when a peer finds its upstream ended', async () => {
  // Guards against losses that only the host counts that saw the end.
  const clock = createVirtualClock(1_000);
  const upstreamPort = makeProbe(() => 'answered');
  const watch = makeWatch(clock, {upstreamPort});
  const peer = makeWatch(clock);
  for (const id of ['e1', 'e2']) {
    start(watch, '/t', id).end('broken');
    start(peer, '/other', id).end('broken');
  }
  await clock.advance(100);
  assert.equal(watch.suspectCount(), 0);
  watch.applyFacts(peer.takeFacts());
  assert.equal(watch.suspectCount(), 2);
});

test('a request that completed before its upstreams ended is not refused', async () => {
  // Guards against requests that are sent often and are refused for good after
  // all upstreams of a service ended at about the same time.
  const clock = createVirtualClock(1_000);
  const watch = makeWatch(clock);
  answer(watch, '/often', 'e1');
  await clock.advance(2_000);
  for (const id of ['e1', 'e2', 'e3']) start(watch, '/often', id).end('broken');
  await clock.advance(100);
  assert.equal(isRefused(watch, '/often'), false);
});

test('a quarantined request is tried again, and costs one upstream each time', async () => {
  // Guards against sound requests that are refused until their losses expire,
  // and against trials that crash one upstream after the other.
  const clock = createVirtualClock(1_000);
  const other = makeWatch(clock);
  const owner = makeWatch(clock, {isTrialOwner: () => true});
  for (const id of ['e1', 'e2', 'e3']) start(owner, '/t', id).end('broken');
  let trials = 0;
  for (let second = 0; second < 110; second++) {
    await clock.advance(1_000);
    other.applyFacts(owner.takeFacts());
    assert.equal(isRefused(other, '/t'), true);
    const request = makeRequest('/t');
    if (owner.findRefusal(request)) continue;
    trials++;
    assert.equal(isRefused(owner, '/t'), true, 'one request at a time');
    owner.startRun(request, makeUpstream(`trial-${trials}`)).end('broken');
    assert.ok(owner.findRefusal(request), 'no second run');
  }
  assert.equal(trials, 2);
  await clock.advance(400_000);
  const request = makeRequest('/t');
  assert.equal(owner.findRefusal(request), undefined);
  owner.startRun(request, makeUpstream('e9')).end('complete');
  other.applyFacts(owner.takeFacts());
  assert.equal(isRefused(other, '/t'), false);
});
