/**
 * Routes by host and path prefix, as the operator configures them, and the
 * choice of a route and of a service. Pure.
 */

import type {Random} from '../ports/random.js';
import type {ClientAccount} from './accounts/client_account.js';

/** What may be done again when the outcome of a send is not known. */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'stream';

/** A service that a route leads to, and its share of the route's requests. */
export interface RouteTarget {
  readonly service: string;
  /** Relative to the other targets of the route. */
  readonly weight: number;
}

export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  readonly targets: readonly RouteTarget[];
  /** Most upstreams that may run one request. */
  readonly maxAttempts: number;
  /** Longest time that a caller is kept waiting for the end. */
  readonly timeoutMs: number;
  /** An answer (a stream: its first event) is on time up to here. */
  readonly goalMs: number;
  /** Longest pause between events of a stream that is on time. */
  readonly gapGoalMs: number;
  /** Rank among the routes of a service; 0 is the most urgent. */
  readonly priority: number;
  /** A stream may go on at another engine after its last whole event. */
  readonly isResumable: boolean;
  /** No key is asked for. */
  readonly isPublic: boolean;
}

/** What the engines of a model service have in common. */
export interface EngineTraits {
  readonly slots: number;
  /** KV cache of one engine, in tokens. */
  readonly kvTokens: number;
  /** Tokens that one event of a stream carries. */
  readonly tokensPerEvent: number;
  /** A prefill result is dropped this long after it was made. */
  readonly prefillLifeMs: number;
  /** A change of role takes an engine away for this long. */
  readonly roleChangeMs: number;
}

export interface Service {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one upstream accepts from all callers together. */
  readonly maxConnections: number;
  /** Present where the upstreams are model engines. */
  readonly engine?: EngineTraits;
}

/** Bounds on what a caller sends. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the whole configuration. Versions only grow. */
export interface Routing {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: CallerLimits;
  /** Without any, no key is asked for. */
  readonly accounts: readonly ClientAccount[];
}

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
