/** Adapts the plain balancer to the port that request tasks use. */

import type {
  PlainCallResult,
  PlainUpstreamPicker,
} from '../ports/plain_upstreams.js';
import type {Upstream} from '../core/upstream_list.js';
import type {
  PlainBalancer,
  PlainCallResult as BalancerResult,
} from '../scheduling/plain_balancer.js';

const balancerResults: Readonly<Record<PlainCallResult, BalancerResult>> = {
  answered: 'ok',
  cancelled: 'cancelled',
  unreachable: 'failed',
  broken: 'timeout',
  leaving: 'cancelled',
};

export interface PlainUpstreams extends PlainUpstreamPicker {
  /** Applies a new list of upstreams. */
  update(upstreams: readonly Upstream[]): void;
}

/**
 * @param onLeaving Called when an upstream answers that it is leaving.
 */
export function createPlainUpstreams(
  balancer: PlainBalancer,
  onLeaving: (upstreamId: string) => void,
): PlainUpstreams {
  const serviceById = new Map<string, string>();

  function updateService(service: string, all: readonly Upstream[]): void {
    const serviceUpstreams = all.filter(
      upstream => upstream.service === service,
    );
    balancer.setUpstreams(
      service,
      serviceUpstreams.map(({id, address, failureDomain}) => ({
        upstreamId: id,
        address,
        failureDomain,
      })),
    );
    for (const {id, isLeaving} of serviceUpstreams) {
      serviceById.set(id, service);
      if (isLeaving) balancer.markLeaving(service, id);
    }
  }

  return {
    update(upstreams) {
      const plain = upstreams.filter(upstream => upstream.kind === 'plain');
      const knownServices = new Set(serviceById.values());
      const services = new Set([
        ...knownServices,
        ...plain.map(item => item.service),
      ]);
      for (const service of services) updateService(service, plain);
    },
    pick: (service, excludeIds) => balancer.pick(service, new Set(excludeIds)),
    started(upstreamId) {
      const service = serviceById.get(upstreamId);
      if (service !== undefined) balancer.started(service, upstreamId);
    },
    ended(upstreamId, result, latencyMs) {
      const service = serviceById.get(upstreamId);
      if (service === undefined) return;
      balancer.ended(service, upstreamId, balancerResults[result], latencyMs);
      if (result !== 'leaving') return;
      balancer.markLeaving(service, upstreamId);
      onLeaving(upstreamId);
    },
  };
}
