/**
 * `npm run bench -- journal`: measures the cost of the journal, in table writes
 * per call that may not be repeated, at rising rates, with and without group
 * commit. It runs in virtual time against a stand-in platform that accepts 300
 * writes per second.
 */

import {build as buildHistogram} from 'hdr-histogram-js';
import {createSeededRandom} from '../src/core/seeded_random.js';
import {createVirtualClock} from '../src/core/virtual_clock.js';
import type {IntentOutcome, IntentRequest} from '../src/ports/journal.js';
import {
  createJournalOwner,
  defaultJournalOwnerOptions,
} from '../src/request/journal_owner.js';
import {createPlatformCore} from '../stand_ins/platform_core.js';

const PARTITIONS = 8;
const SECONDS = 10;
const CALL_MS = 20;
const PLATFORM_WRITES_PER_SECOND = 300;
/** The part of the platform's write rate that the journal may use. */
const JOURNAL_WRITES_PER_SECOND = 96;
const RATES = [20, 100, 300, 1_000, 2_000, 4_000, 8_000];
const ONE_WAY_MS = 1.5;
const WRITE_MS = 5;

interface Result {
  readonly proceeded: number;
  readonly refused: number;
  readonly recorded: number;
  readonly writes: number;
  readonly reads: number;
  readonly intentsPerWrite: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
}

async function measure(rate: number, isGrouped: boolean): Promise<Result> {
  const clock = createVirtualClock();
  const random = createSeededRandom(rate);
  const platform = createPlatformCore(
    {clock, random},
    {
      latencyMs: ONE_WAY_MS,
      writeMs: WRITE_MS,
      writesPerSecond: PLATFORM_WRITES_PER_SECOND,
    },
  );
  await writeLease(platform.table, clock);
  const owners = Array.from({length: PARTITIONS}, (_, partition) =>
    createJournalOwner(
      {
        clock,
        random,
        log: {error() {}, warn() {}, info() {}, debug() {}},
        table: platform.table,
        objectStore: platform.objects,
        fence: () => ({
          epoch: 1,
          condition: {kind: 'field', key: 'lease', field: 'epoch', equals: 1},
        }),
        isEntryAlive: () => true,
      },
      {
        ...defaultJournalOwnerOptions,
        partition,
        maxWritesPerSecond: isGrouped
          ? JOURNAL_WRITES_PER_SECOND / PARTITIONS
          : 1_000_000,
        maxBatch: isGrouped ? defaultJournalOwnerOptions.maxBatch : 1,
        flushMs: isGrouped ? defaultJournalOwnerOptions.flushMs : 0,
        retentionMs: () => 3_600_000,
      },
    ),
  );
  const before = platform.stats();
  const latency = buildHistogram({highestTrackableValue: 60_000});
  let proceeded = 0;
  let refused = 0;
  let recorded = 0;

  async function post(i: number): Promise<void> {
    const request: IntentRequest = {
      service: 'ledger',
      account: 'a',
      idempotencyKey: `k${i}`,
      fingerprint: 'f',
      attemptId: `a${i}`,
      entry: 'e#1',
      timeoutMs: 2_000,
    };
    const startedAtMs = clock.nowMs();
    const owner = owners[i % PARTITIONS];
    const outcome: IntentOutcome = await owner.begin(request);
    if (outcome.kind !== 'proceed') {
      refused++;
      return;
    }
    proceeded++;
    latency.recordValue(Math.max(1, Math.round(clock.nowMs() - startedAtMs)));
    clock.setTimer(CALL_MS, () => {
      const answer = {status: 201, headers: {}, body: Buffer.from('posted')};
      void owner
        .end(request, {kind: 'answered', answer})
        .then(isDurable => (recorded += Number(isDurable)));
    });
  }

  const count = rate * SECONDS;
  for (let i = 0; i < count; i++) {
    const atMs = random.nextFloat() * SECONDS * 1_000;
    clock.setTimer(atMs, () => void post(i));
  }
  await clock.advance(SECONDS * 1_000);
  const after = platform.stats();
  const writes = after.writes - before.writes;
  const applied = writes - (after.writesRefused - before.writesRefused);
  return {
    proceeded,
    refused,
    recorded,
    writes,
    reads: after.reads - before.reads,
    intentsPerWrite: proceeded / Math.max(1, applied),
    p50Ms: latency.getValueAtPercentile(50),
    p95Ms: latency.getValueAtPercentile(95),
  };
}

async function writeLease(
  table: ReturnType<typeof createPlatformCore>['table'],
  clock: ReturnType<typeof createVirtualClock>,
): Promise<void> {
  const done = table.transact(
    {
      attemptId: 'lease',
      conditions: [],
      writes: [{kind: 'put', key: 'lease', value: {epoch: 1}}],
    },
    1_000,
  );
  await clock.advance(50);
  await done;
}

export async function run(): Promise<void> {
  console.log(
    `${PARTITIONS} partitions, ${SECONDS} s of virtual time, platform ` +
      `${PLATFORM_WRITES_PER_SECOND} writes/s, write ${WRITE_MS} ms, ` +
      `one way ${ONE_WAY_MS} ms, journal's share ` +
      `${JOURNAL_WRITES_PER_SECOND} writes/s`,
  );
  console.log(
    'offered/s | commit | proceed/s | refused/s | writes/s | reads/s | ' +
      'writes a call | intents a write | added p50 ms | p95 ms',
  );
  for (const rate of RATES) {
    for (const isGrouped of [true, false]) {
      const outcome = await measure(rate, isGrouped);
      const perSecond = (value: number) => (value / SECONDS).toFixed(0);
      console.log(
        [
          rate,
          isGrouped ? 'group' : 'single',
          perSecond(outcome.proceeded),
          perSecond(outcome.refused),
          perSecond(outcome.writes),
          perSecond(outcome.reads),
          (outcome.writes / Math.max(1, outcome.proceeded)).toFixed(3),
          outcome.intentsPerWrite.toFixed(1),
          outcome.p50Ms,
          outcome.p95Ms,
        ].join(' | '),
      );
    }
  }
}
