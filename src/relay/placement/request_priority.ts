/**
 * Priorities of requests, and how they appear to engines. Applies only to
 * services whose routes differ in priority; for the others every function
 * returns undefined, so that they are served as without priorities.
 */

import type {ClientAccount, Route, Routing} from '../../core/routing_types.js';

export interface RequestPriorities {
  /**
   * The level of urgency of a request among those of its service; 0 is the most
   * urgent. The priority of the account precedes that of the route, which
   * decides among accounts of the same priority. Undefined stands for the least
   * urgent level, so that most messages need not state it.
   */
  ofRequest(
    service: string,
    route: Route,
    account: ClientAccount | undefined,
  ): number | undefined;
  /** Assumed for requests whose host did not state a level. */
  leastUrgent(service: string): number | undefined;
  /** The priority to send to an engine with a request of this level. */
  forEngine(service: string, level: number | undefined): number | undefined;
}

/** A priority that a peer sent; undefined if it is not a valid one. */
export function toPriority(value: unknown): number | undefined {
  const isValid =
    typeof value === 'number' && Number.isFinite(value) && value >= 0;
  return isValid ? value : undefined;
}

/** Engines assume this priority for requests without one. */
const LEAST_URGENT_FOR_ENGINES = 5;

/** Greater than any priority of a configuration. */
const MAX_PRIORITY = 1_000;

/** Orders requests by the priority of their account, then of their route. */
function rankOf(route: Route, account: ClientAccount | undefined): number {
  return (account?.priority ?? route.priority) * MAX_PRIORITY + route.priority;
}

/**
 * The ranks that requests of a service can have, most urgent first. Empty where
 * all its routes have the same priority.
 */
function findRanks(routing: Routing, service: string): readonly number[] {
  const routes = routing.routes.filter(({targets}) =>
    targets.some(each => each.service === service),
  );
  if (new Set(routes.map(({priority}) => priority)).size < 2) return [];
  const accounts = routing.accounts.length > 0 ? routing.accounts : [undefined];
  const ranks = routes.flatMap(route =>
    accounts.map(account => rankOf(route, account)),
  );
  return [...new Set(ranks)].sort((a, b) => a - b);
}

export function createRequestPriorities(host: {
  /** The configuration in force; each version is another object. */
  routing(): Routing | undefined;
}): RequestPriorities {
  let known: Routing | undefined;
  const ranksByService = new Map<string, readonly number[]>();

  function ranksOf(service: string): readonly number[] {
    const routing = host.routing();
    if (routing !== known) ranksByService.clear();
    known = routing;
    let ranks = ranksByService.get(service);
    if (!ranks) {
      ranks = routing ? findRanks(routing, service) : [];
      ranksByService.set(service, ranks);
    }
    return ranks;
  }

  function leastUrgent(service: string): number | undefined {
    const ranks = ranksOf(service);
    return ranks.length > 0 ? ranks.length - 1 : undefined;
  }

  return {
    ofRequest(service, route, account) {
      const least = leastUrgent(service);
      if (least === undefined) return undefined;
      const rank = rankOf(route, account);
      const level = ranksOf(service).findIndex(each => rank <= each);
      return level < 0 || level === least ? undefined : level;
    },
    leastUrgent,
    forEngine(service, level) {
      const least = leastUrgent(service);
      if (least === undefined) return undefined;
      return Math.max(0, LEAST_URGENT_FOR_ENGINES - least + (level ?? least));
    },
  };
}
