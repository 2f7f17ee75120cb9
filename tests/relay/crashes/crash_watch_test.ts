import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import {createCrashWatch} from '../../../src/relay/crashes/crash_watch.js';
import {createRelayMetrics} from '../../../src/relay/relay_metrics.js';
import {silentLog} from '../../support/silent_log.js';
import {makeUpstream} from '../store/store_site.js';
import {makeRequest} from './crash_site.js';

function makeWatch(isReachable: () => boolean) {
  const clock = createVirtualClock(1_000);
  const watch = createCrashWatch({
    clock,
    log: silentLog,
    metrics: createRelayMetrics(),
    upstreamPort: {isReachable: () => Promise.resolve(isReachable())},
    onChange: () => undefined,
  });
  return {clock, watch};
}

test('a request that crashes upstreams is quarantined on this host and its peers', async () => {
  // Guards against a request that crashes each engine that runs it, and that
  // its caller sends again to other entries until no engine is left.
  const {clock, watch} = makeWatch(() => false);
  const poison = makeRequest('/poison');
  for (const id of ['e1', 'e2']) {
    watch.startRun(poison, makeUpstream(id)).end('broken');
    await clock.advance(100);
  }
  assert.equal(watch.isQuarantined(poison), true);
  assert.equal(watch.isQuarantined(makeRequest('/harmless')), false);
  const peer = makeWatch(() => true);
  peer.watch.applyFacts(watch.takeFacts());
  assert.equal(peer.watch.isQuarantined(poison), true);
});

test('a request is not quarantined for lost answers of reachable upstreams', async () => {
  const {clock, watch} = makeWatch(() => true);
  const request = makeRequest('/unlucky');
  for (const id of ['e1', 'e2', 'e3']) {
    watch.startRun(request, makeUpstream(id)).end('broken');
    await clock.advance(100);
  }
  assert.equal(watch.isQuarantined(request), false);
});
