/** Tests of the adapters against the stand-ins' HTTP servers, over loopback. */

import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createHttpEngineFactory} from '../../src/adapters/http_engine.js';
import {createHttpHostList} from '../../src/adapters/http_host_list.js';
import {createHttpObjectStore} from '../../src/adapters/http_object_store.js';
import {createHttpPlainServiceFactory} from '../../src/adapters/http_plain_service.js';
import {createHttpTable} from '../../src/adapters/http_table.js';
import {createSystemClock} from '../../src/adapters/system_clock.js';
import {createSystemRandom} from '../../src/adapters/system_random.js';
import {tokenizePrompt} from '../../src/core/prompt_tokens.js';
import type {
  DecodeEvent,
  EnginePort,
  OwnerTag,
} from '../../src/ports/engine.js';
import type {PlainCall} from '../../src/ports/plain_service.js';
import {expectAnswer} from '../../stand_ins/answer_text.js';
import {createEngineCore} from '../../stand_ins/engine_core.js';
import {createEngineServer} from '../../stand_ins/engine_server.js';
import type {EngineOptions} from '../../stand_ins/engine_types.js';
import {createHttpKvSource} from '../../stand_ins/http_kv_source.js';
import {createPlatformCore} from '../../stand_ins/platform_core.js';
import {createPlatformServer} from '../../stand_ins/platform_server.js';
import {createServiceCore} from '../../stand_ins/service_core.js';
import {createServiceServer} from '../../stand_ins/service_server.js';

const host = {clock: createSystemClock(), random: createSystemRandom()};
const PROMPT = tokenizePrompt('Neutral brief of a case file');
const LONG_MS = 20_000;
const SHORT_MS = 150;
const owner: OwnerTag = {entry: 'e#1', requestId: 'r1', attemptId: 'r1-1'};

async function startEngines(patch: Partial<EngineOptions> = {}) {
  const engineHost = {...host, kvSource: createHttpKvSource};
  const common = {stepMs: 1, prefillLifeMs: LONG_MS, ...patch};
  const prefillCore = createEngineCore(engineHost, {
    ...common,
    role: 'prefill',
  });
  const decodeCore = createEngineCore(engineHost, {...common, role: 'decode'});
  const prefillServer = await createEngineServer(prefillCore, '127.0.0.1:0');
  const decodeServer = await createEngineServer(decodeCore, '127.0.0.1:0');
  const factory = createHttpEngineFactory(host, {streamSilenceMs: 400});
  return {
    prefillCore,
    decodeCore,
    prefillServer,
    decodeServer,
    prefill: factory(prefillServer.address),
    decode: factory(decodeServer.address),
    close: () => Promise.all([prefillServer.close(), decodeServer.close()]),
  };
}

type Engines = Awaited<ReturnType<typeof startEngines>>;

async function importPrompt(engines: Engines): Promise<string> {
  const made = await engines.prefill.prefill({
    owner,
    model: 'default',
    promptTokens: PROMPT,
    priority: 0,
    timeoutMs: LONG_MS,
  });
  if (made.kind === 'failed') throw new Error(made.detail);
  const imported = await engines.decode.importKv({
    owner,
    fromAddress: engines.prefillServer.address,
    kvHandle: made.kvHandle,
    kvSizeBytes: made.kvSizeBytes,
    timeoutMs: LONG_MS,
  });
  if (imported.kind === 'failed') throw new Error(imported.detail);
  return imported.sessionId;
}

/** Decodes to the end; `onEvent` sees each event as it comes. */
function decodeWhole(
  port: EnginePort,
  sessionId: string,
  onEvent: (event: DecodeEvent) => void = () => undefined,
): Promise<readonly DecodeEvent[]> {
  const events: DecodeEvent[] = [];
  return new Promise(resolve => {
    const call = {owner, sessionId, maxTokens: 9_999, fromOffset: 0};
    port.decode({...call, priority: 0}, event => {
      events.push(event);
      onEvent(event);
      if (event.kind !== 'tokens') resolve(events);
    });
  });
}

