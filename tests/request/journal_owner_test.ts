import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSeededRandom} from '../../src/core/seeded_random.js';
import {createVirtualClock} from '../../src/core/virtual_clock.js';
import type {IntentRequest} from '../../src/ports/journal.js';
import type {TableCondition} from '../../src/ports/table.js';
import {
  createJournalOwner,
  defaultJournalOwnerOptions,
} from '../../src/request/journal_owner.js';
import {createPlatformCore} from '../../stand_ins/platform_core.js';

const PARTITION = 3;
const LEASE_KEY = 'lease/3';

async function createFixture() {
  const clock = createVirtualClock();
  const random = createSeededRandom(5);
  const platform = createPlatformCore({clock, random}, {latencyMs: 1});
  const dead = new Set<string>();
  const condition = (epoch: number): TableCondition => ({
    kind: 'field',
    key: LEASE_KEY,
    field: 'epoch',
    equals: epoch,
  });
  async function takeLease(epoch: number) {
    const done = platform.table.transact(
      {
        attemptId: `lease-${epoch}`,
        conditions: [],
        writes: [{kind: 'put', key: LEASE_KEY, value: {epoch}}],
      },
      500,
    );
    await clock.advance(10);
    await done;
  }
  function createOwner(epoch: number, partition = PARTITION) {
    return createJournalOwner(
      {
        clock,
        random,
        log: {error() {}, warn() {}, info() {}, debug() {}},
        table: platform.table,
        objectStore: platform.objects,
        fence: () => ({epoch, condition: condition(epoch)}),
        isEntryAlive: entry => !dead.has(entry),
      },
      {
        ...defaultJournalOwnerOptions,
        partition,
        maxWritesPerSecond: 100,
        maxInlineBytes: 64,
        retentionMs: () => 60_000,
      },
    );
  }
  await takeLease(1);
  return {clock, platform, dead, takeLease, createOwner};
}

function intent(patch: Partial<IntentRequest> = {}): IntentRequest {
  return {
    service: 'ledger',
    account: 'tammeoja',
    idempotencyKey: 'k1',
    fingerprint: 'f1',
    attemptId: 'a1',
    entry: 'e1#1',
    timeoutMs: 1_000,
    ...patch,
  };
}

const answer = {status: 201, headers: {}, body: Buffer.from('posted')};

test('a repeat gets the stored answer, and another body a conflict', async () => {
  const {clock, createOwner} = await createFixture();
  const owner = createOwner(1);
  const begun = owner.begin(intent());
  await clock.advance(100);
  assert.equal((await begun).kind, 'proceed');
  const ended = owner.end(intent(), {kind: 'answered', answer});
  await clock.advance(100);
  assert.equal(await ended, true);
  const later = createOwner(1);
  const repeat = later.begin(intent({attemptId: 'a2'}));
  const other = later.begin(intent({attemptId: 'a3', fingerprint: 'f2'}));
  await clock.advance(100);
  const outcome = await repeat;
  assert.equal(outcome.kind, 'answered');
  assert.equal(
    outcome.kind === 'answered' && Buffer.from(outcome.answer.body).toString(),
    'posted',
  );
  assert.equal((await other).kind, 'conflict');
});

// An owner is paused past its lease and resumes without noticing, while the
// next owner has already taken a new epoch. Writes of the old owner must not
// apply, so it must not let any call proceed.
test('an owner whose lease has expired lets no call proceed', async () => {
  const {clock, createOwner, takeLease} = await createFixture();
  const old = createOwner(1);
  await takeLease(2);
  const begun = old.begin(intent());
  await clock.advance(1_500);
  const outcome = await begun;
  assert.equal(outcome.kind === 'refused' && outcome.reason, 'not-owner');
});

// The platform loses the answer to an intent and applies the intent only after
// the caller was refused as not run. The late intent must neither block its key
// nor let the refused attempt run.
test('an intent that applies late does not block its key', async () => {
  const {clock, platform, createOwner} = await createFixture();
  const owner = createOwner(1);
  platform.setFaults({lateShare: 1, lateMs: 900});
  const begun = owner.begin(intent({timeoutMs: 700}));
  await clock.advance(750);
  const first = await begun;
  assert.equal(first.kind === 'refused' && first.reason, 'platform');
  platform.setFaults({lateShare: 0});
  await clock.advance(5_000);
  const again = owner.begin(intent({attemptId: 'a2', entry: 'e2#1'}));
  await clock.advance(500);
  assert.equal((await again).kind, 'proceed');
});

