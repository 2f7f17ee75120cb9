/**
 * Stand-in for a plain service such as a ledger or a booking service. It counts
 * its runs by request and by Idempotency-Key, and does no deduplication: a call
 * that arrives twice runs twice.
 */

import type {Clock} from '../src/ports/clock.js';
import type {
  PlainAnswer,
  PlainCall,
  PlainFailure,
  PlainServicePort,
} from '../src/ports/plain_service.js';
import type {Random} from '../src/ports/random.js';
import {
  createFaultGate,
  type FaultGate,
  type GateFailure,
} from './fault_gate.js';

export interface ServiceHost {
  readonly clock: Clock;
  readonly random: Random;
}

export interface ServiceOptions {
  readonly serviceId: string;
  /** Time to run one call. */
  readonly runMs: number;
  /** One-way latency of in-process calls. */
  readonly latencyMs: number;
  /** A call whose body contains one of these crashes the service. */
  readonly crashOnTexts: readonly string[];
  /** Time until a crashed service restarts; 0 leaves it down. */
  readonly restartMs: number;
}

export const defaultServiceOptions: ServiceOptions = {
  serviceId: 'service',
  runMs: 5,
  latencyMs: 0,
  crashOnTexts: [],
  restartMs: 0,
};

export interface ServiceFaults {
  readonly slowFactor: number;
  /** Each answer is delayed by a random time up to this. */
  readonly answerDelayMs: number;
  /** Share of calls that run but whose answer is lost. */
  readonly answerLostShare: number;
}

/** A call that ran. */
export interface ServiceRun {
  readonly idempotencyKey: string | undefined;
  readonly requestId: string;
  readonly attemptId: string;
  readonly method: string;
  readonly path: string;
  readonly atMs: number;
}

export interface ServiceStats {
  readonly serviceId: string;
  readonly isUp: boolean;
  readonly runCount: number;
  readonly runs: readonly ServiceRun[];
  /** Number of runs for each Idempotency-Key. */
  readonly runsByKey: Readonly<Record<string, number>>;
  readonly runsByRequest: Readonly<Record<string, number>>;
  readonly crashes: number;
  /** For each refused call, the time since the service began to leave. */
  readonly workAfterLeavingMs: readonly number[];
}

export interface ServiceCore extends PlainServicePort {
  readonly options: ServiceOptions;
  readonly gate: FaultGate;
  setLeaving(isLeaving: boolean): void;
  setFaults(patch: Partial<ServiceFaults>): void;
  crash(): void;
  restart(): void;
  stats(): ServiceStats;
}

const LEAVING_STATUS = 503;
const NEVER = new Promise<never>(() => {});

const failureOf: Readonly<Record<GateFailure, PlainFailure>> = {
  unreachable: {
    kind: 'failed',
    mayHaveRun: false,
    reason: 'unreachable',
    detail: 'no connection',
  },
  broken: {
    kind: 'failed',
    mayHaveRun: true,
    reason: 'broken',
    detail: 'the connection broke',
  },
  timeout: {
    kind: 'failed',
    mayHaveRun: true,
    reason: 'timeout',
    detail: 'no answer in time',
  },
};

const cancelled: PlainFailure = {
  kind: 'failed',
  mayHaveRun: true,
  reason: 'cancelled',
  detail: 'cancelled by the caller',
};

function headerOf(call: PlainCall, name: string): string | undefined {
  const found = Object.entries(call.headers).find(
    ([key]) => key.toLowerCase() === name,
  );
  return found?.[1];
}

function countBy(
  runs: readonly ServiceRun[],
  keyOf: (run: ServiceRun) => string | undefined,
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const run of runs) {
    const key = keyOf(run);
    if (key !== undefined) counts[key] = (counts[key] ?? 0) + 1;
  }
  return counts;
}

