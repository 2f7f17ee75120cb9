/** Kinds of faults of the soak, and the mixes that are drawn from. */

export const FAULT_KINDS = [
  'kill',
  'freeze',
  'terminate',
  'roll',
  'hang-up',
  'store-cut',
  'store-down',
  'store-lossy',
  'history-lost',
  'upstream-crash',
  'upstream-leaves',
  'upstream-link',
  'connections-reset',
  'answers-lost',
  'refusals',
  'configure',
] as const;

/** Upstreams that signal backpressure. */
export const BACKPRESSURE_KINDS = [
  'names-limit',
  'says-leaving',
  'asks-rest',
] as const;

/** Not in `FAULT_KINDS`, so that existing seeds still draw the same faults. */
export const OLDER_COPY_KIND = 'store-older-copy';

export const CRASHING_KIND = 'crashing-requests';

export type FaultKind =
  | (typeof FAULT_KINDS)[number]
  | (typeof BACKPRESSURE_KINDS)[number]
  | typeof OLDER_COPY_KIND
  | typeof CRASHING_KIND;

export const ALL_KINDS: readonly FaultKind[] = [
  ...FAULT_KINDS,
  ...BACKPRESSURE_KINDS,
  OLDER_COPY_KIND,
  CRASHING_KIND,
];
/**
 * Restores from an older copy, with faults whose writes the restore may lose.
 */
export const OLDER_COPY_SOAK_KINDS: readonly FaultKind[] = [
  OLDER_COPY_KIND,
  OLDER_COPY_KIND,
  'upstream-leaves',
  'upstream-leaves',
  'upstream-leaves',
  'upstream-crash',
  'configure',
  'kill',
  'store-cut',
];
/**
 * Backpressure, with faults in which hosts lose their state or miss updates.
 */
export const BACKPRESSURE_SOAK_KINDS: readonly FaultKind[] = [
  ...BACKPRESSURE_KINDS,
  'kill',
  'store-down',
];

/** Requests that crash upstreams, with faults that look like crashes. */
export const CRASH_SOAK_KINDS: readonly FaultKind[] = [
  CRASHING_KIND,
  CRASHING_KIND,
  CRASHING_KIND,
  'kill',
  'freeze',
  'upstream-link',
  'connections-reset',
  'answers-lost',
  'store-cut',
];
