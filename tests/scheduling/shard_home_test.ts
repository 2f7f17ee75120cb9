import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {EngineDescription} from '../../src/core/scheduling/engine_reservations.js';
import {createSeededRandom} from '../../src/core/seeded_random.js';
import {createVirtualClock} from '../../src/core/virtual_clock.js';
import type {
  Grant,
  GrantRefusal,
  GrantRequest,
} from '../../src/ports/grants.js';
import {
  createShardHome,
  type ShardHome,
} from '../../src/scheduling/shard_home.js';

const KV_BYTES = 20_000;
const silentLog = {error() {}, warn() {}, info() {}, debug() {}};

function describeEngine(
  engineId: string,
  role: 'prefill' | 'decode',
  slots: number,
): EngineDescription {
  return {
    engineId,
    address: `${engineId}:1`,
    role,
    failureDomain: 'annelinn-saal',
    models: ['m'],
    slots,
    kvBytes: KV_BYTES,
    linkBytesPerMs: 1_000,
  };
}

function createHome(slots = 2, changes = {}) {
  const clock = createVirtualClock();
  const home = createShardHome(
    {clock, random: createSeededRandom(1), log: silentLog},
    {
      shardId: 's1',
      homeEpoch: 1,
      service: 'aruande-koostaja',
      targets: {ttftMs: 1_000, tokenIntervalMs: 60, waitMs: 60_000},
      wasteWeight: 1,
      maxQueued: 100,
      initialEstimates: {kvBytesPerToken: 10},
      ...changes,
    },
  );
  home.setEngines([
    describeEngine('p1', 'prefill', 8),
    describeEngine('d1', 'decode', slots),
  ]);
  return {clock, home};
}

let requestCount = 0;
function createRequest(changes: Partial<GrantRequest> = {}): GrantRequest {
  requestCount++;
  return {
    owner: {
      entry: 'e1#1',
      requestId: `r${requestCount}`,
      attemptId: `a${requestCount}`,
    },
    service: 'aruande-koostaja',
    account: 'kirikukoor',
    requestClass: 'interactive',
    promptTokenCount: 100,
    maxTokens: 100,
    prefixHashes: [],
    ttftLeftMs: 1_000_000,
    waitLeftMs: 2_000_000,
    resumeOffset: 0,
    ...changes,
  };
}

const neverAborted = () => new AbortController().signal;

function endedReport(grant: Grant) {
  return {
    kind: 'ended' as const,
    result: 'whole' as const,
    tokensDelivered: 10,
    prefillWasted: false,
    grantId: grant.grantId,
  };
}

test('a decode slot is granted once, and again after its release', async () => {
  const {clock, home} = createHome(1);
  const first = await home.request(createRequest(), neverAborted());
  assert.equal(first.kind, 'granted');
  const answers: (Grant | GrantRefusal)[] = [];
  void home
    .request(createRequest(), neverAborted())
    .then(answer => answers.push(answer));
  await clock.advance(500);
  assert.equal(answers.length, 0);
  home.report(first as Grant, endedReport(first as Grant));
  await clock.advance(50);
  assert.equal(answers[0]?.kind, 'granted');
  home.stop();
});

function reportPrefill(home: ShardHome, grant: Grant, kvSizeBytes: number) {
  home.report(grant, {kind: 'prefill-started'});
  home.report(grant, {kind: 'prefill-done', kvSizeBytes, cachedTokens: 0});
  home.report(grant, {kind: 'decode-started'});
}

test('granted memory never exceeds the memory of the engine', async () => {
  const {clock, home} = createHome(20);
  for (let i = 0; i < 20; i++) {
    void home
      .request(createRequest({promptTokenCount: 300}), neverAborted())
      .then(answer => {
        if (answer.kind === 'granted') reportPrefill(home, answer, 3_000);
      });
  }
  await clock.advance(2_000);
  const decode = home.engineUsage().find(book => book.engineId === 'd1')!;
  assert.ok(decode.usedKvBytes <= KV_BYTES);
  assert.equal(decode.usedSlots, 5);
  home.stop();
});

test('a request that cannot start in time is refused at once with a retry time', async () => {
  // The only slot is taken for long, so the second request can't start in time.
  // Without an early refusal its caller would wait for nothing.
  const {home} = createHome(1);
  await home.request(createRequest(), neverAborted());
  const answer = await home.request(
    createRequest({ttftLeftMs: 300}),
    neverAborted(),
  );
  assert.equal(answer.kind, 'refused');
  assert.equal((answer as GrantRefusal).reason, 'not-feasible');
  assert.ok((answer as GrantRefusal).retryAfterMs > 300);
  home.stop();
});

test('the grants of an entry that died are released', async () => {
  // An entry dies while it holds all slots. Others must soon get them, although
  // the ends of the grants are never reported.
  const {clock, home} = createHome(1);
  await home.request(createRequest(), neverAborted());
  home.releaseEntry('e1#1');
  await clock.advance(1_100);
  const owner = {entry: 'e2#1', requestId: 'x', attemptId: 'x'};
  const answer = await home.request(createRequest({owner}), neverAborted());
  assert.equal(answer.kind, 'granted');
  home.stop();
});

test('a grant without reports expires', async () => {
  const {clock, home} = createHome(1);
  await home.request(createRequest(), neverAborted());
  await clock.advance(7_000);
  const next = await home.request(createRequest(), neverAborted());
  assert.equal(next.kind, 'granted');
  home.stop();
});

test('a cancelled request is removed from the queue', async () => {
  const {clock, home} = createHome(1);
  await home.request(createRequest(), neverAborted());
  const controller = new AbortController();
  const waiting = home.request(createRequest(), controller.signal);
  controller.abort();
  assert.equal(((await waiting) as GrantRefusal).reason, 'cancelled');
  assert.equal(home.summary().queued, 0);
  await clock.advance(100);
  home.stop();
});

test('a new home waits for engine reports and uses half of the free slots', async () => {
  // The old home may be paused rather than dead, and may still grant slots. The
  // new one must not grant more than half of the slots that are reported free.
  const {clock, home} = createHome(20, {rebuildMs: 2_000});
  const answers: (Grant | GrantRefusal)[] = [];
  for (let i = 0; i < 10; i++) {
    const small = createRequest({promptTokenCount: 10, maxTokens: 10});
    void home.request(small, neverAborted()).then(each => answers.push(each));
  }
  await clock.advance(300);
  assert.equal(answers.length, 0);
  const report = {
    models: [],
    sequence: 1,
    kvTotalBytes: KV_BYTES,
    kvUsedBytes: 0,
    queuedTokens: 0,
    leaving: false,
  };
  home.applyLoadReport({
    ...report,
    engineId: 'p1',
    role: 'prefill',
    slotsTotal: 8,
    slotsUsed: 0,
  });
  home.applyLoadReport({
    ...report,
    engineId: 'd1',
    role: 'decode',
    slotsTotal: 20,
    slotsUsed: 16,
  });
  await clock.advance(500);
  assert.equal(answers.length, 2);
  home.stop();
});