export function createServiceCore(
  host: ServiceHost,
  patch: Partial<ServiceOptions> = {},
): ServiceCore {
  const options: ServiceOptions = {...defaultServiceOptions, ...patch};
  const {clock, random} = host;
  const gate = createFaultGate(host, options);
  const runs: ServiceRun[] = [];
  const workAfterLeavingMs: number[] = [];
  let faults: ServiceFaults = {
    slowFactor: 1,
    answerDelayMs: 0,
    answerLostShare: 0,
  };
  let leavingSinceMs: number | undefined;
  let crashes = 0;
  let epoch = 0;

  function crash(): void {
    if (!gate.isUp()) return;
    crashes++;
    epoch++;
    gate.crash();
    if (options.restartMs > 0) clock.setTimer(options.restartMs, restart);
  }

  function restart(): void {
    gate.restart();
    leavingSinceMs = undefined;
  }

  function recordRun(call: PlainCall): ServiceRun {
    const run: ServiceRun = {
      idempotencyKey: headerOf(call, 'idempotency-key'),
      requestId: call.requestId,
      attemptId: call.attemptId,
      method: call.method,
      path: call.path,
      atMs: clock.nowMs(),
    };
    runs.push(run);
    return run;
  }

  function answerFor(call: PlainCall, run: ServiceRun): PlainAnswer {
    const body = JSON.stringify({
      service: options.serviceId,
      run: runs.indexOf(run) + 1,
      method: call.method,
      path: call.path,
      key: run.idempotencyKey ?? null,
      echo: new TextDecoder().decode(call.body).slice(0, 256),
    });
    return {
      kind: 'answered',
      status: 200,
      headers: {'content-type': 'application/json'},
      body: new TextEncoder().encode(body),
    };
  }

  function leavingAnswer(sinceMs: number): PlainAnswer {
    workAfterLeavingMs.push(clock.nowMs() - sinceMs);
    return {
      kind: 'answered',
      status: LEAVING_STATUS,
      headers: {'x-leaving': 'true', 'x-not-run': 'true'},
      body: new Uint8Array(),
    };
  }

  /** The effect takes place at once; the answer follows after the run time. */
  function execute(call: PlainCall): Promise<PlainAnswer> {
    if (leavingSinceMs !== undefined) {
      return Promise.resolve(leavingAnswer(leavingSinceMs));
    }
    const run = recordRun(call);
    const text = new TextDecoder().decode(call.body);
    if (options.crashOnTexts.some(marker => text.includes(marker))) {
      crash();
      return NEVER;
    }
    if (random.nextFloat() < faults.answerLostShare) return NEVER;
    const startEpoch = epoch;
    return new Promise(resolve => {
      clock.setTimer(options.runMs * faults.slowFactor, () =>
        gate.whenThawed(() => {
          if (startEpoch === epoch) resolve(answerFor(call, run));
        }),
      );
    });
  }

  return {
    options,
    gate,
    call(call, signal) {
      const answered = gate.call<PlainAnswer, PlainFailure>({
        timeoutMs: call.timeoutMs,
        isFresh: call.connectionProvenWithinMs > 0,
        failed: reason => failureOf[reason],
        run: () => execute(call),
      });
      const aborted = new Promise<PlainFailure>(resolve => {
        if (signal.aborted) resolve(cancelled);
        signal.addEventListener('abort', () => resolve(cancelled), {
          once: true,
        });
      });
      return Promise.race([answered, aborted]);
    },
    probe: timeoutMs =>
      gate.call({
        timeoutMs,
        isFresh: true,
        failed: () => false,
        run: () => true,
      }),
    setLeaving(isLeaving) {
      leavingSinceMs = isLeaving
        ? (leavingSinceMs ?? clock.nowMs())
        : undefined;
    },
    setFaults(next) {
      faults = {...faults, ...next};
      gate.delayAnswers(faults.answerDelayMs);
    },
    crash,
    restart,
    stats: () => ({
      serviceId: options.serviceId,
      isUp: gate.isUp(),
      runCount: runs.length,
      runs: [...runs],
      runsByKey: countBy(runs, run => run.idempotencyKey),
      runsByRequest: countBy(runs, run => run.requestId),
      crashes,
      workAfterLeavingMs: [...workAfterLeavingMs],
    }),
  };
}
