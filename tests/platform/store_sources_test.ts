import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  encodeValue,
  type RowPage,
  type StoreClient,
  type WireRow,
} from '../../platform/store_client.js';
import {
  createHostRegistry,
  createRoutingSource,
  createUpstreamSource,
} from '../../platform/store_sources.js';
import type {Logger} from '../../src/ports/log.js';
import type {StoreRead} from '../../src/ports/relay.js';
import {silentLog} from '../support/silent_log.js';
import {revisionAt} from '../support/store_revisions.js';

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

test('the last of several changes in one feed answer is applied', async () => {
  // Guards against a host that serves an outdated route after it lost contact
  // with the store: the feed contains a row once for each change, in order,
  // and applying the first one skips the others since the cursor moves on.
  const rows = [configurationRow(7, 100), configurationRow(14, 120)];
  const store = makeStore({rows, era: 1, ver: 121, now_ms: 0});
  const source = createRoutingSource({store, log: silentLog});
  const read = await source.readNext(revisionAt(90, 1), 1_000, 1_500);
  assert.equal(read.kind, 'read');
  if (read.kind !== 'read') return;
  assert.equal(read.value.routing?.version, 14);
  assert.deepEqual(read.value.cursor, revisionAt(121, 1));
});

test('an answer of the feed without a change skips none', async () => {
  // Guards against a version that a feed never delivers, as the store answered
  // with its newest revision before it delivered the change.
  const store = makeStore({rows: [], era: 1, ver: 121, now_ms: 0});
  const source = createRoutingSource({store, log: silentLog});
  const from = revisionAt(90, 1);
  const read = await source.readNext(from, 1_000, 1_500);
  assert.equal(read.kind, 'read');
  if (read.kind !== 'read') return;
  assert.deepEqual(read.value.cursor, from);
});

const GOOD = {
  service: 'drafts',
  address: '10.0.0.1:8080',
  zone: 'raadi-ruum',
  version: 'v1',
  slots: 16,
  state: 'ready',
  cold_left_ms: 0,
  stage: 'decode',
  seq: 4,
  born: 1_790_000_000_000,
};

function upstreamRow(key: string, value: unknown): WireRow {
  const text = value === undefined ? '%%%' : encodeValue(value);
  return {table: 'servers', part: '', key, value: text, ver: 5};
}

async function readUpstreams(rows: readonly WireRow[], log: Logger) {
  const store = makeStore({rows, era: 1, ver: 9, now_ms: 0});
  const source = createUpstreamSource({store, log});
  await source.readNow(600);
  const read = await source.readNow(600);
  assert.equal(read.kind, 'read');
  return read.kind === 'read' ? read.value.upstreams : [];
}

test('a row whose key no header can carry is skipped', async () => {
  // Guards against requests that fail as their upstream's name is no header.
  const names = ['i-1\r\nX-Own: forged', 'i-\ud800', 'i-\u00fc', 'i 1', ''];
  const rows = [...names, 'i-7f3a91c2'].map(name => upstreamRow(name, GOOD));
  const upstreams = await readUpstreams(rows, silentLog);
  assert.deepEqual(
    upstreams.map(({name}) => name),
    ['i-7f3a91c2'],
  );
});

test('an entry that is too deep, or has numbers that are too large, hides no upstream', async () => {
  // Guards against a process that ends, or stops reading, at one odd entry.
  const odd = [
    `{"service":${'['.repeat(200_000)}${']'.repeat(200_000)}}`,
    JSON.stringify(GOOD).replace('"slots":16', '"slots":1e999'),
    JSON.stringify(GOOD).replace('"slots":16', '"slots":1e300'),
    JSON.stringify(GOOD).replace(String(GOOD.born), '1e300'),
    JSON.stringify(GOOD).replace(':8080', ':65536'),
  ].map((text, i) => ({
    ...upstreamRow(`odd-${i}`, GOOD),
    value: Buffer.from(text).toString('base64'),
  }));
  const rows = [...odd, upstreamRow('i-1', GOOD)];
  const upstreams = await readUpstreams(rows, silentLog);
  assert.deepEqual(
    upstreams.map(({name}) => name),
    ['i-1'],
  );
});

test('rows of other programs describe no host', async () => {
  // Guards against a process that ends as it sends to an address that is none.
  const peers = [
    undefined,
    7,
    {ip: '10.0.0.1'},
    ['10.0.0.1:8151'],
    'host-1',
    '10.0.0.1',
    '10.0.0.1:0',
    '10.0.0.1:65536',
    '10.0.0.1:8e3',
    'peer.example:8151',
    '10.0.0.1:8151',
  ];
  const rows = peers.map((peer, i) => ({
    ...upstreamRow(`host-${i}`, {peer}),
    table: 'hosts',
  }));
  const store = makeStore({rows, era: 1, ver: 9, now_ms: 0});
  const read = await createHostRegistry({store, log: silentLog}).readAll(600);
  assert.equal(read.kind, 'read');
  if (read.kind !== 'read') return;
  assert.deepEqual(
    read.value.map(({peerAddress}) => peerAddress),
    ['10.0.0.1:8151'],
  );
});

test('rows of other programs are skipped and do not hide upstreams', async () => {
  // Guards against requests to an invalid address, against losing all engines
  // because of one unreadable row, and against logging the row at each read.
  const warnings: unknown[] = [];
  const log = {
    ...silentLog,
    warn: (_text: string, fields?: object) => void warnings.push(fields),
  };
  const bad: ReadonlyArray<[string, unknown]> = [
    ['value', undefined],
    ['value', 'a text'],
    ['value', [GOOD]],
    ['value', null],
    ['service', {...GOOD, service: 7}],
    ['service', {...GOOD, service: undefined}],
    ['address', {...GOOD, address: '10.0.0.1'}],
    ['address', {...GOOD, address: 'engine-7.example:8080'}],
    ['address', {...GOOD, address: ['10.0.0.1', 8080]}],
    ['address', {...GOOD, address: '10.0.0.1:99999'}],
    ['zone', {...GOOD, zone: null}],
    ['slots', {...GOOD, slots: '16'}],
    ['slots', {...GOOD, slots: 0}],
    ['state', {...GOOD, state: 'warming'}],
    ['state', {...GOOD, state: undefined}],
    ['stage', {...GOOD, stage: 'both'}],
    ['born', {...GOOD, born: '1790000000000'}],
    ['born', {...GOOD, born: 0.5}],
  ];
  const rows = bad.map(([, value], i) => upstreamRow(`bad-${i}`, value));
  const all = [upstreamRow('a', GOOD), ...rows, upstreamRow('z', GOOD)];
  const upstreams = await readUpstreams(all, log);
  assert.deepEqual(
    upstreams.map(({name}) => name),
    ['a', 'z'],
  );
  assert.deepEqual(
    warnings,
    bad.map(([field], i) => ({rowKey: `bad-${i}`, field})),
    'each is named once, with its field, though it was read twice',
  );
});

test('an upstream that restarts under its name is a new incarnation', async () => {
  // Guards against applying the load, the suspicion and the prefill results of
  // an engine's earlier incarnation after a restart under the same name.
  const again = {...GOOD, born: GOOD.born + 8_000};
  const [first] = await readUpstreams([upstreamRow('a', GOOD)], silentLog);
  const [second] = await readUpstreams([upstreamRow('a', again)], silentLog);
  assert.equal(first.name, second.name);
  assert.notEqual(first.id, second.id);
  const untold = {...GOOD, born: undefined};
  const [third] = await readUpstreams([upstreamRow('a', untold)], silentLog);
  assert.equal(third.id, 'a', 'where upstreams do not tell, the name is all');
});
