import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSeededRandom} from '../../src/core/seeded_random.js';
import {createVirtualClock} from '../../src/core/virtual_clock.js';
import type {
  Grant,
  GrantPort,
  GrantRefusal,
  GrantRequest,
} from '../../src/ports/grants.js';
import {
  createShardChoice,
  type ShardView,
} from '../../src/scheduling/shard_choice.js';

const silentLog = {error() {}, warn() {}, info() {}, debug() {}};

const REQUEST: GrantRequest = {
  owner: {entry: 'e1#1', requestId: 'r1', attemptId: 'a1'},
  service: 'brief-llm',
  account: 'csaladi-mediacio',
  requestClass: 'interactive',
  promptTokenCount: 100,
  maxTokens: 100,
  prefixHashes: [],
  ttftLeftMs: 1_000,
  waitLeftMs: 10_000,
  resumeOffset: 0,
};

function grantOf(shardId: string): Grant {
  return {
    kind: 'granted',
    grantId: `${shardId}/1/1`,
    homeEpoch: 1,
    prefillEngineId: 'p',
    prefillAddress: 'p:1',
    decodeEngineId: 'd',
    decodeAddress: 'd:1',
    lifeMs: 1_000,
    startInMs: 0,
  };
}

function refusing(reason: GrantRefusal['reason'], retryAfterMs: number) {
  return {
    request: async () => ({kind: 'refused' as const, reason, retryAfterMs}),
    report() {},
  };
}

/** A home that doesn't answer before the request is aborted. */
const silentPort: GrantPort = {
  request: (_request, signal) =>
    new Promise(resolve => {
      signal.addEventListener('abort', () =>
        resolve({kind: 'refused', reason: 'cancelled', retryAfterMs: 0}),
      );
    }),
  report() {},
};

function granting(shardId: string, asks: string[]): GrantPort {
  return {
    async request() {
      asks.push(shardId);
      return grantOf(shardId);
    },
    report() {},
  };
}

function view(
  shardId: string,
  failureDomain: string,
  grantPort: GrantPort,
  freeSlots = 10,
  waitMs = 0,
): ShardView {
  return {
    shardId,
    failureDomain,
    grantPort,
    ageMs: 100,
    summary: {
      shardId,
      service: 'brief-llm',
      homeEpoch: 1,
      freeSlots,
      totalSlots: 20,
      queued: 0,
      waitMs,
      prefillEngines: 1,
      decodeEngines: 1,
      ejected: 0,
    },
  };
}

function makeChoice(shards: readonly ShardView[]) {
  const clock = createVirtualClock();
  const choice = createShardChoice(
    {clock, random: createSeededRandom(3), log: silentLog},
    {ownFailureDomain: 'bp-angyal', shards: () => shards},
  );
  return {clock, choice};
}

const never = () => new AbortController().signal;

test('shards of the own failure domain are preferred until they are full', async () => {
  const asks: string[] = [];
  const {choice} = makeChoice([
    view('near', 'bp-angyal', granting('near', asks)),
    view('far', 'bp-csepel', granting('far', asks)),
  ]);
  await choice.request(REQUEST, never());
  assert.deepEqual(asks, ['near']);
  const full = makeChoice([
    view('near', 'bp-angyal', granting('near', asks), 0, 400),
    view('far', 'bp-csepel', granting('far', asks)),
  ]);
  await full.choice.request(REQUEST, never());
  assert.deepEqual(asks, ['near', 'far']);
});

test('own grants that are newer than the summary count against a shard', async () => {
  // Otherwise all entries would follow the same old summary and overload one
  // shard.
  const asks: string[] = [];
  const {choice} = makeChoice([
    view('near', 'bp-angyal', granting('near', asks), 3),
    view('far', 'bp-csepel', granting('far', asks), 3),
  ]);
  for (let i = 0; i < 6; i++) await choice.request(REQUEST, never());
  assert.ok(asks.includes('far'));
});

test('a silent home times out near the time to the first token', async () => {
  // The host of a home is unreachable while its engines are healthy. Requests
  // must go to another home instead of waiting until their deadline.
  const asks: string[] = [];
  const {clock, choice} = makeChoice([
    view('near', 'bp-angyal', silentPort),
    view('far', 'bp-csepel', granting('far', asks)),
  ]);
  const relaxed = {...REQUEST, ttftLeftMs: 1_000};
  const answer = choice.request(relaxed, never());
  await clock.advance(1_351);
  assert.deepEqual(asks, []);
  assert.equal((await answer).kind, 'refused');
  const second = await choice.request(relaxed, never());
  assert.equal(second.kind, 'granted');
  assert.deepEqual(asks, ['far']);
});

test('a refusal by all homes has the shortest retry time', async () => {
  const {choice} = makeChoice([
    view('near', 'bp-angyal', refusing('not-feasible', 900)),
    view('far', 'bp-csepel', refusing('queue-full', 400)),
  ]);
  const answer = await choice.request(REQUEST, never());
  assert.equal((answer as GrantRefusal).retryAfterMs, 400);
});

test('a request waits for a moved home up to half its time to the first token', async () => {
  // A router host is replaced. Its shard has no home for a second while all
  // engines are healthy, and callers should not be refused for that.
  let isHomeBack = false;
  const moving: GrantPort = {
    async request() {
      if (isHomeBack) return grantOf('near');
      return {kind: 'refused', reason: 'home-moved', retryAfterMs: 250};
    },
    report() {},
  };
  const {clock, choice} = makeChoice([view('near', 'bp-angyal', moving)]);
  const answer = choice.request({...REQUEST, ttftLeftMs: 4_000}, never());
  await clock.advance(500);
  isHomeBack = true;
  await clock.advance(400);
  assert.equal((await answer).kind, 'granted');
  isHomeBack = false;
  const short = choice.request({...REQUEST, ttftLeftMs: 400}, never());
  await clock.advance(1);
  assert.equal((await short).kind, 'refused');
});
