/**
 * Routes by host and path prefix, as the operator configures them, and the
 * choice of a route and of a service. Pure.
 */

import type {Route} from '../core/routing_types.js';
import type {Random} from '../ports/random.js';

/** Routes made ready for look-ups. */
export interface RouteTable {
  /** The route with the longest prefix of `path` among those of `host`. */
  match(host: string, path: string): Route | undefined;
}

export function createRouteTable(routes: readonly Route[]): RouteTable {
  const byHost = new Map<string, Route[]>();
  for (const route of routes) {
    const key = route.host.toLowerCase();
    const known = byHost.get(key);
    if (known) known.push(route);
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

/** The host of a `Host` header; an IPv6 number keeps its brackets. */
function withoutPort(host: string): string {
  return host.replace(/:\d*$/, '');
}

/** Draws one of the route's services by weight. */
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
