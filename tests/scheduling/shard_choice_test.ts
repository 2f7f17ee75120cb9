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

function createGrant(shardId: string): Grant {
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

function createRefusingPort(
  reason: GrantRefusal['reason'],
  retryAfterMs: number,
) {
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

function createGrantingPort(
  shardId: string,
  requestedShardIds: string[],
): GrantPort {
  return {
    async request() {
      requestedShardIds.push(shardId);
      return createGrant(shardId);
    },
    report() {},
  };
}

function createView(
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

function createChoice(shards: readonly ShardView[]) {
  const clock = createVirtualClock();
  const choice = createShardChoice(
    {clock, random: createSeededRandom(3), log: silentLog},
    {ownFailureDomain: 'bp-angyal', shards: () => shards},
  );
  return {clock, choice};
}

const neverAborted = () => new AbortController().signal;

test('shards of the own failure domain are preferred until they are full', async () => {
  const requestedShardIds: string[] = [];
  const {choice} = createChoice([
    createView(
      'near',
      'bp-angyal',
      createGrantingPort('near', requestedShardIds),
    ),
    createView(
      'far',
      'bp-csepel',
      createGrantingPort('far', requestedShardIds),
    ),
  ]);
  await choice.request(REQUEST, neverAborted());
  assert.deepEqual(requestedShardIds, ['near']);
  const full = createChoice([
    createView(
      'near',
      'bp-angyal',
      createGrantingPort('near', requestedShardIds),
      0,
      400,
    ),
    createView(
      'far',
      'bp-csepel',
      createGrantingPort('far', requestedShardIds),
    ),
  ]);
  await full.choice.request(REQUEST, neverAborted());
  assert.deepEqual(requestedShardIds, ['near', 'far']);
});

test('own grants that are newer than the summary count against a shard', async () => {
  // Otherwise all entries would follow the same old summary and overload one
  // shard.
  const requestedShardIds: string[] = [];
  const {choice} = createChoice([
    createView(
      'near',
      'bp-angyal',
      createGrantingPort('near', requestedShardIds),
      3,
    ),
    createView(
      'far',
      'bp-csepel',
      createGrantingPort('far', requestedShardIds),
      3,
    ),
  ]);
  for (let i = 0; i < 6; i++) await choice.request(REQUEST, neverAborted());
  assert.ok(requestedShardIds.includes('far'));
});

test('a silent home times out near the time to the first token', async () => {
  // The host of a home is unreachable while its engines are healthy. Requests
  // must go to another home instead of waiting until their deadline.
  const requestedShardIds: string[] = [];
  const {clock, choice} = createChoice([
    createView('near', 'bp-angyal', silentPort),
    createView(
      'far',
      'bp-csepel',
      createGrantingPort('far', requestedShardIds),
    ),
  ]);
  const relaxed = {...REQUEST, ttftLeftMs: 1_000};
  const answer = choice.request(relaxed, neverAborted());
  await clock.advance(1_351);
  assert.deepEqual(requestedShardIds, []);
  assert.equal((await answer).kind, 'refused');
  const second = await choice.request(relaxed, neverAborted());
  assert.equal(second.kind, 'granted');
  assert.deepEqual(requestedShardIds, ['far']);
});

test('a refusal by all homes has the shortest retry time', async () => {
  const {choice} = createChoice([
    createView('near', 'bp-angyal', createRefusingPort('not-feasible', 900)),
    createView('far', 'bp-csepel', createRefusingPort('queue-full', 400)),
  ]);
  const answer = await choice.request(REQUEST, neverAborted());
  assert.equal((answer as GrantRefusal).retryAfterMs, 400);
});

test('a request waits for a moved home up to half its time to the first token', async () => {
  // A router host is replaced. Its shard has no home for a second while all
  // engines are healthy, and callers should not be refused for that.
  let isHomeBack = false;
  const moving: GrantPort = {
    async request() {
      if (isHomeBack) return createGrant('near');
      return {kind: 'refused', reason: 'home-moved', retryAfterMs: 250};
    },
    report() {},
  };
  const {clock, choice} = createChoice([
    createView('near', 'bp-angyal', moving),
  ]);
  const answer = choice.request(
    {...REQUEST, ttftLeftMs: 4_000},
    neverAborted(),
  );
  await clock.advance(500);
  isHomeBack = true;
  await clock.advance(400);
  assert.equal((await answer).kind, 'granted');
  isHomeBack = false;
  const short = choice.request({...REQUEST, ttftLeftMs: 400}, neverAborted());
  await clock.advance(1);
  assert.equal((await short).kind, 'refused');
});
