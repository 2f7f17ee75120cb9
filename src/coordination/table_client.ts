/**
 * Client of the platform's table, with a rate budget, a circuit breaker,
 * retries with jitter, and read-back of writes whose answer was lost.
 *
 * A write ends as `applied`, `rejected`, `refused` or `unknown`. An `unknown`
 * write may still be applied later, so its absence in a read does not show
 * that it failed; see `transactSettled`.
 */

import type {Clock} from '../ports/clock.js';
import type {Random} from '../ports/random.js';
import type {
  ReadOutcome,
  TablePort,
  TableRow,
  TableTransaction,
  WriteOutcome,
} from '../ports/table.js';
import {createCircuit, type CircuitState} from './circuit.js';
import {createRateBudget, type TablePriority} from './table_budget.js';

export interface TableClientHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly table: TablePort;
}

export interface TableClientOptions {
  /** Number of hosts that share the fleet's budget, at least 1. */
  hostCount(): number;
  /**
   * This host's share of the write budget, from 0 to 1; an even share by
   * default. A host that owns journal partitions has a larger share.
   */
  writeShare?(): number;
  /** Writes a second for the whole fleet. */
  readonly fleetWritesPerSecond: number;
  /** Reads and scans a second for the whole fleet. */
  readonly fleetReadsPerSecond: number;
  /** Timeout of one call to the table. */
  readonly callTimeoutMs: number;
}

/** Priority of a call, and its time limit including all retries. */
export interface TableUse {
  readonly priority: TablePriority;
  readonly timeoutMs: number;
}

/** Outcome of a write as determined by reading its rows. */
export type ReadBackVerdict =
  /** Its effect is in the table. */
  | 'applied'
  /** It was not applied, and its conditions can never hold again. */
  | 'not-applied'
  /** It may still be applied. */
  | 'undecided';

/** Determines the outcome of an unknown write from its rows. */
export interface ReadBack {
  readonly keys: readonly string[];
  judge(rows: ReadonlyMap<string, TableRow>): ReadBackVerdict;
}

export interface TableClientState {
  readonly circuit: CircuitState;
  readonly reads: number;
  readonly writes: number;
  readonly unknownWrites: number;
  readonly budgetRefusals: number;
}

export interface TableClient {
  read(
    keys: readonly string[],
    use: TableUse,
  ): Promise<ReadOutcome<readonly TableRow[]>>;
  scan(
    prefix: string,
    options: {readonly afterKey?: string; readonly limit: number},
    use: TableUse,
  ): Promise<ReadOutcome<readonly TableRow[]>>;
  /** Retries refused writes until the timeout; returns `unknown` at once. */
  transact(transaction: TableTransaction, use: TableUse): Promise<WriteOutcome>;
  /**
   * Like `transact`, but resolves an unknown write by read-back and sends it
   * again while undecided. The transaction's conditions must fail once it has
   * been applied, for example a version or an absent row that it writes itself.
   */
  transactSettled(
    transaction: TableTransaction,
    readBack: ReadBack,
    use: TableUse,
  ): Promise<WriteOutcome>;
  /** Reads back an unknown write once; `undecided` if the read fails. */
  resolveUnknown(readBack: ReadBack, use: TableUse): Promise<ReadBackVerdict>;
  state(): TableClientState;
}

const FAILURE_LIMIT = 3;
const MIN_OPEN_MS = 500;
const MAX_OPEN_MS = 5_000;
const MIN_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 2_000;
const BURST_SECONDS = 4;
const MIN_WRITE_BURST = 8;
const MIN_READ_BURST = 16;

export function toRowMap(
  rows: readonly TableRow[],
): ReadonlyMap<string, TableRow> {
  return new Map(rows.map(row => [row.key, row]));
}

