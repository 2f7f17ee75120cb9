import assert from 'node:assert/strict';
import {test} from 'node:test';
import {tokenizePrompt} from '../../src/core/prompt_tokens.js';
import {createSeededRandom} from '../../src/core/seeded_random.js';
import {createVirtualClock} from '../../src/core/virtual_clock.js';
import type {DecodeEvent, OwnerTag} from '../../src/ports/engine.js';
import {expectAnswer} from '../../stand_ins/answer_text.js';
import {
  createEngineCore,
  type EngineCore,
} from '../../stand_ins/engine_core.js';
import type {EngineOptions} from '../../stand_ins/engine_types.js';
import {createPlatformCore} from '../../stand_ins/platform_core.js';
import {createServiceCore} from '../../stand_ins/service_core.js';

const PROMPT = tokenizePrompt(
  'Annual report of the village choir fund, please.',
);
const TIMEOUT_MS = 1_000;
const WORST_MS = 60_000;

function createHost() {
  return {clock: createVirtualClock(), random: createSeededRandom(7)};
}

function ownerOf(name: string): OwnerTag {
  return {entry: 'entry-1#1', requestId: name, attemptId: `${name}-1`};
}

function createPair(patch: Partial<EngineOptions> = {}) {
  const host = createHost();
  const engines = new Map<string, EngineCore>();
  const engineHost = {
    ...host,
    kvSource: (address: string) => engines.get(address),
  };
  const prefill = createEngineCore(engineHost, {...patch, role: 'prefill'});
  const decode = createEngineCore(engineHost, {...patch, role: 'decode'});
  engines.set('prefill:1', prefill);
  return {...host, prefill, decode};
}

type Pair = ReturnType<typeof createPair>;

async function settleWith<T>(pair: Pair, promise: Promise<T>, ms: number) {
  await pair.clock.advance(ms);
  return promise;
}

async function importPrompt(pair: Pair, owner: OwnerTag): Promise<string> {
  const result = await settleWith(
    pair,
    pair.prefill.prefill({
      owner,
      model: 'default',
      promptTokens: PROMPT,
      priority: 0,
      timeoutMs: TIMEOUT_MS,
    }),
    100,
  );
  assert.equal(result.kind, 'prefilled');
  if (result.kind !== 'prefilled') throw new Error('unreachable');
  const imported = await settleWith(
    pair,
    pair.decode.importKv({
      owner,
      fromAddress: 'prefill:1',
      kvHandle: result.kvHandle,
      kvSizeBytes: result.kvSizeBytes,
      timeoutMs: TIMEOUT_MS,
    }),
    100,
  );
  assert.equal(imported.kind, 'imported');
  if (imported.kind !== 'imported') throw new Error('unreachable');
  return imported.sessionId;
}

function textsOf(events: readonly DecodeEvent[]): readonly string[] {
  return events.flatMap(event => (event.kind === 'tokens' ? event.texts : []));
}

test('an answer depends only on prompt and offset, also when resumed', async () => {
  const answer = expectAnswer(PROMPT, 20);
  const expected = Array.from({length: answer.naturalTokenCount}, (_, offset) =>
    answer.textAt(offset),
  );
  for (const fromOffset of [0, 4]) {
    const pair = createPair({answerTokens: 20});
    const owner = ownerOf('r1');
    const sessionId = await importPrompt(pair, owner);
    const events: DecodeEvent[] = [];
    pair.decode.decode(
      {owner, sessionId, maxTokens: 1_000, fromOffset, priority: 0},
      event => events.push(event),
    );
    await pair.clock.advance(WORST_MS);
    assert.deepEqual(textsOf(events), expected.slice(fromOffset));
    assert.equal(events.at(-1)?.kind, 'end');
    assert.equal(pair.prefill.stats().kvUsedBytes, 0);
    assert.equal(pair.decode.stats().kvUsedBytes, 0);
    assert.equal(pair.prefill.stats().prefillsWasted, 0);
  }
});

test('a prefill result that is not fetched is dropped and counted as wasted', async () => {
  const pair = createPair();
  const call = pair.prefill.prefill({
    owner: ownerOf('r1'),
    model: 'default',
    promptTokens: PROMPT,
    priority: 0,
    timeoutMs: TIMEOUT_MS,
  });
  assert.equal((await settleWith(pair, call, 100)).kind, 'prefilled');
  assert.ok(pair.prefill.stats().kvUsedBytes > 0);
  await pair.clock.advance(1_000);
  assert.equal(pair.prefill.stats().kvUsedBytes, 0);
  assert.equal(pair.prefill.stats().prefillsWasted, 1);
});

test('a running decode keeps its memory until its owner cancels it', async () => {
  // A connection goes silent during an answer. The reader abandons the stream;
  // the engine doesn't notice, keeps decoding and keeps its memory.
  const pair = createPair({answerTokens: 1_000});
  const owner = ownerOf('r1');
  const sessionId = await importPrompt(pair, owner);
  const events: DecodeEvent[] = [];
  pair.decode.decode(
    {owner, sessionId, maxTokens: 1_000, fromOffset: 0, priority: 0},
    event => events.push(event),
  );
  await pair.clock.advance(500);
  pair.decode.gate.silence(0);
  const seen = events.length;
  await pair.clock.advance(3_000);
  assert.equal(events.length, seen + 1);
  assert.equal(events.at(-1)?.kind, 'cut');
  assert.ok(pair.decode.stats().kvUsedBytes > 0);
  const released = pair.decode.cancel(owner, TIMEOUT_MS);
  assert.equal(await settleWith(pair, released, 10), 'released');
  assert.equal(pair.decode.stats().kvUsedBytes, 0);
});

