/**
 * The calls of one plain request. Picks upstreams, sends calls, and reports
 * the start and end of each call to the upstream picker.
 */

import type {OpenCall, PlainCallEvent} from '../core/request/plain_types.js';
import type {PlainRequest} from '../ports/answer_sink.js';
import type {StoredAnswer} from '../ports/journal.js';
import type {PlainAnswer, PlainFailure} from '../ports/plain_service.js';
import type {PlainCallResult} from '../ports/plain_upstreams.js';
import type {RequestHost, RequestRunnerOptions} from './request_host.js';

export interface PlainCalls {
  pick(attempt: number, excludeIds: readonly string[]): void;
  call(call: OpenCall): void;
  abort(attempt: number): void;
  /**
   * Probes the upstream on a new connection. An upstream that doesn't answer is
   * recorded as a loss under the request's fingerprint.
   */
  probe(call: OpenCall): Promise<boolean>;
  requestRetry(): void;
}

const resultByFailureReason: Readonly<
  Record<PlainFailure['reason'], PlainCallResult>
> = {
  unreachable: 'unreachable',
  broken: 'broken',
  timeout: 'broken',
  cancelled: 'cancelled',
  'too-large': 'answered',
};

const leavingFailure: PlainFailure = {
  kind: 'failed',
  mayHaveRun: false,
  reason: 'unreachable',
  detail: 'The upstream is leaving and did not run the call.',
};

const NOT_RUN_STATUS = 503;

/** Whether a leaving upstream refused the call without running it. */
function isRefusedAsLeaving(answer: PlainAnswer): boolean {
  return (
    answer.status === NOT_RUN_STATUS && answer.headers['x-not-run'] === 'true'
  );
}

/** Converts an answer to the form for callers and the journal. */
export function storedAnswerOf(answer: PlainAnswer): StoredAnswer {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(answer.headers)) {
    if (value === undefined) continue;
    headers[name] = typeof value === 'string' ? value : value.join(', ');
  }
  return {status: answer.status, headers, body: answer.body};
}

export function createPlainCalls(
  host: RequestHost,
  options: RequestRunnerOptions,
  request: PlainRequest,
  send: (event: PlainCallEvent) => void,
): PlainCalls {
  const {clock} = host;
  const aborts = new Map<number, AbortController>();

  async function run(call: OpenCall, signal: AbortSignal): Promise<void> {
    const startedAtMs = clock.nowMs();
    host.plainBalancer.started(call.upstreamId);
    const outcome = await host
      .plainPort(call.address)
      .call(
        {
          requestId: request.requestId,
          attemptId: `${request.requestId}.${call.attempt}`,
          method: request.method,
          path: request.path,
          headers: request.headers,
          body: request.body,
          timeoutMs: callTimeoutMs(),
          // A retry requires a proven connection, or it could be sent on the
          // silent connection that made the first attempt fail.
          connectionProvenWithinMs:
            request.repeatable && call.attempt === 1
              ? 0
              : options.connectionProvenWithinMs,
        },
        signal,
      )
      .catch((cause: unknown): PlainFailure => ({
        kind: 'failed',
        mayHaveRun: true,
        reason: 'broken',
        detail: String(cause),
      }));
    aborts.delete(call.attempt);
    const latencyMs = clock.nowMs() - startedAtMs;
    if (outcome.kind === 'answered' && isRefusedAsLeaving(outcome)) {
      host.plainBalancer.ended(call.upstreamId, 'leaving', latencyMs);
      const {attempt} = call;
      send({kind: 'call-failed', attempt, failure: leavingFailure});
      return;
    }
    host.plainBalancer.ended(
      call.upstreamId,
      outcome.kind === 'answered'
        ? 'answered'
        : resultByFailureReason[outcome.reason],
      latencyMs,
    );
    send(
      outcome.kind === 'answered'
        ? {kind: 'answered', attempt: call.attempt, answer: outcome}
        : {kind: 'call-failed', attempt: call.attempt, failure: outcome},
    );
  }

  /**
   * A non-repeatable call continues after the caller's deadline, since only its
   * answer shows whether it ran.
   */
  function callTimeoutMs(): number {
    const leftMs = Math.max(1, request.deadlineAtMs - clock.nowMs());
    return request.repeatable
      ? Math.min(options.plain.callTimeoutMs, leftMs)
      : leftMs + options.plain.lingerMs;
  }

  return {
    pick(attempt, excludeIds) {
      const upstream = host.plainBalancer.pick(request.service, excludeIds);
      send({kind: 'picked', attempt, upstream});
    },
    call(call) {
      const abort = new AbortController();
      aborts.set(call.attempt, abort);
      void run(call, abort.signal);
    },
    abort: attempt => aborts.get(attempt)?.abort(),
    async probe(call) {
      const isAlive = await host
        .plainPort(call.address)
        .probe(options.probeTimeoutMs)
        .catch(() => false);
      if (isAlive) return true;
      host.observer?.onUpstreamLost?.(request.service, call.upstreamId);
      host.quarantine.recordLoss(request.fingerprint, call.upstreamId);
      return false;
    },
    requestRetry() {
      const isQuarantined =
        host.quarantine.verdict(request.fingerprint) === 'quarantined';
      if (isQuarantined || !host.retryBudget.tryTake(request.service)) {
        host.observer?.onRetryDenied?.(
          request.service,
          isQuarantined ? 'quarantined' : 'budget',
        );
        send({kind: 'retry-denied'});
        return;
      }
      host.observer?.onRetry?.(request.service);
      send({kind: 'retry-allowed', nowMs: clock.nowMs()});
    },
  };
}
