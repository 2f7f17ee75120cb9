/**
 * A lease taken for one piece of work and not renewed: for a host that gives a
 * few orders now and then, where renewing a lease all day would cost many
 * times the calls of the work itself. The rules and the row are those of the
 * lasting leases.
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
  /** How long the holder acts of the time that it holds the lease. */
  readonly useMs: number;
  /**
   * How long after `useMs` an act of the last holder may still arrive. Another
   * host waits for `leaseMs` beyond that, so that acts of two holders are
   * always as far apart as the lease lasts.
   */
  readonly settleMs: number;
  readonly callTimeoutMs: number;
}

export interface ShortTerm {
  readonly fence: Fence;
  /** Last moment at which to act under the fence. */
  readonly untilMs: number;
  readonly attemptId: string;
  /** The table's clock when the term began, where it tells. */
  readonly tableSinceMs?: number;
  readonly tableEra: number;
}

/** Whether a holder may act now; if not, why. */
export type TermCheck =
  'valid' | 'expired' | 'lost' | 'suspended' | 'unconfirmed';

export interface ShortLease {
  /** Undefined when it is another's, or the table does not answer. */
  acquire(): Promise<ShortTerm | undefined>;
  /**
   * Asked right before an act. The holder's steady clock stands still while
   * its host is suspended, so the term is measured by the table's clock, and
   * the time of day is watched while the answer is on its way: it goes on in
   * a suspension. A step of the time of day in those few milliseconds looks
   * the same and costs one try; at any other time it is not seen at all.
   */
  confirm(term: ShortTerm): Promise<TermCheck>;
}

/** The time of day may drift by less than this while the table answers. */
const SUSPENSION_MS = 150;

export function createShortLease(
  host: ShortLeaseHost,
  options: ShortLeaseOptions,
): ShortLease {
  const {clock, random, table, log} = host;
  const {hostId, name, callTimeoutMs} = options;
  const key = getLeaseKey(name);
  let observation: LeaseObservation | undefined;
  let knownEra = -1;
  /** No row of the known era is taken before. */
  let eraTakeableAtMs = Number.NEGATIVE_INFINITY;
  /** An act of a holder may still arrive so long after its term began. */
  const actsEndMs = options.useMs + options.settleMs;

  /**
   * Guards against two holders where the table came back from an older copy:
   * it has lost who holds the lease, and a host that has just started cannot
   * tell how long ago that was.
   */
  function noteEra(era: number): void {
    if (era <= knownEra) return;
    knownEra = era;
    observation = undefined;
    if (era > 0) eraTakeableAtMs = clock.nowMs() + options.leaseMs + actsEndMs;
  }

  function isTakeable(row: TableRow): boolean {
    const nowMs = clock.nowMs();
    const record = parseLeaseRow(row);
    observation = observe(observation, row.version, nowMs);
    if (record.holder === hostId) return true;
    const atMs = getTakeableAtMs(record, observation, hostId, options);
    // A lease that was given up is free, but its last holder's orders may
    // still arrive: it is treated like one that has to lapse.
    const lapsedAtMs = observation.firstSeenMs + options.leaseMs + actsEndMs;
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
    noteEra(tableEra);
    return {row: read.value.at(0), tableNowMs, tableEra};
  }

  /** Whether the row that is there now is the one this attempt wrote. */
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
      noteEra(tableEra);
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
      // Counted from before the write: the row may be as old as that.
      const sentAtMs = clock.nowMs();
      const written = await write(transaction, attemptId);
      // A version may be given out again, and the write fit another row.
      if (!written.isOurs || written.tableEra !== tableEra) return undefined;
      const epoch = getNextEpoch(row, tableEra);
      const untilMs = sentAtMs + options.useMs;
      log.info('Lease taken.', {lease: name, epoch});
      return {
        fence: createFence(name, epoch),
        untilMs,
        attemptId,
        // The table may have written it as early as the first read.
        tableSinceMs: read.tableNowMs ?? written.tableNowMs,
        tableEra,
      };
    },
    async confirm(term) {
      const wallMs = clock.wallMs();
      const askedAtMs = clock.nowMs();
      const readback = await readBack(term.attemptId);
      if (!readback) return 'unconfirmed';
      const isOfEra = readback.tableEra === term.tableEra;
      if (!readback.isOurs || !isOfEra) return 'lost';
      const {tableNowMs} = readback;
      if (tableNowMs !== undefined && term.tableSinceMs !== undefined) {
        const heldMs = tableNowMs - term.tableSinceMs;
        if (heldMs > options.useMs) return 'expired';
      }
      const nowMs = clock.nowMs();
      const unseenMs = clock.wallMs() - wallMs - (nowMs - askedAtMs);
      if (Math.abs(unseenMs) > SUSPENSION_MS) return 'suspended';
      return nowMs > term.untilMs ? 'expired' : 'valid';
    },
  };
}
