/**
 * `npm run bench -- decision`: measures the real time that a shard home
 * needs for one decision, with 20 engines and 1,000 waiting requests, and with
 * up to ten times as many.
 */

import {build, type Histogram} from 'hdr-histogram-js';
import {createSeededRandom} from '../src/core/seeded_random.js';
import {createVirtualClock} from '../src/core/virtual_clock.js';
import type {EngineDescription} from '../src/core/scheduling/engine_reservations.js';
import type {Grant, GrantRefusal, GrantRequest} from '../src/ports/grants.js';
import {createDispatcher} from '../src/scheduling/dispatcher.js';

/** Virtual time between two requests. */
const STEP_MS = 20;
const GB = 1_000_000_000;
const SLOTS = 20;
const WARM_UP = 3_000;
const ROUNDS = 20_000;
const PREFIX_BLOCKS = 30;
const NS_PER_US = 1_000;

interface Size {
  readonly engines: number;
  readonly waiting: number;
}

const SIZES: readonly Size[] = [
  {engines: 20, waiting: 0},
  {engines: 20, waiting: 1_000},
  {engines: 20, waiting: 10_000},
  {engines: 200, waiting: 1_000},
  {engines: 200, waiting: 10_000},
];

function createEngines(count: number): EngineDescription[] {
  return Array.from({length: count}, (_, i) => ({
    engineId: `engine-${i}`,
    address: `10.0.0.${i}:80`,
    role: i % 4 === 0 ? ('prefill' as const) : ('decode' as const),
    failureDomain: `domain-${i % 4}`,
    models: [],
    slots: SLOTS,
    kvBytes: 20 * GB,
    linkBytesPerMs: 12_500_000,
  }));
}

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 1_000_000_000,
    numberOfSignificantValueDigits: 3,
    useWebAssembly: false,
  });
}

interface Costs {
  readonly ask: Histogram;
  /** Ends of answers that led to a grant for a waiting request. */
  readonly end: Histogram;
  /** Timers that fired between two requests, including periodic sweeps. */
  readonly timers: Histogram;
  readonly grantsAtEnd: number;
}

function measure(size: Size): Costs {
  const clock = createVirtualClock();
  const random = createSeededRandom(11);
  const dispatcher = createDispatcher(
    {clock, random},
    {
      shardId: 's',
      homeEpoch: 1,
      service: 'service',
      targets: {ttftMs: 1e9, tokenIntervalMs: 60, waitMs: 1e9},
      wasteWeight: 1,
      maxQueued: size.waiting + 10_000,
      initialEstimates: {kvBytesPerToken: 160_000},
    },
  );
  dispatcher.setEngines(createEngines(size.engines));
  const running: Grant[] = [];
  let count = 0;

  function onOutcome(outcome: Grant | GrantRefusal): void {
    if (outcome.kind === 'granted') running.push(outcome);
    else if (outcome.reason !== 'home-moved') throw new Error(outcome.reason);
  }

  function nextRequest(): GrantRequest {
    count++;
    const promptTokenCount = 100 + random.nextInt(4_000);
    const prefix = random.nextInt(50);
    return {
      owner: {entry: 'e#1', requestId: `r${count}`, attemptId: `a${count}`},
      service: 'service',
      account: `account-${random.nextInt(20)}`,
      requestClass: 'interactive',
      promptTokenCount,
      maxTokens: 512,
      prefixHashes: Array.from(
        {length: PREFIX_BLOCKS},
        (_, i) => `${prefix}-${i}`,
      ),
      ttftLeftMs: 1e8 + random.nextInt(60_000),
      waitLeftMs: 1e9,
      resumeOffset: 0,
    };
  }

  let advancedCount = 0;
  /** Moves new grants to their decode phase; this is not timed. */
  function advanceNewGrants(): void {
    while (advancedCount < running.length) {
      const {grantId} = running[advancedCount++];
      dispatcher.report(grantId, {
        kind: 'prefill-done',
        kvSizeBytes: 300_000_000,
        cachedTokens: 0,
      });
      dispatcher.report(grantId, {kind: 'decode-started'});
    }
  }

  const capacity = size.engines * SLOTS;
  for (let i = 0; i < capacity + size.waiting; i++) {
    dispatcher.ask(nextRequest(), onOutcome);
    advanceNewGrants();
    if (i % 10 === 0) clock.advanceSync(20);
  }
  for (let i = 0; i < 50; i++) {
    clock.advanceSync(50);
    advanceNewGrants();
  }

  const ask = createHistogram();
  const end = createHistogram();
  const timers = createHistogram();
  let grantsAtEnd = 0;
  for (let i = 0; i < WARM_UP + ROUNDS; i++) {
    const index = random.nextInt(advancedCount);
    const [ended] = running.splice(index, 1);
    advancedCount--;
    const endFrom = process.hrtime.bigint();
    dispatcher.report(ended.grantId, {
      kind: 'ended',
      result: 'whole',
      tokensDelivered: 200 + random.nextInt(200),
      prefillWasted: false,
    });
    const endNs = Number(process.hrtime.bigint() - endFrom);
    const hasNewGrant = running.length > advancedCount;
    if (hasNewGrant) grantsAtEnd++;
    advanceNewGrants();
    const request = nextRequest();
    const askFrom = process.hrtime.bigint();
    dispatcher.ask(request, onOutcome);
    const askNs = Number(process.hrtime.bigint() - askFrom);
    advanceNewGrants();
    if (i >= WARM_UP) {
      ask.recordValue(askNs);
      if (hasNewGrant) end.recordValue(endNs);
    }
    const timersFrom = process.hrtime.bigint();
    clock.advanceSync(STEP_MS);
    const timersNs = Number(process.hrtime.bigint() - timersFrom);
    if (i >= WARM_UP) timers.recordValue(Math.max(1, timersNs));
    advanceNewGrants();
  }
  dispatcher.stop();
  return {ask, end, timers, grantsAtEnd: grantsAtEnd / (WARM_UP + ROUNDS)};
}

function format(histogram: Histogram): string {
  return [50, 95, 99]
    .map(each =>
      (histogram.getValueAtPercentile(each) / NS_PER_US).toFixed(1).padStart(8),
    )
    .join('');
}

/** @param args Indices of the sizes to run; all if empty. */
export async function run(args: readonly string[]): Promise<void> {
  const wanted =
    args.length > 0 ? args.map(each => SIZES[Number(each)]) : SIZES;
  console.log('Microseconds: p50, p95, p99; and the mean a request in all.');
  console.log(
    'engines  waiting              ask               ' +
      'end and grant             timers    mean  grants at an end',
  );
  for (const size of wanted) {
    const {ask, end, timers, grantsAtEnd} = measure(size);
    const mean = (ask.mean + end.mean + timers.mean) / NS_PER_US;
    console.log(
      `${size.engines}`.padEnd(9) +
        `${size.waiting}`.padEnd(10) +
        [ask, end, timers].map(format).join(' |') +
        mean.toFixed(1).padStart(8) +
        grantsAtEnd.toFixed(2).padStart(8),
    );
  }
}
