/** What failed calls to plain services mean for callers and for the keeper. */

import type {RequestError} from '../../core/error_kinds.js';
import type {SendFailure} from '../../ports/relay.js';
import type {PlainCallResult} from '../../scheduling/plain_balancer.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';
import type {EndNotes} from './slot_client.js';

/**
 * Sets the retry delay to the time at which the first upstream takes calls
 * again.
 */
export function toOverload(
  before: RequestError,
  {detail, retryAfterMs}: Extract<SendFailure, {kind: 'withheld'}>,
): RequestError {
  const earlierMs =
    before.kind === 'overloaded' ? before.retryAfterMs : undefined;
  return {
    kind: 'overloaded',
    detail,
    retryAfterMs: Math.min(retryAfterMs, earlierMs ?? retryAfterMs),
  };
}

/**
 * Whether the upstream did not run the call because it takes no more for a
 * moment: it said so, or closed the connection before anything was sent.
 */
export function isFullNow(failure: SendFailure): boolean {
  switch (failure.kind) {
    case 'rejected':
      return failure.reason === 'full';
    case 'unreachable':
      return failure.wasConnected === true;
    case 'broken':
    case 'withheld':
    case 'quarantined':
    case 'cancelled':
      return false;
  }
}

export function toResult(failure: SendFailure): PlainCallResult {
  switch (failure.kind) {
    case 'unreachable':
      return failure.wasConnected ? 'cancelled' : 'failed';
    case 'broken':
      return failure.isOfPeer ? 'cancelled' : 'failed';
    case 'rejected':
      return failure.reason === 'full' ? 'cancelled' : 'failed';
    case 'withheld':
    case 'quarantined':
    case 'cancelled':
      return 'cancelled';
  }
}

/** Fields are absent unless true, which saves space in messages. */
export function toNotes(failure: SendFailure): EndNotes {
  const wasReset =
    (failure.kind === 'broken' && failure.wasReset) ||
    (failure.kind === 'unreachable' && failure.wasConnected);
  return {
    ...(isFullNow(failure) && {isFull: true}),
    ...(wasReset && {wasReset}),
  };
}

/** Records a failure that shows that the upstream can't be used for now. */
export function noteUnusable(
  registry: Pick<UpstreamRegistry, 'markReplaced' | 'markUnreachable'>,
  upstreamId: string,
  failure: SendFailure,
): void {
  if (failure.kind === 'unreachable' && !failure.wasConnected) {
    registry.markUnreachable(upstreamId);
  }
  if (failure.kind === 'rejected' && failure.reason === 'other-instance') {
    registry.markReplaced(upstreamId);
  }
}
