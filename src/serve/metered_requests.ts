/** Records metrics of the requests that this process handles. */

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

function getLabels(request: GrantRequest): RequestLabels {
  const {service, account, requestClass} = request;
  return {service, account, requestClass};
}

/** Creates an observer that counts the events of request tasks. */
export function createRequestObserver(metrics: Metrics): RequestObserver {
  return {
    onFrameDropped: (_service, reason) => metrics.recordFrameDropped(reason),
    onRetry: service => metrics.recordRetry(service, 'made'),
    onRetryDenied: (service, reason) => metrics.recordRetry(service, reason),
    onUpstreamLost: service => metrics.recordUpstreamFailure(service),
  };
}

/** Wraps a grant port to record queueing times, prefills and resumes. */
export function meterGrants(
  {clock, metrics}: {readonly clock: Clock; readonly metrics: Metrics},
  grants: GrantPort,
): GrantPort {
  const activeGrants = new Map<string, MeteredGrant>();

  function recordProgress(grant: Grant, progress: GrantProgress): void {
    const metered = activeGrants.get(grant.grantId);
    if (!metered) return;
    const {labels, promptTokenCount} = metered;
    if (progress.kind === 'prefill-done') metrics.recordPrefill(labels);
    if (progress.kind !== 'ended') return;
    activeGrants.delete(grant.grantId);
    if (progress.prefillWasted) {
      metrics.recordPrefillWasted(labels, promptTokenCount);
    }
  }

  return {
    async request(request, signal) {
      const startedAtMs = clock.nowMs();
      const outcome = await grants.request(request, signal);
      const labels = getLabels(request);
      metrics.recordQueueing(labels, clock.nowMs() - startedAtMs);
      if (outcome.kind === 'granted') {
        const {promptTokenCount} = request;
        activeGrants.set(outcome.grantId, {labels, promptTokenCount});
        if (request.resumeOffset > 0) metrics.recordResume(labels);
      }
      return outcome;
    },
    report(grant, progress) {
      recordProgress(grant, progress);
      grants.report(grant, progress);
    },
  };
}
