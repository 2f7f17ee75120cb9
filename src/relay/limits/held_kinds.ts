/** Kinds of what a process holds in memory for its callers. */

export interface HeldKindRules {
  /** Memory in use beside the bytes that are counted. */
  readonly overheadBytes: number;
  /**
   * In which order holders are ended when memory runs out: lower first, and
   * the largest first within a rank. Absent if they end with another holder.
   */
  readonly endRank?: number;
}

const KB = 1024;

const kinds = {
  /** Written to a caller that does not read it. */
  'caller-buffer': {overheadBytes: 16 * KB, endRank: 1},
  /** The body of a request that has not been read fully. */
  upload: {overheadBytes: 8 * KB, endRank: 2},
  /** A request that waits for those ahead of it on its connection. */
  'waiting-request': {overheadBytes: 8 * KB},
  /** A request that was read, with its body and the calls made for it. */
  request: {overheadBytes: 48 * KB, endRank: 4},
  /** Read from an upstream and not yet forwarded. */
  answer: {overheadBytes: 8 * KB, endRank: 3},
  /** An open connection of a caller. */
  connection: {overheadBytes: 8 * KB},
} as const satisfies Readonly<Record<string, HeldKindRules>>;

export type HeldKind = keyof typeof kinds;

export const heldKinds: Readonly<Record<HeldKind, HeldKindRules>> = kinds;
