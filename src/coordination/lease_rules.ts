/**
 * Pure rules of a lease: its row, who may take it and when, and how long its
 * holder may believe in it. The model checker drives these same functions.
 *
 * Clocks are never compared between hosts. A holder counts from just before
 * it sent the write; a taker counts from just after it first saw the row, and
 * each allows for the bound on the difference of their clocks' rates. So the
 * holder has stopped before any taker starts, unless the holder is paused
 * between its own check and its act: then the epoch in the table refuses it.
 */

import type {
  JsonRecord,
  TableCondition,
  TableRow,
  TableTransaction,
} from '../ports/table.js';

/** A past term of a lease, for people who read the row. */
export interface LeaseTerm {
  readonly holder: string;
  readonly epoch: number;
  /** Wall clock of the holder; never used in decisions. */
  readonly fromWallMs: number;
}

/** The value of a lease row. */
export interface LeaseRecord {
  /** Empty when the lease is free. */
  readonly holder: string;
  /** Grows with each take and each release. */
  readonly epoch: number;
  /** Host that alone may take a free lease without waiting; empty: any. */
  readonly successor: string;
  /** The write that made this row. */
  readonly attemptId: string;
  /** Newest last. */
  readonly terms: readonly LeaseTerm[];
}

export interface LeaseTiming {
  readonly leaseMs: number;
  /** Bound on the difference of clock rates between hosts, as a share. */
  readonly clockRateError: number;
}

/** When this host first saw the row at this version, on its own clock. */
export interface LeaseObservation {
  readonly version: number;
  readonly firstSeenMs: number;
}

/** Proof of a term, for writes and orders made under the lease. */
export interface Fence {
  readonly epoch: number;
  /** Add it to each transaction; the table refuses a former holder by it. */
  readonly condition: TableCondition;
}

const MAX_TERMS = 8;
/**
 * A take a second for half a year. Engines may keep fences in 32 bits, which
 * leaves room for 127 eras.
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

/** Reads a lease row; a malformed field counts as its empty value. */
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

/** Keeps the first sight of a version; a new version starts a new one. */
export function observe(
  before: LeaseObservation | undefined,
  version: number,
  nowMs: number,
): LeaseObservation {
  if (before?.version === version) return before;
  return {version, firstSeenMs: nowMs};
}

/** Until when a holder may act on its own clock, given when it sent. */
export function getHeldUntilMs(sentAtMs: number, timing: LeaseTiming): number {
  return sentAtMs + timing.leaseMs * (1 - timing.clockRateError);
}

/** Earliest time on the taker's clock at which the row may be taken. */
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
 * The epoch of the next term. Where the table came back from an older copy, its
 * row has a lower epoch than fences that were given out before; each era has
 * its own range of epochs, above those of all earlier ones.
 */
export function getNextEpoch(row: TableRow | undefined, tableEra = 0): number {
  const epoch = row ? parseLeaseRow(row).epoch : 0;
  return Math.max(epoch, tableEra * EPOCHS_PER_ERA) + 1;
}

/** A write that takes the lease from `row`, or creates it. */
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

/** A held lease as its holder knows the row. */
export interface HeldRow {
  readonly name: string;
  readonly version: number;
  readonly record: LeaseRecord;
}

/** One write that renews all `rows`; it applies to all or to none. */
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
 * A write that gives the lease up. The epoch grows here too: without it a
 * write still on its way under the old fence would pass until the next take.
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
