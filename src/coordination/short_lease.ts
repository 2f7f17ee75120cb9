/**
 * A lease taken for one piece of work and not renewed: for a host that gives a
 * few orders now and then, where renewing a lease all day would cost many
 * times the calls of the work itself. The rules and the row are those of the
 * lasting leases.
 */

import type {Clock} from '../ports/clock.js';
import type {Logger} from '../ports/log.js';
import type {Random} from '../ports/random.js';
import type {TablePort, TableRow} from '../ports/table.js';
import {
  buildTake,
  createFence,
  getLeaseKey,
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
  readonly callTimeoutMs: number;
}

export interface ShortTerm {
  readonly fence: Fence;
  /** Last moment at which to act under the fence. */
  readonly untilMs: number;
}

export interface ShortLease {
  /** Undefined when it is another's, or the table does not answer. */
  acquire(): Promise<ShortTerm | undefined>;
}

export function createShortLease(
  host: ShortLeaseHost,
  options: ShortLeaseOptions,
): ShortLease {
  const {clock, random, table, log} = host;
  const {hostId, name, callTimeoutMs} = options;
  const key = getLeaseKey(name);
  let observation: LeaseObservation | undefined;

  function isTakeable(row: TableRow): boolean {
    const nowMs = clock.nowMs();
    const record = parseLeaseRow(row);
    observation = observe(observation, row.version, nowMs);
    if (record.holder === hostId) return true;
    const atMs = getTakeableAtMs(record, observation, hostId, options);
    // A lease that was given up is free, but its last holder's orders may
    // still arrive: it is treated like one that has to lapse.
    const lapsedAtMs = observation.firstSeenMs + options.leaseMs;
    return nowMs >= Math.max(atMs, lapsedAtMs);
  }

  /** Whether the row that is there now is the one this attempt wrote. */
  async function isOurs(attemptId: string): Promise<boolean> {
    const read = await table.read([key], callTimeoutMs);
    if (read.kind !== 'read' || read.value.length === 0) return false;
    return parseLeaseRow(read.value[0]).attemptId === attemptId;
  }

  return {
    async acquire() {
      const read = await table.read([key], callTimeoutMs);
      if (read.kind !== 'read') return undefined;
      const row = read.value.at(0);
      if (row && !isTakeable(row)) return undefined;
      const attemptId = random.nextId();
      const transaction = buildTake(
        name,
        row,
        hostId,
        attemptId,
        clock.wallMs(),
      );
      // Counted from before the write: the row may be as old as that.
      const sentAtMs = clock.nowMs();
      const outcome = await table.transact(transaction, callTimeoutMs);
      const isTaken =
        outcome.kind === 'applied' ||
        (outcome.kind === 'unknown' && (await isOurs(attemptId)));
      if (!isTaken) return undefined;
      const epoch = (row ? parseLeaseRow(row).epoch : 0) + 1;
      const untilMs = sentAtMs + options.useMs;
      log.info('Lease taken.', {lease: name, epoch});
      return {fence: createFence(name, epoch), untilMs};
    },
  };
}
