/**
 * Determines the priority of requests among the requests of their account,
 * where the routes of a service differ in priority. The priority of the account
 * plays no part: it is the same for all of them.
 */

import type {Route} from '../../core/routing_types.js';

export interface RoutePriorities {
  /**
   * Returns undefined if all requests of the account to the route's services
   * are equally urgent.
   */
  of(route: Route): number | undefined;
}

/** @param routes Returns the same array until the configuration changes. */
export function createRoutePriorities(
  routes: () => readonly Route[],
): RoutePriorities {
  let readFrom: readonly Route[] | undefined;
  let unevenServices: ReadonlySet<string> = new Set();

  function findUnevenServices(): ReadonlySet<string> {
    const current = routes();
    if (current !== readFrom) {
      readFrom = current;
      unevenServices = listUnevenServices(current);
    }
    return unevenServices;
  }

  return {
    of(route) {
      const uneven = findUnevenServices();
      const isUneven = route.targets.some(({service}) => uneven.has(service));
      return isUneven ? route.priority : undefined;
    },
  };
}

/** Returns the services whose routes have different priorities. */
function listUnevenServices(routes: readonly Route[]): ReadonlySet<string> {
  const firstPriority = new Map<string, number>();
  const uneven = new Set<string>();
  for (const {targets, priority} of routes) {
    for (const {service} of targets) {
      const first = firstPriority.get(service) ?? priority;
      firstPriority.set(service, first);
      if (first !== priority) uneven.add(service);
    }
  }
  return uneven;
}
