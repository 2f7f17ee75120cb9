/**
 * Holds the configuration in force in this process.
 *
 * An older version may arrive after a newer one, from a slow read or a peer
 * that lags behind. A process never goes back to an older version.
 */

import type {Route, Routing, Service} from '../core/routing_types.js';
import type {Logger} from '../ports/log.js';
import {
  createAccountTable,
  type AccountTable,
} from './accounts/client_account.js';
import {createRouteTable} from './routing.js';

/** Where a version came from, for the log. */
export type RoutingOrigin = 'store' | 'peer';

export interface RoutingState {
  current(): Routing | undefined;
  /** Returns the version in force, or 0 if there is none. */
  version(): number;
  match(host: string, path: string): Route | undefined;
  service(name: string): Service | undefined;
  accounts(): AccountTable;
  /**
   * Applies a version and returns true if it is newer than the one in force.
   */
  applyIfNewer(routing: Routing, origin: RoutingOrigin): boolean;
  /** Calls `listener` after each change. */
  onChange(listener: (routing: Routing) => void): void;
}

export function createRoutingState(log: Logger): RoutingState {
  let current: Routing | undefined;
  let table = createRouteTable([]);
  let services: ReadonlyMap<string, Service> = new Map();
  let accounts = createAccountTable({accounts: []});
  const listeners: Array<(routing: Routing) => void> = [];
  return {
    current: () => current,
    version: () => current?.version ?? 0,
    match: (host, path) => table.match(host, path),
    service: name => services.get(name),
    accounts: () => accounts,
    applyIfNewer(routing, origin) {
      if (current && routing.version <= current.version) return false;
      current = routing;
      table = createRouteTable(routing.routes);
      services = new Map(routing.services.map(each => [each.name, each]));
      accounts = createAccountTable(routing);
      log.info('Configuration in force.', {
        version: routing.version,
        origin,
        routes: routing.routes.length,
        services: routing.services.length,
        accounts: routing.accounts.length,
      });
      for (const listener of listeners) listener(routing);
      return true;
    },
    onChange(listener) {
      listeners.push(listener);
    },
  };
}
