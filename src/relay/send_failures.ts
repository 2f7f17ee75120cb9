/** What the failures of calls to upstreams have in common. */

import type {SendFailure} from '../ports/relay.js';

const NOT_SENT_KINDS: ReadonlySet<string> = new Set<SendFailure['kind']>([
  'unreachable',
  'withheld',
  'quarantined',
]);

/** Whether a call with this outcome cost the upstream anything. */
export const wasSent = ({kind}: {readonly kind: string}): boolean =>
  !NOT_SENT_KINDS.has(kind);

const NOT_RUN_KINDS: ReadonlySet<string> = new Set<SendFailure['kind']>([
  'unreachable',
  'withheld',
  'quarantined',
  'rejected',
]);

/** Whether the upstream has not run a call with this outcome, and won't. */
export const wasNotRun = ({kind}: {readonly kind: string}): boolean =>
  NOT_RUN_KINDS.has(kind);
