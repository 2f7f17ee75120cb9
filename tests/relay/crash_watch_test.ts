import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../src/core/virtual_clock.js';
import type {RelayRequest, UpstreamPort} from '../../src/ports/relay.js';
import {createCrashWatch} from '../../src/relay/crash_watch.js';
import type {Upstream} from '../../src/core/upstream.js';
import {createQuarantine} from '../../src/request/quarantine.js';
import {silentLog} from '../support/silent_log.js';
import {revisionAt} from '../support/store_revisions.js';

function makeRequest(target: string): RelayRequest {
  return {
    requestId: target,
    method: 'POST',
    target,
    host: 'raamatud.example',
    headers: [],
    body: Buffer.from('rida=1'),
    arrivedAtMs: 0,
    waitMs: 1_000,
  };
}

function makeUpstream(id: string): Upstream {
  return {
    id,
    name: id,
    service: 's',
    address: `${id}:1`,
    failureDomain: 'd',
    slots: 1,
    isDraining: false,
    heartbeat: revisionAt(1),
  };
}

function makeWatch(isReachable: () => boolean) {
  const clock = createVirtualClock(1_000);
  const upstreamPort = {
    isReachable: () => Promise.resolve(isReachable()),
  } as Partial<UpstreamPort> as UpstreamPort;
  const quarantine = createQuarantine({
    clock,
    broadcast: () => undefined,
    lossIdOf: id => id,
  });
  const watch = createCrashWatch({
    clock,
    log: silentLog,
    upstreamPort,
    quarantine,
  });
  return {clock, watch};
}

test('a request that crashes upstreams is quarantined on this host and its peers', async () => {
  // Guards against a request that crashes each engine that runs it, and that
  // its caller sends again to other entries until no engine is left.
  const {clock, watch} = makeWatch(() => false);
  const poison = makeRequest('/poison');
  for (const id of ['e1', 'e2']) {
    watch.recordFailure(poison, makeUpstream(id));
    await clock.advance(100);
  }
  assert.equal(watch.isQuarantined(poison), true);
  assert.equal(watch.isQuarantined(makeRequest('/harmless')), false);
  const peer = makeWatch(() => true);
  peer.watch.applyFacts(watch.facts());
  assert.equal(peer.watch.isQuarantined(poison), true);
});

test('a request is not quarantined for lost answers of reachable upstreams', async () => {
  const {clock, watch} = makeWatch(() => true);
  const request = makeRequest('/unlucky');
  for (const id of ['e1', 'e2', 'e3']) {
    watch.recordFailure(request, makeUpstream(id));
    await clock.advance(100);
  }
  assert.equal(watch.isQuarantined(request), false);
});
