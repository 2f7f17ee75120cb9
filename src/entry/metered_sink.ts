/** Records how an answer came, on its way to the caller. */

import type {Metrics, RequestLabels} from '../adapters/metrics.js';
import type {
  AccountSettings,
  LatencyTargets,
  ServiceSettings,
} from '../core/settings_types.js';
import type {RequestError} from '../core/error_kinds.js';
import type {ModelAnswerSink, PlainAnswerSink} from '../ports/answer_sink.js';
import type {Clock} from '../ports/clock.js';

export interface MeterHost {
  readonly clock: Clock;
  readonly metrics: Metrics;
}

export interface Metering {
  readonly labels: RequestLabels;
  readonly targets: LatencyTargets;
  readonly arrivedAtMs: number;
}

export function createMetering(
  account: AccountSettings,
  service: ServiceSettings,
  arrivedAtMs: number,
): Metering {
  const labels = {
    service: service.name,
    account: account.name,
    requestClass: account.requestClass,
  };
  return {labels, targets: service.targets, arrivedAtMs};
}

function recordFailure(
  host: MeterHost,
  {labels, arrivedAtMs}: Metering,
  error: RequestError,
  hasBegun: boolean,
): void {
  const durationMs = host.clock.nowMs() - arrivedAtMs;
  const result = hasBegun ? 'cut' : 'refused';
  host.metrics.recordRefusal(labels, error.kind);
  host.metrics.recordTotalWait(labels, result, durationMs);
}

/**
 * Counts an answer as goodput if its first token, its pace and its whole wait
 * were within the targets. The pace is the mean over the answer, since the
 * network may bring tokens in bunches.
 */
export function meterModelSink(
  host: MeterHost,
  metering: Metering,
  sink: ModelAnswerSink,
): ModelAnswerSink {
  const {clock, metrics} = host;
  const {labels, targets, arrivedAtMs} = metering;
  let firstAtMs: number | undefined;
  let lastAtMs = 0;
  let tokenCount = 0;

  function isWithinTargets(nowMs: number): boolean {
    if (firstAtMs === undefined) return false;
    const meanMs = (lastAtMs - firstAtMs) / Math.max(1, tokenCount - 1);
    return (
      firstAtMs - arrivedAtMs <= targets.ttftMs &&
      meanMs <= targets.tokenIntervalMs &&
      nowMs - arrivedAtMs <= targets.waitMs
    );
  }

  return {
    tokens(offset, texts) {
      const nowMs = clock.nowMs();
      if (firstAtMs === undefined) {
        firstAtMs = nowMs;
        metrics.recordFirstToken(labels, nowMs - arrivedAtMs);
      } else {
        metrics.recordTokenInterval(labels, (nowMs - lastAtMs) / texts.length);
      }
      lastAtMs = nowMs;
      tokenCount += texts.length;
      sink.tokens(offset, texts);
    },
    end(finishReason, count) {
      const nowMs = clock.nowMs();
      metrics.recordTotalWait(labels, 'whole', nowMs - arrivedAtMs);
      if (isWithinTargets(nowMs)) metrics.recordGoodput(labels);
      sink.end(finishReason, count);
    },
    fail(error) {
      recordFailure(host, metering, error, firstAtMs !== undefined);
      sink.fail(error);
    },
  };
}

/** As above, for a plain call: goodput is an answer within the wait. */
export function meterPlainSink(
  host: MeterHost,
  metering: Metering,
  sink: PlainAnswerSink,
): PlainAnswerSink {
  const {labels, targets, arrivedAtMs} = metering;
  return {
    end(answer) {
      const durationMs = host.clock.nowMs() - arrivedAtMs;
      host.metrics.recordTotalWait(labels, 'whole', durationMs);
      if (durationMs <= targets.waitMs) host.metrics.recordGoodput(labels);
      sink.end(answer);
    },
    fail(error) {
      recordFailure(host, metering, error, false);
      sink.fail(error);
    },
  };
}
