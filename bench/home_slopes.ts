/**
 * `npm run bench -- home_slopes`: measures memory, CPU and messages of one
 * shard home by its number of engines, for the capacity documentation.
 */

import {createSeededRandom} from '../src/core/seeded_random.js';
import {createVirtualClock} from '../src/core/virtual_clock.js';
import type {Grant, GrantRequest} from '../src/ports/grants.js';
import {createDispatcher} from '../src/scheduling/dispatcher.js';

const GB = 1_000_000_000;
const KB = 1_024;
const SLOTS = 20;
const STEP_MS = 10;
const RUN_MS = 20_000;
const DECODE_MS = 15_000;
const RENEW_INTERVAL_MS = 2_000;
const PREFIX_BLOCKS = 60;
const NS_PER_MS = 1e6;

interface Row {
  readonly engines: number;
  readonly ratePerSecond: number;
}

/** 27,000 requests/s over 12,000 engines are 2.25 per engine and second. */
const RATE_PER_ENGINE = 2.25;

const ROWS: readonly Row[] = [5, 10, 20, 40, 80].map(engines => ({
  engines,
  ratePerSecond: engines * RATE_PER_ENGINE,
}));

function measure(row: Row): string {
  globalThis.gc?.();
  const heapBefore = process.memoryUsage().heapUsed;
  const clock = createVirtualClock();
  const random = createSeededRandom(5);
  const dispatcher = createDispatcher(
    {clock, random},
    {
      shardId: 's',
      homeEpoch: 1,
      service: 'service',
      targets: {ttftMs: 2_000, tokenIntervalMs: 60, waitMs: 60_000},
      wasteWeight: 0.5,
      maxQueued: 2_000,
      initialEstimates: {kvBytesPerToken: 160_000, prefillMsPerToken: 0.02},
    },
  );
  dispatcher.setEngines(
    Array.from({length: row.engines}, (_, i) => ({
      engineId: `engine-${i}`,
      address: `10.0.0.${i}:80`,
      role: i % 4 === 0 ? ('prefill' as const) : ('decode' as const),
      failureDomain: `domain-${i % 4}`,
      models: [],
      slots: SLOTS * 3,
      kvBytes: 60 * GB,
      linkBytesPerMs: 12_500_000,
    })),
  );
  let messages = 0;
  let grants = 0;
  let refusals = 0;
  let count = 0;

  function request(): GrantRequest {
    count++;
    const prefix = random.nextInt(200);
    return {
      owner: {entry: 'e#1', requestId: `r${count}`, attemptId: `a${count}`},
      service: 'service',
      account: `account-${random.nextInt(100)}`,
      requestClass: 'interactive',
      promptTokenCount: 100 + random.nextInt(5_000),
      maxTokens: 512,
      prefixHashes: Array.from(
        {length: PREFIX_BLOCKS},
        (_, i) => `${prefix}-${i}`,
      ),
      ttftLeftMs: 2_000,
      waitLeftMs: 60_000,
      resumeOffset: 0,
    };
  }

  function reportProgress(grant: Grant): void {
    grants++;
    const send = (
      delayMs: number,
      progress: Parameters<typeof dispatcher.report>[1],
    ) =>
      clock.setTimer(delayMs, () => {
        messages++;
        dispatcher.report(grant.grantId, progress);
      });
    send(2, {kind: 'prefill-started'});
    send(80, {kind: 'prefill-done', kvSizeBytes: GB / 2, cachedTokens: 0});
    send(140, {kind: 'decode-started'});
    for (let ms = RENEW_INTERVAL_MS; ms < DECODE_MS; ms += RENEW_INTERVAL_MS) {
      send(140 + ms, {kind: 'renew', tokensDelivered: ms / 50});
    }
    send(140 + DECODE_MS, {
      kind: 'ended',
      result: 'whole',
      tokensDelivered: DECODE_MS / 50,
      prefillWasted: false,
    });
  }

  const perStep = (row.ratePerSecond * STEP_MS) / 1_000;
  let dueRequests = 0;
  const from = process.hrtime.bigint();
  for (let ms = 0; ms < RUN_MS; ms += STEP_MS) {
    for (dueRequests += perStep; dueRequests >= 1; dueRequests--) {
      messages += 2;
      dispatcher.ask(request(), outcome => {
        if (outcome.kind === 'granted') reportProgress(outcome);
        else refusals++;
      });
    }
    clock.advanceSync(STEP_MS);
  }
  const cpuMs = Number(process.hrtime.bigint() - from) / NS_PER_MS;
  globalThis.gc?.();
  const heapKb = (process.memoryUsage().heapUsed - heapBefore) / KB;
  const summaryBytes = JSON.stringify(dispatcher.summary()).length;
  dispatcher.stop();
  return (
    `${row.engines}`.padEnd(9) +
    row.ratePerSecond.toFixed(0).padStart(8) +
    ((100 * cpuMs) / RUN_MS).toFixed(2).padStart(12) +
    heapKb.toFixed(0).padStart(10) +
    ((messages * 1_000) / RUN_MS).toFixed(0).padStart(12) +
    `${grants}`.padStart(9) +
    `${refusals}`.padStart(9) +
    `${summaryBytes}`.padStart(10)
  );
}

export async function run(): Promise<void> {
  console.log(
    'engines  req/s   % of a core   heap KB  messages/s   grants  refused  summary B',
  );
  measure(ROWS[0]);
  for (const row of ROWS) console.log(measure(row));
}