// The platform applies an intent and loses the answer. The owner finds its own
// attempt in the head row and lets the call proceed.
test('a lost answer is resolved by reading the head row', async () => {
  const {clock, platform, createOwner} = await createFixture();
  const owner = createOwner(1);
  platform.setFaults({answerLostShare: 1});
  const begun = owner.begin(intent());
  await clock.advance(900);
  assert.equal((await begun).kind, 'proceed');
});

// An entry dies while a posting is in transit. A repeat at another entry must
// neither run the posting again nor report it as not run.
test('a repeat after the death of the entry gets outcome-unknown', async () => {
  const {clock, dead, createOwner} = await createFixture();
  const owner = createOwner(1);
  const begun = owner.begin(intent());
  await clock.advance(100);
  await begun;
  const early = owner.begin(intent({attemptId: 'a2', entry: 'e2#1'}));
  await clock.advance(100);
  assert.equal((await early).kind, 'running');
  dead.add('e1#1');
  const repeat = owner.begin(intent({attemptId: 'a3', entry: 'e2#1'}));
  await clock.advance(100);
  assert.equal((await repeat).kind, 'outcome-unknown');
});

test('intents are refused at once while the platform is down', async () => {
  const {clock, platform, createOwner} = await createFixture();
  const owner = createOwner(1);
  platform.setFaults({isDown: true});
  const first = owner.begin(intent());
  await clock.advance(1_100);
  assert.equal((await first).kind, 'refused');
  const startedAtMs = clock.nowMs();
  const second = await owner.begin(
    intent({idempotencyKey: 'k2', attemptId: 'a2'}),
  );
  assert.equal(second.kind === 'refused' && second.reason, 'platform');
  assert.equal(clock.nowMs(), startedAtMs);
  platform.setFaults({isDown: false});
  await clock.advance(1_500);
  const third = owner.begin(intent({idempotencyKey: 'k3', attemptId: 'a3'}));
  await clock.advance(100);
  assert.deepEqual(await third, {kind: 'proceed'});
});

test('a large answer is kept in the object store and replayed whole', async () => {
  const {clock, platform, createOwner} = await createFixture();
  const owner = createOwner(1);
  const body = Buffer.alloc(5_000, 'x');
  void owner.begin(intent());
  await clock.advance(100);
  void owner.end(intent(), {kind: 'answered', answer: {...answer, body}});
  await clock.advance(100);
  assert.equal(platform.stats().objectCount, 1);
  const repeat = owner.begin(intent({attemptId: 'a2'}));
  await clock.advance(100);
  const outcome = await repeat;
  assert.equal(
    outcome.kind === 'answered' && outcome.answer.body.length,
    5_000,
  );
});

test('many intents share one transaction', async () => {
  const {clock, platform, createOwner} = await createFixture();
  const owner = createOwner(1);
  const before = platform.stats().writes;
  const begun = Array.from({length: 50}, (_, i) =>
    owner.begin(intent({idempotencyKey: `m${i}`, attemptId: `m${i}`})),
  );
  await clock.advance(200);
  const outcomes = await Promise.all(begun);
  assert.ok(outcomes.every(({kind}) => kind === 'proceed'));
  assert.equal(platform.stats().writes - before, 1);
});

// While the number of partitions changes, two owners with valid leases may
// both own a key. Only one of them may let a call with the key run.
test('two owners of one key let a call run once', async () => {
  const {clock, createOwner} = await createFixture();
  const [before, after] = [createOwner(1, 3), createOwner(1, 5)];
  const warmUp = [before, after].map((owner, i) =>
    owner.begin(intent({idempotencyKey: `w${i}`, attemptId: `w${i}`})),
  );
  await clock.advance(200);
  await Promise.all(warmUp);
  const begun = [
    before.begin(intent({attemptId: 'a1'})),
    after.begin(intent({attemptId: 'a2', entry: 'e2#1'})),
  ];
  await clock.advance(1_000);
  const kinds = (await Promise.all(begun)).map(({kind}) => kind).sort();
  assert.deepEqual(kinds, ['proceed', 'running']);
});

test('rows are deleted after their retention', async () => {
  const {clock, platform, createOwner} = await createFixture();
  const owner = createOwner(1);
  void owner.begin(intent());
  await clock.advance(100);
  void owner.end(intent(), {kind: 'answered', answer});
  await clock.advance(100);
  const rowsBefore = platform.stats().rowCount;
  await clock.advance(120_000);
  assert.equal(platform.stats().rowCount, rowsBefore - 1);
});