test('prefill, import and decode over HTTP return the complete expected answer', async () => {
  const engines = await startEngines({answerTokens: 30});
  const events = await decodeWhole(engines.decode, await importPrompt(engines));
  const answer = expectAnswer(PROMPT, 30);
  assert.deepEqual(
    events.flatMap(event => (event.kind === 'tokens' ? event.texts : [])),
    Array.from({length: answer.naturalTokenCount}, (_, at) =>
      answer.textAt(at),
    ),
  );
  assert.equal(events.at(-1)?.kind, 'end');
  const load = await engines.decode.load(LONG_MS);
  assert.equal('slotsUsed' in load && load.slotsUsed, 0);
  assert.equal(await engines.decode.probe(LONG_MS), 'alive');
  await engines.close();
});

test('a decode stream that goes silent is cut, and the next one works', async () => {
  // The network drops the connection between two tokens. The socket reports no
  // error; only the heartbeats stop. The engine keeps decoding and keeps its
  // memory until the owner cancels over a new connection.
  const engines = await startEngines({answerTokens: 9_999, stepMs: 5});
  const sessionId = await importPrompt(engines);
  let tokens = 0;
  const events = await decodeWhole(engines.decode, sessionId, event => {
    if (event.kind === 'tokens' && ++tokens === 3) {
      engines.decodeServer.silenceConnections();
    }
  });
  const last = events.at(-1);
  assert.equal(last?.kind === 'cut' && last.failure.reason, 'broken');
  assert.equal(engines.decodeCore.stats().sessions.length, 1);
  assert.equal(await engines.decode.probe(LONG_MS), 'alive');
  // The pooled connection of control calls is silent too, so one call fails.
  const first = await engines.decode.cancel(owner, SHORT_MS);
  assert.equal(typeof first !== 'string' && first.reason, 'timeout');
  assert.equal(await engines.decode.cancel(owner, LONG_MS), 'released');
  assert.equal(engines.decodeCore.stats().kvUsedBytes, 0);
  await engines.close();
});

test('a decode stream goes on after a pause of its engine', async () => {
  // Guards against answers that are cut while their engine answers nothing.
  const engines = await startEngines({answerTokens: 100});
  const {gate} = engines.decodeCore;
  const sessionId = await importPrompt(engines);
  let tokens = 0;
  const events = await decodeWhole(engines.decode, sessionId, event => {
    if (event.kind !== 'tokens' || ++tokens !== 3) return;
    gate.freeze();
    setTimeout(gate.thaw, 1_500);
  });
  assert.equal(events.at(-1)?.kind, 'end');
  await engines.close();
});

test('a crash cuts the stream, and later calls are unreachable', async () => {
  const engines = await startEngines({answerTokens: 9_999});
  const sessionId = await importPrompt(engines);
  const events = await decodeWhole(engines.decode, sessionId, event => {
    if (event.kind === 'tokens') engines.decodeCore.crash();
  });
  assert.equal(events.at(-1)?.kind, 'cut');
  const load = await engines.decode.load(LONG_MS);
  assert.equal('kind' in load && load.reason, 'unreachable');
  await engines.close();
});