test('a prompt with a crash marker crashes the engine and cuts its streams', async () => {
  const pair = createPair({
    answerTokens: 1_000,
    crashAt: 'decode',
    crashOnTokens: [PROMPT[0]],
  });
  const owner = ownerOf('r1');
  const sessionId = await importPrompt(pair, owner);
  const events: DecodeEvent[] = [];
  pair.decode.decode(
    {owner, sessionId, maxTokens: 10, fromOffset: 0, priority: 0},
    event => events.push(event),
  );
  await pair.clock.advance(500);
  assert.equal(events.length, 1);
  assert.equal(events[0].kind, 'cut');
  const state = pair.decode.stats();
  assert.equal(state.isUp, false);
  assert.equal(state.kvUsedBytes, 0);
  const load = await settleWith(pair, pair.decode.load(TIMEOUT_MS), 10);
  assert.equal('kind' in load && load.reason, 'unreachable');
});

test('an order with an old fence is refused only by engines that check fences', async () => {
  for (const checksFences of [true, false]) {
    const pair = createPair({checksFences});
    const send = (fence: number) =>
      pair.decode.order(
        {
          orderId: `o${fence}`,
          fence,
          lifeMs: 1_000,
          action: {kind: 'load-adapter', adapter: 'a'},
        },
        TIMEOUT_MS,
      );
    assert.equal((await settleWith(pair, send(5), 1)).kind, 'accepted');
    const late = await settleWith(pair, send(4), 1);
    assert.equal(late.kind, checksFences ? 'fenced' : 'accepted');
    const applied = pair.decode.stats().orders.length;
    assert.equal(applied, checksFences ? 1 : 2);
  }
});

test('a write whose answer is lost is still applied', async () => {
  const host = createHost();
  const platform = createPlatformCore(host);
  platform.setFaults({answerLostShare: 1});
  const write = platform.table.transact(
    {
      attemptId: 'a1',
      conditions: [{kind: 'absent', key: 'k'}],
      writes: [{kind: 'put', key: 'k', value: {n: 1}}],
    },
    TIMEOUT_MS,
  );
  await host.clock.advance(TIMEOUT_MS);
  assert.equal((await write).kind, 'unknown');
  const read = platform.table.read(['k'], TIMEOUT_MS);
  await host.clock.advance(10);
  const outcome = await read;
  assert.equal(outcome.kind === 'read' && outcome.value[0].version, 1);
});

test('a transaction applies all of its writes or none', async () => {
  const host = createHost();
  const platform = createPlatformCore(host);
  const transact = async (attemptId: string, version: number) => {
    const outcome = platform.table.transact(
      {
        attemptId,
        conditions: [{kind: 'version', key: 'a', version}],
        writes: [
          {kind: 'put', key: 'a', value: {by: attemptId}},
          {kind: 'put', key: 'b', value: {by: attemptId}},
        ],
      },
      TIMEOUT_MS,
    );
    await host.clock.advance(10);
    return outcome;
  };
  assert.deepEqual(await transact('t1', 1), {
    kind: 'rejected',
    failedKeys: ['a'],
  });
  assert.equal(platform.stats().rowCount, 0);
  platform.setFaults({isDown: true});
  assert.equal((await transact('t2', 1)).kind, 'refused');
});

test('the list of hosts shows a change only after its lag', async () => {
  const host = createHost();
  const platform = createPlatformCore(host, {hostListLagMs: 3_000});
  const listed = {
    hostId: 'h1',
    failureDomain: 'bp-angyal',
    address: '127.0.0.1:1',
    role: 'engine',
    state: 'live',
  } as const;
  platform.setHosts([listed]);
  platform.setHosts([{...listed, state: 'leaving'}]);
  const stateAfter = async (ms: number) => {
    await host.clock.advance(ms);
    const list = platform.hosts.list(TIMEOUT_MS);
    await host.clock.advance(1);
    const outcome = await list;
    return outcome.kind === 'read' && outcome.value[0].state;
  };
  assert.equal(await stateAfter(0), 'live');
  assert.equal(await stateAfter(3_000), 'leaving');
});

test('a plain service runs every call and counts runs by key', async () => {
  const host = createHost();
  const service = createServiceCore(host);
  const call = () =>
    service.call(
      {
        requestId: 'r1',
        attemptId: 'r1-1',
        method: 'POST',
        path: '/postings',
        headers: {'Idempotency-Key': 'k1'},
        body: new Uint8Array(),
        timeoutMs: TIMEOUT_MS,
        connectionProvenWithinMs: 0,
      },
      new AbortController().signal,
    );
  const both = Promise.all([call(), call()]);
  await host.clock.advance(10);
  assert.deepEqual(
    (await both).map(answer => answer.kind),
    ['answered', 'answered'],
  );
  service.crash();
  const refused = call();
  await host.clock.advance(10);
  const outcome = await refused;
  assert.equal(outcome.kind === 'failed' && outcome.mayHaveRun, false);
  assert.deepEqual(service.stats().runsByKey, {k1: 2});
});
