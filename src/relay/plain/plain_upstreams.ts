/**
 * Passes the upstreams of plain services that take new calls to the balancer.
 */

import type {PlainBalancer} from '../../scheduling/plain_balancer.js';
import type {RoutingState} from '../routing_state.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';

export interface PlainUpstreamsHost {
  readonly routing: RoutingState;
  readonly registry: UpstreamRegistry;
  readonly balancer: PlainBalancer;
}

export function applyPlainUpstreams(host: PlainUpstreamsHost): void {
  const {routing, registry, balancer} = host;
  for (const service of routing.current()?.services ?? []) {
    if (service.engine) continue;
    balancer.setUpstreams(
      service.name,
      registry.open(service.name).map(({id, address, failureDomain}) => ({
        upstreamId: id,
        address,
        failureDomain,
      })),
    );
  }
}
