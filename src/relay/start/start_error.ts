/** Why a process does not start, in words for its operator. */

export type StartErrorKind =
  /** Something is in the way that did not pass. */
  | 'failed'
  /** The process was told to end before it served. */
  | 'ended';

/** Reported by its message alone, without a stack trace. */
export class StartError extends Error {
  constructor(
    readonly kind: StartErrorKind,
    message: string,
  ) {
    super(message);
  }
}
