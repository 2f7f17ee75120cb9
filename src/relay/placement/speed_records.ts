/** The speeds of engines as hosts announce them to each other. */

/** Engine id, weight of the measurement, factor (1 is the mean). */
export type SpeedRecord = readonly [
  engineId: string,
  weight: number,
  factor: number,
];

/** Limit of records in an announcement, and of those read from one. */
export const MAX_SPEED_RECORDS = 24;
/** Bounds of a factor. Hardware of one pool never differs by more. */
export const MIN_FACTOR = 0.1;
export const MAX_FACTOR = 10;

export interface ReadSpeedRecords {
  readonly records: readonly SpeedRecord[];
  /** Number of records that were ignored. */
  readonly rejectedCount: number;
}

function isPositive(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value > 0;
}

function isSpeedRecord(value: unknown): value is SpeedRecord {
  if (!Array.isArray(value)) return false;
  const [engineId, weight, factor] = value as readonly unknown[];
  return (
    typeof engineId === 'string' &&
    isPositive(weight) &&
    isPositive(factor) &&
    factor >= MIN_FACTOR &&
    factor <= MAX_FACTOR
  );
}

/**
 * Reads the records of a peer. Other versions of the program and faulty hosts
 * may send anything, so each record is checked on its own.
 */
export function readSpeedRecords(
  value: unknown,
  isListed: (engineId: string) => boolean,
): ReadSpeedRecords {
  if (value === undefined) return {records: [], rejectedCount: 0};
  if (!Array.isArray(value)) return {records: [], rejectedCount: 1};
  const items = value as readonly unknown[];
  const records = items
    .slice(0, MAX_SPEED_RECORDS)
    .filter(isSpeedRecord)
    .filter(([engineId]) => isListed(engineId));
  return {records, rejectedCount: items.length - records.length};
}
