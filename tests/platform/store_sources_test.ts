import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  encodeValue,
  type RowPage,
  type StoreClient,
  type WireRow,
} from '../../platform/store_client.js';
import {createRoutingSource} from '../../platform/store_sources.js';
import type {StoreRead} from '../../src/ports/relay.js';
import {silentLog} from '../support/silent_log.js';

function makeStore(page: RowPage): StoreClient {
  const read = (): Promise<StoreRead<RowPage>> =>
    Promise.resolve({kind: 'read', value: page});
  return {
    readTable: read,
    readRow: read,
    follow: read,
    transact: () => Promise.resolve({kind: 'refused', detail: 'not here'}),
  };
}

function configurationRow(version: number, ver: number): WireRow {
  const value = encodeValue({version, routes: [], services: []});
  return {table: 'op', part: '', key: 'config', value, ver};
}

test('of several changes in one feed answer the last one counts', async () => {
  // A host that was cut off from the store serves a route as it was before
  // two changes. The feed brings a row once for each change, in order, and
  // the first was taken while the cursor moved past them all.
  const rows = [configurationRow(7, 100), configurationRow(14, 120)];
  const store = makeStore({rows, ver: 121, now_ms: 0});
  const source = createRoutingSource({store, log: silentLog});
  const read = await source.readNext(90, 1_000, 1_500);
  assert.equal(read.kind, 'read');
  if (read.kind !== 'read') return;
  assert.equal(read.value.routing?.version, 14);
  assert.equal(read.value.cursor, 121);
});
