/** Sends a call to the upstream of its slot. */

import type {Clock} from '../../ports/clock.js';
import type {
  Cancellation,
  SendFailure,
  UpstreamAnswer,
  UpstreamPort,
} from '../../ports/relay.js';
import {CONNECT_TIMEOUT_MS, leftMs, type RelayJob} from '../relay_types.js';
import type {Slot} from './slot_client.js';

export interface PlainSendHost {
  readonly clock: Clock;
  readonly upstreamPort: Pick<UpstreamPort, 'send'>;
}

export interface PlainSendOptions {
  readonly permitWaitMs: number;
  /** The wait for a permit has ended. */
  onPermitted?(): void;
}

export type SendOutcome = UpstreamAnswer | SendFailure;

/** The upstream ends a run at its deadline itself and reports it. */
const DEADLINE_SLACK_MS = 60;
/**
 * An upstream that resets connections does so when it accepts them, one hop
 * after connecting and one back: some 4 ms.
 */
const FIRST_BYTE_DELAY_MS = 6;

/** Only calls that must run at most once wait, at upstreams that reset some. */
function firstByteDelayMs({route}: RelayJob, slot: Slot): number | undefined {
  const mustWait = route.kind !== 'idempotent' && slot.isResetting;
  return mustWait ? FIRST_BYTE_DELAY_MS : undefined;
}

/** How long this host waits for an answer to the call. */
export function untilDeadlineMs(
  {deadlineAtMs}: RelayJob,
  nowMs: number,
): number {
  return leftMs(deadlineAtMs, nowMs) + DEADLINE_SLACK_MS;
}

export function sendPlainCall(
  {clock, upstreamPort}: PlainSendHost,
  job: RelayJob,
  slot: Slot,
  options: PlainSendOptions,
  cancellation: Cancellation,
): Promise<SendOutcome> {
  const {request, route, deadlineAtMs} = job;
  const nowMs = clock.nowMs();
  return upstreamPort.send(
    request,
    {
      upstream: slot.upstream,
      leftMs: leftMs(deadlineAtMs, nowMs),
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      headTimeoutMs: untilDeadlineMs(job, nowMs),
      mayReuseConnection: route.kind === 'idempotent',
      firstByteDelayMs: firstByteDelayMs(job, slot),
      permitWaitMs: options.permitWaitMs,
      onPermitted: options.onPermitted,
      expectsEvents: route.kind === 'stream',
    },
    cancellation,
  );
}
