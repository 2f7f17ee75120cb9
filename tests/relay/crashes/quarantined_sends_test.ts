import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import type {
  RelayRequest,
  SendOptions,
  UpstreamPort,
} from '../../../src/ports/relay.js';
import {createWatchedUpstreamPort} from '../../../src/relay/crashes/watched_upstream_port.js';
import {createCancellation} from '../../../src/relay/front/cancellation.js';
import {makeUpstream} from '../store/store_site.js';
import {makeRequest, makeWatch} from './crash_site.js';

/** A host that knows `/poison` to have crashed two upstreams. */
async function makeHost() {
  const clock = createVirtualClock(1_000);
  const watch = makeWatch(clock);
  const sent: RelayRequest[] = [];
  const port = {
    send(request) {
      sent.push(request);
      return Promise.resolve({kind: 'cancelled'});
    },
    prefill(request) {
      sent.push(request);
      return Promise.resolve({kind: 'prefilled', handle: 'h'});
    },
  } as Partial<UpstreamPort> as UpstreamPort;
  const crash = async () => {
    for (const id of ['e1', 'e2']) {
      watch.startRun(makeRequest('/poison'), makeUpstream(id)).end('broken');
    }
    await clock.advance(100);
  };
  const watched = createWatchedUpstreamPort({port, ...watch});
  return {watch, crash, sent, watched};
}

test('a request is not sent once it is known to crash upstreams', async () => {
  // Guards against requests that were admitted before their losses were known
  // and were still waiting, or had their prompt prefilled.
  const {crash, sent, watched} = await makeHost();
  const request = makeRequest('/poison');
  const options = {upstream: makeUpstream('e3')} as SendOptions;
  const cancellation = createCancellation();
  await watched.prefill(request, options, cancellation);
  await crash();
  assert.equal(sent.length, 1);
  await watched.send(request, options, cancellation);
  await watched.prefill(request, options, cancellation);
  assert.equal(sent.length, 1);
  await watched.send(makeRequest('/other'), options, cancellation);
  assert.equal(sent.length, 2);
});

test('a waiting request is refused as soon as it is known to crash upstreams', async () => {
  // Guards against callers that wait for an engine that they will not get.
  const {watch, crash} = await makeHost();
  const refused: string[] = [];
  const wait = (name: string) => {
    const request = makeRequest('/poison');
    const end = watch.watchWaiting(request, ({kind}) =>
      refused.push(`${name} ${kind}`),
    );
    return {request, end};
  };
  wait('waiting');
  watch.startRun(wait('sent').request, makeUpstream('e3'));
  wait('ended').end();
  await crash();
  assert.deepEqual(refused, ['waiting suspected']);
});
