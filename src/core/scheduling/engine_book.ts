/**
 * What one home has promised of one engine: decode slots or prefill places,
 * and KV cache bytes. Exact for the home's own promises; use by others is
 * taken from the engine's lagging reports.
 */

import type {EngineLoadReport, EngineRole} from '../../ports/engine.js';

/** An engine as settings or the host list describe it. */
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

/** Reports older than this are never compared with the books. */
const REPORT_LAG_BOUND_MS = 8_000;
const PEAK_BUCKET_MS = 1_000;
const PEAK_BUCKETS = REPORT_LAG_BOUND_MS / PEAK_BUCKET_MS;

export interface EngineBook {
  usedSlots(): number;
  usedKvBytes(): number;
  /** May be negative when slots were promised from a forecast. */
  freeSlots(): number;
  freeKvBytes(): number;
  has(grantId: string): boolean;
  reserve(grantId: string, kvBytes: number, nowMs: number): void;
  resize(grantId: string, kvBytes: number, nowMs: number): void;
  release(grantId: string): void;
  /** Compares with a report; returns false for one older than the last. */
  reconcile(report: EngineLoadReport, nowMs: number): boolean;
  lastReportMs(): number | undefined;
  queuedTokens(): number;
}

/** Highest value in a sliding window of `REPORT_LAG_BOUND_MS`. */
function createPeak() {
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

export function createEngineBook(
  totalSlots: number,
  totalKvBytes: number,
): EngineBook {
  const kvByGrant = new Map<string, number>();
  const slotPeak = createPeak();
  const kvPeak = createPeak();
  let kvUsed = 0;
  let kvTotal = totalKvBytes;
  let slotTotal = totalSlots;
  let foreignSlots = 0;
  let foreignKvBytes = 0;
  let lastSequence = -1;
  let lastReportMs: number | undefined;
  let queuedTokens = 0;

  function notePeaks(nowMs: number): void {
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
      notePeaks(nowMs);
    },
    resize(grantId, kvBytes, nowMs) {
      const before = kvByGrant.get(grantId);
      if (before === undefined) return;
      kvUsed += kvBytes - before;
      kvByGrant.set(grantId, kvBytes);
      notePeaks(nowMs);
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
      notePeaks(nowMs);
      // A report shows the engine as it was some time ago. Only use above
      // every level that this home's own promises had within the lag belongs
      // to others (another home, or sessions whose owner is gone); without
      // the window a lagging report would count our own ended work twice.
      foreignSlots = Math.max(0, report.slotsUsed - slotPeak.highest());
      foreignKvBytes = Math.max(0, report.kvUsedBytes - kvPeak.highest());
      return true;
    },
    lastReportMs: () => lastReportMs,
    queuedTokens: () => queuedTokens,
  };
}
