/**
 * `npm run fuzz -- --runs 100000 --seed 1`: runs seeded random schedules of up
 * to three overlapping faults. Each seed determines one schedule.
 */

import {parseArgs} from 'node:util';
import {
  isMainThread,
  parentPort,
  Worker,
  workerData,
} from 'node:worker_threads';
import {describeRun, makeSchedule, runSchedule} from './support/fault_run.js';

const REPORT_EVERY = 250;
const PROGRESS_EVERY = 10_000;
const MAX_PRINTED_FAILURES = 5;

/** Every `stride`th seed from `firstSeed` on. */
interface SeedRange {
  readonly firstSeed: number;
  readonly runs: number;
  readonly stride: number;
  readonly hasTraces: boolean;
  readonly hasRealHome: boolean;
}

interface Report {
  readonly runs: number;
  readonly sends: number;
  /** Traces of the schedules that violated a guarantee. */
  readonly failures: readonly string[];
  readonly traces: readonly string[];
  /** Number of calls by the outcome that the caller received. */
  readonly outcomeCounts: ReadonlyMap<string, number>;
}

async function runSeedRange(
  range: SeedRange,
  report: (report: Report) => void,
): Promise<void> {
  const site = {name: 'none', hasRealHome: range.hasRealHome};
  let runs = 0;
  let sends = 0;
  let failures: string[] = [];
  let traces: string[] = [];
  let outcomeCounts = new Map<string, number>();

  function flush(): void {
    report({runs, sends, failures, traces, outcomeCounts});
    runs = 0;
    sends = 0;
    failures = [];
    traces = [];
    outcomeCounts = new Map();
  }

  for (let i = 0; i < range.runs; i++) {
    const schedule = makeSchedule(range.firstSeed + i * range.stride);
    const result = await runSchedule(schedule, site);
    runs++;
    sends += result.records.length;
    for (const {outcomes} of result.records) {
      const [outcome] = outcomes;
      const name =
        outcome?.kind === 'failed'
          ? outcome.error.kind
          : (outcome?.kind ?? 'nothing (hung up or entry died)');
      outcomeCounts.set(name, (outcomeCounts.get(name) ?? 0) + 1);
    }
    if (result.violations.length > 0) {
      failures.push(describeRun(schedule, result));
    } else if (range.hasTraces) traces.push(describeRun(schedule, result));
    if (runs === REPORT_EVERY) flush();
  }
  flush();
}

async function main(): Promise<void> {
  const {values} = parseArgs({
    options: {
      runs: {type: 'string', default: '1000'},
      seed: {type: 'string', default: '1'},
      workers: {type: 'string', default: '2'},
      trace: {type: 'boolean', default: false},
      home: {type: 'string', default: 'small'},
    },
  });
  const runs = Number(values.runs);
  const firstSeed = Number(values.seed);
  const workers = Math.min(runs, Number(values.workers));
  const outcomeCounts = new Map<string, number>();
  let finishedRuns = 0;
  let sends = 0;
  let failed = 0;

  function onReport(report: Report): void {
    const before = Math.floor(finishedRuns / PROGRESS_EVERY);
    finishedRuns += report.runs;
    sends += report.sends;
    for (const [name, count] of report.outcomeCounts) {
      outcomeCounts.set(name, (outcomeCounts.get(name) ?? 0) + count);
    }
    for (const trace of report.failures) {
      if (++failed <= MAX_PRINTED_FAILURES) console.log(trace);
    }
    report.traces.forEach(trace => console.log(trace));
    if (Math.floor(finishedRuns / PROGRESS_EVERY) > before)
      console.log(`${finishedRuns} runs`);
  }

  const startedAtMs = performance.now();
  await Promise.all(
    Array.from({length: workers}, (_, i) => {
      const range: SeedRange = {
        firstSeed: firstSeed + i,
        runs: Math.ceil((runs - i) / workers),
        stride: workers,
        hasTraces: values.trace,
        hasRealHome: values.home === 'real',
      };
      const worker = new Worker(new URL(import.meta.url), {workerData: range});
      worker.on('message', onReport);
      return new Promise((resolve, reject) => {
        worker.on('exit', resolve);
        worker.on('error', reject);
      });
    }),
  );
  const seconds = ((performance.now() - startedAtMs) / 1_000).toFixed(0);
  console.log([...outcomeCounts].map(([name, n]) => `${name} ${n}`).join(', '));
  console.log(
    `${finishedRuns} schedules from seed ${firstSeed}, ${sends} sends, ` +
      `${failed} with violations, ${seconds} s`,
  );
  process.exit(failed > 0 ? 1 : 0);
}

if (isMainThread) await main();
else {
  await runSeedRange(workerData as SeedRange, report =>
    parentPort!.postMessage(report),
  );
}
