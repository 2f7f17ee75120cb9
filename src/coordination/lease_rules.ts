/**
 * Pure rules of a lease: its row, who may acquire it and when, and how long it
 * is valid for its holder. The model checker runs these functions.
 *
 * Clocks are never compared between hosts. A holder measures from just before
 * it sent the write, another host from just after it first read the row, and
 * both allow for the bound on the difference of their clock rates. The holder
 * therefore stops before another host starts. If the holder is paused between
 * its own check and its action, the epoch in the table rejects the action.
 */

import type {
  JsonRecord,
  TableCondition,
  TableRow,
  TableTransaction,
} from '../ports/table.js';

/** A term of a lease, kept in the row for diagnosis. */
export interface LeaseTerm {
  readonly holder: string;
  readonly epoch: number;
  /** Wall clock of the holder; informational only. */
  readonly fromWallMs: number;
}

/** The value of a lease row. */
export interface LeaseRecord {
  /** Empty when the lease is free. */
  readonly holder: string;
  /** Grows with each acquisition and each release. */
  readonly epoch: number;
  /** The only host that may acquire a free lease at once; empty for any host. */
  readonly successor: string;
  /** Identifies the write that created this version of the row. */
  readonly attemptId: string;
  /** Newest last. */
  readonly terms: readonly LeaseTerm[];
}

export interface LeaseTiming {
  readonly leaseMs: number;
  /** Bound on the relative difference of clock rates between hosts. */
  readonly clockRateError: number;
}

/** When this host first read the row at this version, on its own clock. */
export interface LeaseObservation {
  readonly version: number;
  readonly firstSeenMs: number;
}

/** Fencing token of a term, for writes and orders made under the lease. */
export interface Fence {
  readonly epoch: number;
  /** Added to each transaction so that the table rejects a former holder. */
  readonly condition: TableCondition;
}

const MAX_TERMS = 8;
/**
 * Enough for one acquisition per second over half a year. Engines may store
 * fences in 32 bits, which leaves room for 127 eras.
 */
const EPOCHS_PER_ERA = 2 ** 24;
const KEY_PREFIX = 'lease/';

export function getLeaseKey(name: string): string {
  return KEY_PREFIX + name;
}

export function createFence(name: string, epoch: number): Fence {
  const key = getLeaseKey(name);
  return {
    epoch,
    condition: {kind: 'field', key, field: 'epoch', equals: epoch},
  };
}

/** Parses a lease row; a malformed field is replaced by an empty value. */
export function parseLeaseRow(row: TableRow): LeaseRecord {
  const {holder, epoch, successor, attemptId, terms} = row.value;
  return {
    holder: typeof holder === 'string' ? holder : '',
    epoch: typeof epoch === 'number' ? epoch : 0,
    successor: typeof successor === 'string' ? successor : '',
    attemptId: typeof attemptId === 'string' ? attemptId : '',
    terms: Array.isArray(terms) ? (terms as readonly LeaseTerm[]) : [],
  };
}

function toValue(record: LeaseRecord): JsonRecord {
  return {
    ...record,
    terms: record.terms.map(term => ({...term})),
  };
}

/** Keeps the observation of a version until the version changes. */
export function observe(
  before: LeaseObservation | undefined,
  version: number,
  nowMs: number,
): LeaseObservation {
  if (before?.version === version) return before;
  return {version, firstSeenMs: nowMs};
}

/** Returns when the lease expires for its holder, on the holder's clock. */
export function getHeldUntilMs(sentAtMs: number, timing: LeaseTiming): number {
  return sentAtMs + timing.leaseMs * (1 - timing.clockRateError);
}

/** Returns the earliest time, on this host's clock, to acquire the lease. */
export function getTakeableAtMs(
  record: LeaseRecord,
  observation: LeaseObservation,
  self: string,
  timing: LeaseTiming,
): number {
  const isOffered = record.successor === '' || record.successor === self;
  if (record.holder === '' && isOffered) return observation.firstSeenMs;
  return observation.firstSeenMs + timing.leaseMs * (1 + timing.clockRateError);
}

/**
 * Returns the epoch of the next term. A table restored from an older copy may
 * hold a lower epoch than fences issued before, so each era has its own range
 * of epochs above those of all earlier eras.
 */
export function getNextEpoch(row: TableRow | undefined, tableEra = 0): number {
  const epoch = row ? parseLeaseRow(row).epoch : 0;
  return Math.max(epoch, tableEra * EPOCHS_PER_ERA) + 1;
}

/** Builds the write that acquires the lease at `row`, or creates its row. */
export function buildTake(
  name: string,
  row: TableRow | undefined,
  holder: string,
  attemptId: string,
  wallMs: number,
  tableEra = 0,
): TableTransaction {
  const key = getLeaseKey(name);
  const before = row && parseLeaseRow(row);
  const epoch = getNextEpoch(row, tableEra);
  const term = {holder, epoch, fromWallMs: wallMs};
  const terms = [...(before?.terms ?? []), term].slice(-MAX_TERMS);
  const record = {holder, epoch, successor: '', attemptId, terms};
  return {
    attemptId,
    conditions: [
      row
        ? {kind: 'version', key, version: row.version}
        : {kind: 'absent', key},
    ],
    writes: [{kind: 'put', key, value: toValue(record)}],
  };
}

/** The row of a held lease as last known to its holder. */
export interface HeldRow {
  readonly name: string;
  readonly version: number;
  readonly record: LeaseRecord;
}

/** Builds one write that renews all `rows` atomically. */
export function buildRenewal(
  rows: readonly HeldRow[],
  attemptId: string,
): TableTransaction {
  return {
    attemptId,
    conditions: rows.map(row => ({
      kind: 'version',
      key: getLeaseKey(row.name),
      version: row.version,
    })),
    writes: rows.map(row => ({
      kind: 'put',
      key: getLeaseKey(row.name),
      value: toValue({...row.record, attemptId}),
    })),
  };
}

/**
 * Builds the write that releases the lease. It increments the epoch, because a
 * write in flight under the old fence would otherwise be accepted until the
 * next acquisition.
 */
export function buildRelease(
  row: HeldRow,
  successor: string,
  attemptId: string,
): TableTransaction {
  const key = getLeaseKey(row.name);
  const record: LeaseRecord = {
    ...row.record,
    holder: '',
    epoch: row.record.epoch + 1,
    successor,
    attemptId,
  };
  return {
    attemptId,
    conditions: [{kind: 'version', key, version: row.version}],
    writes: [{kind: 'put', key, value: toValue(record)}],
  };
}
