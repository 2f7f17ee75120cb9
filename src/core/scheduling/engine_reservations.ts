/**
 * The reservations of one home at one engine: decode slots or prefill places,
 * and KV cache bytes. The home's own reservations are exact; use by others is
 * derived from the engine's delayed reports.
 */

import type {EngineLoadReport, EngineRole} from '../../ports/engine.js';

/** An engine as described in the settings or the host list. */
export interface EngineDescription {
  readonly engineId: string;
  readonly address: string;
  readonly role: EngineRole;
  readonly failureDomain: string;
  readonly models: readonly string[];
  readonly slots: number;
  readonly kvBytes: number;
  readonly linkBytesPerMs: number;
}

/** Upper bound on the delay of reports. */
const REPORT_LAG_BOUND_MS = 8_000;
const PEAK_BUCKET_MS = 1_000;
const PEAK_BUCKETS = REPORT_LAG_BOUND_MS / PEAK_BUCKET_MS;

export interface EngineReservations {
  usedSlots(): number;
  usedKvBytes(): number;
  /** May be negative when slots were granted from a forecast. */
  freeSlots(): number;
  freeKvBytes(): number;
  has(grantId: string): boolean;
  reserve(grantId: string, kvBytes: number, nowMs: number): void;
  resize(grantId: string, kvBytes: number, nowMs: number): void;
  release(grantId: string): void;
  /** Applies a report; returns false if it is older than the last one. */
  reconcile(report: EngineLoadReport, nowMs: number): boolean;
  lastReportMs(): number | undefined;
  queuedTokens(): number;
}

/** Tracks the maximum in a sliding window of `REPORT_LAG_BOUND_MS`. */
function createWindowMaximum() {
  const peaks = new Float64Array(PEAK_BUCKETS);
  let lastBucket = -1;
  return {
    note(value: number, nowMs: number): void {
      const bucket = Math.floor(nowMs / PEAK_BUCKET_MS);
      if (bucket !== lastBucket) {
        const from = Math.max(lastBucket + 1, bucket - PEAK_BUCKETS + 1);
        for (let i = from; i <= bucket; i++) peaks[i % PEAK_BUCKETS] = value;
        lastBucket = bucket;
      }
      const index = bucket % PEAK_BUCKETS;
      if (value > peaks[index]) peaks[index] = value;
    },
    highest: () => peaks.reduce((a, b) => Math.max(a, b), 0),
  };
}

export function createEngineReservations(
  totalSlots: number,
  totalKvBytes: number,
): EngineReservations {
  const kvByGrant = new Map<string, number>();
  const slotPeak = createWindowMaximum();
  const kvPeak = createWindowMaximum();
  let kvUsed = 0;
  let kvTotal = totalKvBytes;
  let slotTotal = totalSlots;
  let foreignSlots = 0;
  let foreignKvBytes = 0;
  let lastSequence = -1;
  let lastReportMs: number | undefined;
  let queuedTokens = 0;

  function recordPeaks(nowMs: number): void {
    slotPeak.note(kvByGrant.size, nowMs);
    kvPeak.note(kvUsed, nowMs);
  }

  return {
    usedSlots: () => kvByGrant.size,
    usedKvBytes: () => kvUsed,
    freeSlots: () => slotTotal - kvByGrant.size - foreignSlots,
    freeKvBytes: () => kvTotal - kvUsed - foreignKvBytes,
    has: grantId => kvByGrant.has(grantId),
    reserve(grantId, kvBytes, nowMs) {
      kvUsed += kvBytes - (kvByGrant.get(grantId) ?? 0);
      kvByGrant.set(grantId, kvBytes);
      recordPeaks(nowMs);
    },
    resize(grantId, kvBytes, nowMs) {
      const before = kvByGrant.get(grantId);
      if (before === undefined) return;
      kvUsed += kvBytes - before;
      kvByGrant.set(grantId, kvBytes);
      recordPeaks(nowMs);
    },
    release(grantId) {
      const kvBytes = kvByGrant.get(grantId);
      if (kvBytes === undefined) return;
      kvUsed -= kvBytes;
      kvByGrant.delete(grantId);
    },
    reconcile(report, nowMs) {
      if (report.sequence <= lastSequence) return false;
      lastSequence = report.sequence;
      lastReportMs = nowMs;
      queuedTokens = report.queuedTokens;
      if (report.slotsTotal > 0) slotTotal = report.slotsTotal;
      if (report.kvTotalBytes > 0) kvTotal = report.kvTotalBytes;
      recordPeaks(nowMs);
      // A report shows an earlier state of the engine. Only use above the peak
      // of this home's reservations within the delay belongs to others (another
      // home, or sessions without an owner). Without the window, a delayed
      // report would count work of this home that has ended as foreign use.
      foreignSlots = Math.max(0, report.slotsUsed - slotPeak.highest());
      foreignKvBytes = Math.max(0, report.kvUsedBytes - kvPeak.highest());
      return true;
    },
    lastReportMs: () => lastReportMs,
    queuedTokens: () => queuedTokens,
  };
}
