/**
 * A lease that is acquired for one task and not renewed. It suits a host that
 * sends a few orders occasionally, where continuous renewals would need many
 * more table calls than the task itself. Its rules and row are those of a
 * renewed lease.
 */

import type {Clock} from '../ports/clock.js';
import type {Logger} from '../ports/log.js';
import type {Random} from '../ports/random.js';
import type {TablePort, TableRow, TableTransaction} from '../ports/table.js';
import {
  buildTake,
  createFence,
  getLeaseKey,
  getNextEpoch,
  getTakeableAtMs,
  observe,
  parseLeaseRow,
  type Fence,
  type LeaseObservation,
  type LeaseTiming,
} from './lease_rules.js';

export interface ShortLeaseHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly table: TablePort;
  readonly log: Logger;
}

export interface ShortLeaseOptions extends LeaseTiming {
  readonly hostId: string;
  readonly name: string;
  /** Part of the lease duration during which the holder may act. */
  readonly useMs: number;
  /**
   * How long after `useMs` an order of the last holder may still arrive.
   * Another host waits a further `leaseMs`, so that orders of two holders are
   * always at least one lease duration apart.
   */
  readonly settleMs: number;
  readonly callTimeoutMs: number;
}

export interface ShortTerm {
  readonly fence: Fence;
  /** Latest time at which the fence may be used. */
  readonly untilMs: number;
  readonly attemptId: string;
  /** The table's clock when the term began, if the table reports it. */
  readonly tableSinceMs?: number;
  readonly tableEra: number;
}

/** Whether a holder may act now, or the reason why not. */
export type TermCheck =
  'valid' | 'expired' | 'lost' | 'suspended' | 'unconfirmed';

export interface ShortLease {
  /** Returns undefined if another host holds it or the table is unavailable. */
  acquire(): Promise<ShortTerm | undefined>;
  /**
   * Checks the term right before an action. The monotonic clock stops while
   * the host is suspended, so the term is measured by the table's clock. The
   * wall clock keeps running during a suspension, so it is compared with the
   * monotonic clock to detect one while the answer is pending. A step of the
   * wall clock in those few milliseconds looks the same and costs one attempt;
   * at any other time it has no effect.
   */
  confirm(term: ShortTerm): Promise<TermCheck>;
}

/** Largest wall clock drift during a table call not taken as a suspension. */
const MAX_CLOCK_DIFFERENCE_MS = 150;

export function createShortLease(
  host: ShortLeaseHost,
  options: ShortLeaseOptions,
): ShortLease {
  const {clock, random, table, log} = host;
  const {hostId, name, callTimeoutMs} = options;
  const key = getLeaseKey(name);
  let observation: LeaseObservation | undefined;
  let knownEra = -1;
  /** No row of the known era may be acquired before this time. */
  let eraTakeableAtMs = Number.NEGATIVE_INFINITY;
  /** How long after the start of a term a holder's order may still arrive. */
  const orderArrivalEndMs = options.useMs + options.settleMs;

  /**
   * Prevents two holders after the table was restored from an older copy. The
   * copy may not contain the current holder, and a host that has just started
   * cannot know when the restore happened.
   */
  function updateEra(era: number): void {
    if (era <= knownEra) return;
    knownEra = era;
    observation = undefined;
    if (era > 0)
      eraTakeableAtMs = clock.nowMs() + options.leaseMs + orderArrivalEndMs;
  }

  function isTakeable(row: TableRow): boolean {
    const nowMs = clock.nowMs();
    const record = parseLeaseRow(row);
    observation = observe(observation, row.version, nowMs);
    if (record.holder === hostId) return true;
    const atMs = getTakeableAtMs(record, observation, hostId, options);
    // Orders of the last holder may still arrive after a release, so a
    // released lease is treated like one that has to expire.
    const lapsedAtMs =
      observation.firstSeenMs + options.leaseMs + orderArrivalEndMs;
    return nowMs >= Math.max(atMs, lapsedAtMs);
  }

  interface Readback {
    readonly isOurs: boolean;
    readonly tableNowMs?: number;
    readonly tableEra: number;
  }

  async function readRow() {
    const read = await table.read([key], callTimeoutMs);
    if (read.kind !== 'read') return undefined;
    const {tableNowMs, tableEra = 0} = read;
    updateEra(tableEra);
    return {row: read.value.at(0), tableNowMs, tableEra};
  }

  /** Reads whether the current row was written by this attempt. */
  async function readBack(attemptId: string): Promise<Readback | undefined> {
    const read = await readRow();
    if (!read) return undefined;
    const {row, tableNowMs, tableEra} = read;
    const isOurs = !!row && parseLeaseRow(row).attemptId === attemptId;
    return {isOurs, tableNowMs, tableEra};
  }

  async function write(
    transaction: TableTransaction,
    attemptId: string,
  ): Promise<Readback> {
    const outcome = await table.transact(transaction, callTimeoutMs);
    if (outcome.kind === 'applied') {
      const {tableNowMs, tableEra = 0} = outcome;
      updateEra(tableEra);
      return {isOurs: true, tableNowMs, tableEra};
    }
    const readback =
      outcome.kind === 'unknown' ? await readBack(attemptId) : undefined;
    return readback ?? {isOurs: false, tableEra: knownEra};
  }

  return {
    async acquire() {
      const read = await readRow();
      if (!read) return undefined;
      const {row, tableEra} = read;
      if (clock.nowMs() < eraTakeableAtMs) return undefined;
      if (row && !isTakeable(row)) return undefined;
      const attemptId = random.nextId();
      const transaction = buildTake(
        name,
        row,
        hostId,
        attemptId,
        clock.wallMs(),
        tableEra,
      );
      // The row may have been written as early as the send.
      const sentAtMs = clock.nowMs();
      const written = await write(transaction, attemptId);
      // A restored table may reuse a version, so the write may have matched a
      // different row.
      if (!written.isOurs || written.tableEra !== tableEra) return undefined;
      const epoch = getNextEpoch(row, tableEra);
      const untilMs = sentAtMs + options.useMs;
      log.info('Lease taken.', {lease: name, epoch});
      return {
        fence: createFence(name, epoch),
        untilMs,
        attemptId,
        // The row may have been written as early as the first read.
        tableSinceMs: read.tableNowMs ?? written.tableNowMs,
        tableEra,
      };
    },
    async confirm(term) {
      const wallMs = clock.wallMs();
      const sentAtMs = clock.nowMs();
      const readback = await readBack(term.attemptId);
      if (!readback) return 'unconfirmed';
      const isSameEra = readback.tableEra === term.tableEra;
      if (!readback.isOurs || !isSameEra) return 'lost';
      const {tableNowMs} = readback;
      if (tableNowMs !== undefined && term.tableSinceMs !== undefined) {
        const heldMs = tableNowMs - term.tableSinceMs;
        if (heldMs > options.useMs) return 'expired';
      }
      const nowMs = clock.nowMs();
      const clockDifferenceMs = clock.wallMs() - wallMs - (nowMs - sentAtMs);
      if (Math.abs(clockDifferenceMs) > MAX_CLOCK_DIFFERENCE_MS)
        return 'suspended';
      return nowMs > term.untilMs ? 'expired' : 'valid';
    },
  };
}
