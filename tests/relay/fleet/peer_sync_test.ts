import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import type {Routing} from '../../../src/core/routing_types.js';
import type {HttpExchange} from '../../../src/adapters/http_exchange.js';
import {
  createPeerSync,
  type PeerSyncHost,
} from '../../../src/relay/fleet/peer_sync.js';
import {createRoutingState} from '../../../src/relay/routing_state.js';
import {silentLog} from '../../support/silent_log.js';

const SILENT_TIMEOUT_MS = 400;
const CONFIGURED = {version: 19, routes: [], services: [], accounts: []};

/** A host that lacks version 19, which its peers have. */
function makeSync(silentPeers: readonly string[], isStoreReachable = true) {
  const clock = createVirtualClock(1_000);
  const routing = createRoutingState(silentLog);
  routing.applyIfNewer(
    {...CONFIGURED, version: 18} as unknown as Routing,
    'store',
  );
  const exchange = {
    start: ({address}: {readonly address: string}) =>
      new Promise(resolve => {
        if (silentPeers.includes(address)) {
          const failure = {kind: 'broken', detail: 'no answer in time'};
          clock.setTimer(SILENT_TIMEOUT_MS, () => resolve(failure));
          return;
        }
        const body = {
          read: (sink: {chunk(bytes: Buffer): void; end(): void}) => {
            sink.chunk(Buffer.from(JSON.stringify(CONFIGURED)));
            sink.end();
          },
        };
        clock.setTimer(4, () => resolve({kind: 'answered', status: 200, body}));
      }),
  } as unknown as HttpExchange;
  const sync = createPeerSync({
    clock,
    log: silentLog,
    exchange,
    routing,
    routingSource: {decode: (text: string) => JSON.parse(text) as Routing},
    peers: () =>
      ['a:1', 'b:1', 'c:1', 'd:1'].map(peerAddress => ({
        peerAddress,
        routingVersion: 19,
      })),
    isStoreReachable: () => isStoreReachable,
    upstreamAgeMs: () => 0,
  } as unknown as PeerSyncHost);
  sync.start();
  return {clock, routing};
}

test('a version is transferred though most peers that have it do not answer', async () => {
  // Guards against a transfer that asks the same silent peer each time.
  for (const answering of ['a:1', 'b:1', 'c:1', 'd:1']) {
    const silent = ['a:1', 'b:1', 'c:1', 'd:1'].filter(id => id !== answering);
    const {clock, routing} = makeSync(silent);
    await clock.advance(1_600);
    assert.equal(routing.version(), 19, `only ${answering} answers`);
  }
});

test('a host that cannot reach the store asks a peer at once', async () => {
  // Guards against a wait for a feed that cannot deliver the version.
  const {clock, routing} = makeSync([], false);
  await clock.advance(20);
  assert.equal(routing.version(), 19);
});
