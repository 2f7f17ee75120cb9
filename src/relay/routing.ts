/**
 * Chooses the route of a request by host and path prefix, and the service by
 * weight, as configured by the operator. Pure.
 */

import type {Route} from '../core/routing_types.js';
import type {Random} from '../ports/random.js';

/** Routes, indexed for look-ups. */
export interface RouteTable {
  /** Returns the route of `host` with the longest prefix of `path`. */
  match(host: string, path: string): Route | undefined;
}

export function createRouteTable(routes: readonly Route[]): RouteTable {
  const byHost = new Map<string, Route[]>();
  for (const route of routes) {
    const key = route.host.toLowerCase();
    const routesOfHost = byHost.get(key);
    if (routesOfHost) routesOfHost.push(route);
    else byHost.set(key, [route]);
  }
  for (const ofHost of byHost.values()) {
    ofHost.sort((a, b) => b.prefix.length - a.prefix.length);
  }
  return {
    match(host, path) {
      const name = withoutPort(host).toLowerCase();
      return byHost.get(name)?.find(route => path.startsWith(route.prefix));
    },
  };
}

/** Removes the port of a `Host` header; an IPv6 address keeps its brackets. */
function withoutPort(host: string): string {
  return host.replace(/:\d*$/, '');
}

/** Chooses one of the route's services at random by weight. */
export function chooseService(route: Route, random: Random): string {
  const {targets} = route;
  if (targets.length === 1) return targets[0].service;
  const total = targets.reduce((sum, {weight}) => sum + weight, 0);
  let draw = random.nextFloat() * total;
  for (const {service, weight} of targets) {
    draw -= weight;
    if (draw < 0) return service;
  }
  return targets[targets.length - 1].service;
}
