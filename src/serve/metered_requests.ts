/** What happens to requests inside the process, as metrics. */

import type {Metrics, RequestLabels} from '../adapters/metrics.js';
import type {Clock} from '../ports/clock.js';
import type {
  Grant,
  GrantPort,
  GrantProgress,
  GrantRequest,
} from '../ports/grants.js';
import type {RequestObserver} from '../request/request_host.js';

interface MeteredGrant {
  readonly labels: RequestLabels;
  readonly promptTokenCount: number;
}

function labelsOf(request: GrantRequest): RequestLabels {
  const {service, account, requestClass} = request;
  return {service, account, requestClass};
}

/** Counts what the request tasks tell. */
export function createRequestObserver(metrics: Metrics): RequestObserver {
  return {
    onFrameDropped: (_service, what) => metrics.recordFrameDropped(what),
    onRetry: service => metrics.recordRetry(service, 'made'),
    onRetryDenied: (service, why) => metrics.recordRetry(service, why),
    onUpstreamLost: service => metrics.recordUpstreamBlamed(service),
  };
}

/** Records queueing and prefills on their way between requests and homes. */
export function meterGrants(
  {clock, metrics}: {readonly clock: Clock; readonly metrics: Metrics},
  grants: GrantPort,
): GrantPort {
  const running = new Map<string, MeteredGrant>();

  function note(grant: Grant, progress: GrantProgress): void {
    const metered = running.get(grant.grantId);
    if (!metered) return;
    const {labels, promptTokenCount} = metered;
    if (progress.kind === 'prefill-done') metrics.recordPrefill(labels);
    if (progress.kind !== 'ended') return;
    running.delete(grant.grantId);
    if (progress.prefillWasted) {
      metrics.recordPrefillWasted(labels, promptTokenCount);
    }
  }

  return {
    async request(request, signal) {
      const startedAtMs = clock.nowMs();
      const outcome = await grants.request(request, signal);
      const labels = labelsOf(request);
      metrics.recordQueueing(labels, clock.nowMs() - startedAtMs);
      if (outcome.kind === 'granted') {
        const {promptTokenCount} = request;
        running.set(outcome.grantId, {labels, promptTokenCount});
        if (request.resumeOffset > 0) metrics.recordResume(labels);
      }
      return outcome;
    },
    report(grant, progress) {
      note(grant, progress);
      grants.report(grant, progress);
    },
  };
}
