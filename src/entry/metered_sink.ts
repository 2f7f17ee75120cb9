/** Answer sinks that record metrics of the answers they pass to the caller. */

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
  hasStarted: boolean,
): void {
  const durationMs = host.clock.nowMs() - arrivedAtMs;
  const result = hasStarted ? 'cut' : 'refused';
  host.metrics.recordRefusal(labels, error.kind);
  host.metrics.recordTotalWait(labels, result, durationMs);
}

/**
 * Records the metrics of a model answer. It counts as goodput if its time to
 * the first token, its mean token interval and its total wait are within the
 * targets. The interval is a mean, since the network may deliver tokens in
 * batches.
 */
export function meterModelSink(
  host: MeterHost,
  metering: Metering,
  sink: ModelAnswerSink,
): ModelAnswerSink {
  const {clock, metrics} = host;
  const {labels, targets, arrivedAtMs} = metering;
  let firstTokenAtMs: number | undefined;
  let lastTokenAtMs = 0;
  let tokenCount = 0;

  function isWithinTargets(nowMs: number): boolean {
    if (firstTokenAtMs === undefined) return false;
    const meanIntervalMs =
      (lastTokenAtMs - firstTokenAtMs) / Math.max(1, tokenCount - 1);
    return (
      firstTokenAtMs - arrivedAtMs <= targets.ttftMs &&
      meanIntervalMs <= targets.tokenIntervalMs &&
      nowMs - arrivedAtMs <= targets.waitMs
    );
  }

  return {
    tokens(offset, texts) {
      const nowMs = clock.nowMs();
      if (firstTokenAtMs === undefined) {
        firstTokenAtMs = nowMs;
        metrics.recordFirstToken(labels, nowMs - arrivedAtMs);
      } else {
        metrics.recordTokenInterval(
          labels,
          (nowMs - lastTokenAtMs) / texts.length,
        );
      }
      lastTokenAtMs = nowMs;
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
      recordFailure(host, metering, error, firstTokenAtMs !== undefined);
      sink.fail(error);
    },
  };
}

/** Records the metrics of a plain call; goodput is an answer within the wait. */
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
