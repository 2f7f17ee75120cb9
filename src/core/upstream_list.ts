/**
 * Combines the upstreams of each service from the settings and the platform's
 * host list.
 */

import type {EngineRole} from '../ports/engine.js';
import type {ListedHost} from '../ports/table.js';
import type {ServiceSettings, Settings} from './settings_types.js';

export interface Upstream {
  readonly id: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly service: string;
  readonly kind: 'model' | 'plain';
  /** Model engines only. */
  readonly role?: EngineRole;
  readonly isLeaving: boolean;
}

function fromSettings(service: ServiceSettings): readonly Upstream[] {
  return service.upstreams.map(upstream => ({
    id: upstream.id,
    address: upstream.address,
    failureDomain: upstream.failureDomain,
    service: service.name,
    kind: service.kind,
    role: upstream.role,
    isLeaving: false,
  }));
}

function fromHostList(
  service: ServiceSettings,
  hosts: readonly ListedHost[],
): readonly Upstream[] {
  return hosts
    .filter(host => host.service === service.name && host.role !== 'router')
    .map(host => ({
      id: host.hostId,
      address: host.address,
      failureDomain: host.failureDomain,
      service: service.name,
      kind: service.kind,
      role: host.engineRole,
      isLeaving: host.state === 'leaving',
    }));
}

/**
 * Returns all upstreams of a site without duplicates.
 *
 * An upstream is leaving if either source marks it as leaving. If both sources
 * contain it, the role in the settings takes precedence.
 */
export function createUpstreamList(
  settings: Settings,
  hosts: readonly ListedHost[],
): readonly Upstream[] {
  const byId = new Map<string, Upstream>();
  const leaving = new Set(
    hosts.filter(host => host.state === 'leaving').map(host => host.hostId),
  );
  for (const service of settings.services) {
    const listed = service.upstreamsFromHostList
      ? fromHostList(service, hosts)
      : [];
    for (const upstream of [...listed, ...fromSettings(service)]) {
      const isLeaving = upstream.isLeaving || leaving.has(upstream.id);
      const role = upstream.role ?? byId.get(upstream.id)?.role;
      byId.set(upstream.id, {...upstream, role, isLeaving});
    }
  }
  return [...byId.values()];
}
