import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import {createRelayMetrics} from '../../../src/relay/relay_metrics.js';
import {makeUpstream} from '../store/store_site.js';
import {isRefused, makeRequest, makeWatch} from './crash_site.js';

function makeHosts() {
  const clock = createVirtualClock(1_000);
  const metrics = createRelayMetrics();
  return {
    clock,
    metrics,
    hosts: [makeWatch(clock, {metrics}), makeWatch(clock)],
  };
}

test('a host that has just started learns all losses, not only the latest', async () => {
  // Guards against a restarted host that runs requests quarantined elsewhere.
  const {clock, hosts} = makeHosts();
  const [host, restarted] = hosts;
  const targets = Array.from({length: 100}, (_, i) => `/t${i}`);
  for (const target of targets) {
    for (const id of ['a', 'b']) {
      host
        .startRun(makeRequest(target), makeUpstream(`${target}${id}`))
        .end('broken');
    }
    await clock.advance(60);
  }
  for (let i = 0; i < 16; i++) restarted.applyFacts(host.takeFacts());
  const unknown = targets.filter(target => !isRefused(restarted, target));
  assert.deepEqual(unknown, []);
});

test('losses expire though hosts repeat them to each other', async () => {
  // Guards against suspects that are kept forever, since each message renews
  // them at its receiver.
  const {clock, hosts} = makeHosts();
  const [first, second] = hosts;
  first.startRun(makeRequest('/t'), makeUpstream('a')).end('broken');
  for (let i = 0; i < 700; i++) {
    await clock.advance(1_000);
    second.applyFacts(first.takeFacts());
    first.applyFacts(second.takeFacts());
  }
  assert.deepEqual([first.suspectCount(), second.suspectCount()], [0, 0]);
});

test('invalid losses of a peer are ignored', () => {
  const {metrics, hosts} = makeHosts();
  const valid = {fingerprint: 'f', lossIds: ['a'], clearedCount: 0};
  hosts[0].applyFacts([
    null,
    'f',
    {...valid, fingerprint: 1},
    {...valid, lossIds: 'a'},
    {...valid, lossIds: [1]},
    {...valid, clearedCount: 0.5},
    {...valid, lossAgesMs: ['1']},
    valid,
  ]);
  assert.equal(hosts[0].suspectCount(), 1);
  assert.match(metrics.render(), /loss_facts_ignored_total 7/);
});