test('platform writes over HTTP are applied, rejected, refused or unknown', async () => {
  const core = createPlatformCore(host, {hostListLagMs: 0});
  const server = await createPlatformServer(core, '127.0.0.1:0');
  const options = {baseUrl: `http://${server.address}`};
  const table = createHttpTable(host, options);
  const put = (attemptId: string, timeoutMs: number) =>
    table.transact(
      {
        attemptId,
        conditions: [{kind: 'absent', key: 'k/1'}],
        writes: [{kind: 'put', key: 'k/1', value: {by: attemptId}}],
      },
      timeoutMs,
    );
  core.setFaults({answerLostShare: 1});
  assert.equal((await put('a1', SHORT_MS)).kind, 'unknown');
  core.setFaults({answerLostShare: 0});
  assert.deepEqual(await put('a2', LONG_MS), {
    kind: 'rejected',
    failedKeys: ['k/1'],
  });
  const rows = await table.scan('k/', {limit: 10}, LONG_MS);
  assert.equal(rows.kind === 'read' && rows.value[0].value['by'], 'a1');
  core.setFaults({isDown: true});
  const refused = await put('a3', LONG_MS);
  assert.equal(refused.kind === 'refused' && refused.reason, 'unavailable');
  core.setFaults({isDown: false});

  const objects = createHttpObjectStore(host, options);
  const body = Buffer.from([0, 255, 10]);
  assert.equal(await objects.put('a/b c', body, LONG_MS), 'stored');
  const found = await objects.get('a/b c', LONG_MS);
  assert.deepEqual(found.kind === 'read' && Buffer.from(found.value!), body);
  await objects.remove('a/b c', LONG_MS);
  const gone = await objects.get('a/b c', LONG_MS);
  assert.deepEqual(gone, {kind: 'read', value: undefined});

  core.setHosts([
    {
      hostId: 'h1',
      failureDomain: 'kontor-kelder',
      address: '127.0.0.1:1',
      role: 'router',
      state: 'live',
    },
  ]);
  const list = await createHttpHostList(host, options).list(LONG_MS);
  assert.equal(list.kind === 'read' && list.value[0].hostId, 'h1');
  await server.close();
  // The first write may break a pooled connection; its outcome is then unknown.
  assert.notEqual((await put('a4', LONG_MS)).kind, 'applied');
  assert.equal((await put('a5', LONG_MS)).kind, 'refused');
});

function posting(patch: Partial<PlainCall> = {}): PlainCall {
  return {
    requestId: 'r1',
    attemptId: 'r1-1',
    method: 'POST',
    path: '/postings?year=2026',
    headers: {'idempotency-key': 'k1', connection: 'close'},
    body: Buffer.from('{"amount":1}'),
    timeoutMs: LONG_MS,
    connectionProvenWithinMs: 0,
    ...patch,
  };
}

test('a posting avoids a connection that went silent while idle', async () => {
  // The network drops a pooled connection while it is idle. A posting sent
  // over it would get no answer; it must use a connection that works.
  const core = createServiceCore(host);
  const server = await createServiceServer(core, '127.0.0.1:0');
  const service = createHttpPlainServiceFactory(host)(server.address);
  const {signal} = new AbortController();
  const first = await service.call(posting(), signal);
  assert.equal(first.kind === 'answered' && first.status, 200);
  assert.equal(core.stats().runs[0].path, '/postings?year=2026');
  const strict = posting({connectionProvenWithinMs: 0.001});
  assert.equal((await service.call(strict, signal)).kind, 'answered');
  server.silenceConnections();
  assert.equal((await service.call(strict, signal)).kind, 'answered');
  const pooled = await service.call(posting({timeoutMs: SHORT_MS}), signal);
  assert.equal(pooled.kind === 'failed' && pooled.mayHaveRun, true);
  assert.deepEqual(core.stats().runsByKey, {k1: 3});
  await server.close();
});

test('a failed call reports correctly whether it may have run', async () => {
  const core = createServiceCore(host);
  const server = await createServiceServer(core, '127.0.0.1:0');
  const service = createHttpPlainServiceFactory(host)(server.address);
  const {signal} = new AbortController();
  const strict = {connectionProvenWithinMs: 1_000};
  core.setFaults({answerLostShare: 1});
  const lost = await service.call(
    posting({...strict, timeoutMs: SHORT_MS}),
    signal,
  );
  assert.equal(lost.kind === 'failed' && lost.mayHaveRun, true);
  assert.equal(core.stats().runCount, 1);
  const gaveUp = await service.call(posting(strict), AbortSignal.abort());
  assert.equal(gaveUp.kind === 'failed' && gaveUp.mayHaveRun, false);
  await server.close();
  const refused = await service.call(posting(strict), signal);
  assert.equal(refused.kind === 'failed' && refused.mayHaveRun, false);
  assert.equal(core.stats().runCount, 1);
});