export function createTableClient(
  host: TableClientHost,
  options: TableClientOptions,
): TableClient {
  const {clock, random, table} = host;
  const getEvenShare = () => 1 / Math.max(1, options.hostCount());
  const getWriteShare = options.writeShare ?? getEvenShare;
  const writeBudget = createRateBudget(clock, {
    ratePerSecond: () => options.fleetWritesPerSecond * getWriteShare(),
    burstSeconds: BURST_SECONDS,
    minBurst: MIN_WRITE_BURST,
  });
  const readBudget = createRateBudget(clock, {
    ratePerSecond: () => options.fleetReadsPerSecond * getEvenShare(),
    burstSeconds: BURST_SECONDS,
    minBurst: MIN_READ_BURST,
  });
  const circuit = createCircuit(clock, random, {
    failureLimit: FAILURE_LIMIT,
    minOpenMs: MIN_OPEN_MS,
    maxOpenMs: MAX_OPEN_MS,
  });
  const counts = {reads: 0, writes: 0, unknownWrites: 0, budgetRefusals: 0};

  const wait = (delayMs: number) =>
    new Promise<void>(resolve => {
      clock.setTimer(delayMs, resolve);
    });

  function getBackoffMs(attempt: number): number {
    const ceilingMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** attempt);
    return ceilingMs * (0.5 + random.nextFloat() / 2);
  }

  function getCallTimeoutMs(deadlineMs: number): number {
    return Math.max(
      1,
      Math.min(options.callTimeoutMs, deadlineMs - clock.nowMs()),
    );
  }

  async function readOnce<T>(
    use: TableUse,
    deadlineMs: number,
    call: (timeoutMs: number) => Promise<ReadOutcome<T>>,
  ): Promise<{outcome: ReadOutcome<T>; retryAfterMs: number}> {
    const circuitWaitMs = circuit.admit();
    if (circuitWaitMs > 0) {
      const reason = 'The platform is not answering.';
      return {outcome: {kind: 'failed', reason}, retryAfterMs: circuitWaitMs};
    }
    const budgetWaitMs = readBudget.take(use.priority);
    if (budgetWaitMs > 0) {
      // Otherwise the circuit would wait several seconds for the result of a
      // probe that was never sent.
      circuit.cancelled();
      counts.budgetRefusals++;
      const reason = 'The read budget of this host is used up.';
      return {outcome: {kind: 'failed', reason}, retryAfterMs: budgetWaitMs};
    }
    counts.reads++;
    const outcome = await call(getCallTimeoutMs(deadlineMs));
    if (outcome.kind === 'read') circuit.succeeded();
    else circuit.failed();
    return {outcome, retryAfterMs: 0};
  }

  async function readWithRetries<T>(
    use: TableUse,
    call: (timeoutMs: number) => Promise<ReadOutcome<T>>,
  ): Promise<ReadOutcome<T>> {
    const deadlineMs = clock.nowMs() + use.timeoutMs;
    for (let attempt = 0; ; attempt++) {
      const {outcome, retryAfterMs} = await readOnce(use, deadlineMs, call);
      if (outcome.kind === 'read') return outcome;
      const delayMs = Math.max(retryAfterMs, getBackoffMs(attempt));
      if (clock.nowMs() + delayMs >= deadlineMs) return outcome;
      await wait(delayMs);
    }
  }

  async function writeOnce(
    transaction: TableTransaction,
    use: TableUse,
    deadlineMs: number,
  ): Promise<WriteOutcome> {
    const circuitWaitMs = circuit.admit();
    if (circuitWaitMs > 0) {
      return {
        kind: 'refused',
        reason: 'unavailable',
        retryAfterMs: circuitWaitMs,
      };
    }
    const budgetWaitMs = writeBudget.take(use.priority);
    if (budgetWaitMs > 0) {
      // Otherwise the circuit would wait several seconds for the result of a
      // probe that was never sent.
      circuit.cancelled();
      counts.budgetRefusals++;
      return {kind: 'refused', reason: 'budget', retryAfterMs: budgetWaitMs};
    }
    counts.writes++;
    const outcome = await table.transact(
      transaction,
      getCallTimeoutMs(deadlineMs),
    );
    recordWrite(outcome);
    return outcome;
  }

  function recordWrite(outcome: WriteOutcome): void {
    if (outcome.kind === 'unknown') counts.unknownWrites++;
    const isFailure =
      outcome.kind === 'unknown' ||
      (outcome.kind === 'refused' && outcome.reason === 'unavailable');
    if (isFailure) circuit.failed();
    else circuit.succeeded();
  }

  async function transactUntil(
    transaction: TableTransaction,
    use: TableUse,
    deadlineMs: number,
  ): Promise<WriteOutcome> {
    for (let attempt = 0; ; attempt++) {
      const outcome = await writeOnce(transaction, use, deadlineMs);
      if (outcome.kind !== 'refused') return outcome;
      const delayMs = Math.max(outcome.retryAfterMs, getBackoffMs(attempt));
      if (clock.nowMs() + delayMs >= deadlineMs) return outcome;
      await wait(delayMs);
    }
  }

  async function resolveUnknown(
    readBack: ReadBack,
    use: TableUse,
  ): Promise<ReadBackVerdict> {
    const outcome = await readWithRetries(use, timeoutMs =>
      table.read(readBack.keys, timeoutMs),
    );
    if (outcome.kind === 'failed') return 'undecided';
    return readBack.judge(toRowMap(outcome.value));
  }

  return {
    read: (keys, use) =>
      readWithRetries(use, timeoutMs => table.read(keys, timeoutMs)),
    scan: (prefix, scanOptions, use) =>
      readWithRetries(use, timeoutMs =>
        table.scan(prefix, scanOptions, timeoutMs),
      ),
    transact: (transaction, use) =>
      transactUntil(transaction, use, clock.nowMs() + use.timeoutMs),
    resolveUnknown,
    async transactSettled(transaction, readBack, use) {
      const deadlineMs = clock.nowMs() + use.timeoutMs;
      let outcome = await transactUntil(transaction, use, deadlineMs);
      if (outcome.kind !== 'unknown') return outcome;
      const unknown = outcome;
      for (let attempt = 0; clock.nowMs() < deadlineMs; attempt++) {
        await wait(getBackoffMs(attempt));
        const leftMs = deadlineMs - clock.nowMs();
        if (leftMs <= 0) break;
        const verdict = await resolveUnknown(readBack, {
          ...use,
          timeoutMs: leftMs,
        });
        if (verdict === 'applied') return {kind: 'applied'};
        if (verdict === 'not-applied') {
          return {kind: 'rejected', failedKeys: readBack.keys};
        }
        if (clock.nowMs() >= deadlineMs) break;
        outcome = await transactUntil(transaction, use, deadlineMs);
        if (outcome.kind === 'applied') return outcome;
        // Any other outcome does not resolve the first send: it may have been
        // applied and caused this rejection. Only the read-back shows that.
      }
      return unknown;
    },
    state: () => ({circuit: circuit.state(), ...counts}),
  };
}
