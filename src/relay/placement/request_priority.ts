/**
 * Priorities of requests, and how they appear to engines. Applies only to
 * services whose routes differ in priority; for the others every function
 * returns undefined, so that they are served as without priorities.
 */

import type {ClientAccount, Route, Routing} from '../../core/routing_types.js';

export interface RequestPriorities {
  /**
   * The priority of a request: that of its account if it has one, else of its
   * route. 0 is the most urgent. Undefined stands for the least urgent of the
   * service's routes, so that most messages need not state it.
   */
  ofRequest(
    service: string,
    route: Route,
    account: ClientAccount | undefined,
  ): number | undefined;
  /** Assumed for requests whose host did not state a priority. */
  leastUrgent(service: string): number | undefined;
  /** The priority to send to an engine with a request of this priority. */
  forEngine(service: string, priority: number | undefined): number | undefined;
}

/** A priority that a peer sent; undefined if it is not a valid one. */
export function toPriority(value: unknown): number | undefined {
  const isValid =
    typeof value === 'number' && Number.isFinite(value) && value >= 0;
  return isValid ? value : undefined;
}

/** Engines assume this priority for requests without one. */
const LEAST_URGENT_FOR_ENGINES = 5;

/** The distinct priorities of the routes of a service, most urgent first. */
function findLevels(routing: Routing, service: string): readonly number[] {
  const priorities = routing.routes
    .filter(({targets}) => targets.some(each => each.service === service))
    .map(({priority}) => priority);
  return [...new Set(priorities)].sort((a, b) => a - b);
}

export function createRequestPriorities(host: {
  /** The configuration in force; each version is another object. */
  routing(): Routing | undefined;
}): RequestPriorities {
  let known: Routing | undefined;
  const levelsByService = new Map<string, readonly number[]>();

  /** Empty where all routes of the service have the same priority. */
  function levelsOf(service: string): readonly number[] {
    const routing = host.routing();
    if (routing !== known) levelsByService.clear();
    known = routing;
    let levels = levelsByService.get(service);
    if (!levels) {
      levels = routing ? findLevels(routing, service) : [];
      if (levels.length < 2) levels = [];
      levelsByService.set(service, levels);
    }
    return levels;
  }

  return {
    ofRequest(service, route, account) {
      const levels = levelsOf(service);
      if (levels.length === 0) return undefined;
      const priority = account?.priority ?? route.priority;
      return priority === levels.at(-1) ? undefined : priority;
    },
    leastUrgent: service => levelsOf(service).at(-1),
    forEngine(service, priority) {
      const levels = levelsOf(service);
      if (levels.length === 0) return undefined;
      const lessUrgent = levels.filter(
        level => level > (priority ?? Number.POSITIVE_INFINITY),
      );
      return Math.max(0, LEAST_URGENT_FOR_ENGINES - lessUrgent.length);
    },
  };
}
