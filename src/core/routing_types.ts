/** Configuration of routes, services and client accounts. */

/** Determines whether a request is retried after an unknown outcome. */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'stream';

/** A target service of a route and its share of the route's requests. */
export interface RouteTarget {
  readonly service: string;
  /** Weight relative to the other targets of the route. */
  readonly weight: number;
}

export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  readonly targets: readonly RouteTarget[];
  /** Maximum number of upstreams that may run one request. */
  readonly maxAttempts: number;
  /** Maximum time until the end of the answer. */
  readonly timeoutMs: number;
  /** Target time of an answer, or of the first event of a stream. */
  readonly goalMs: number;
  /** Target for the longest pause between events of a stream. */
  readonly gapGoalMs: number;
  /** Priority among the routes of a service; 0 is the most urgent. */
  readonly priority: number;
  /** A stream may be resumed by another engine after its last full event. */
  readonly isResumable: boolean;
  /** Requests need no key. */
  readonly isPublic: boolean;
}

/** Properties common to all engines of a model service. */
export interface EngineTraits {
  readonly slots: number;
  /** KV cache of one engine, in tokens. */
  readonly kvTokens: number;
  /** Number of tokens in one event of a stream. */
  readonly tokensPerEvent: number;
  /** Lifetime of a prefill result. */
  readonly prefillLifeMs: number;
  /** Time during which a role change makes an engine unavailable. */
  readonly roleChangeMs: number;
}

export interface Service {
  readonly name: string;
  readonly healthPath: string;
  /** Total connections that one upstream accepts. */
  readonly maxConnections: number;
  /** Present if the upstreams are model engines. */
  readonly engine?: EngineTraits;
}

/** Limits for requests of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** Unit of an account's rate limit. */
export type QuotaUnit = 'requests' | 'tokens';

/** A token bucket shared by all hosts. */
export interface AccountQuota {
  readonly unit: QuotaUnit;
  /** Refill rate of the bucket in units per second. */
  readonly unitsPerS: number;
  /** Capacity of the bucket in units. */
  readonly burstUnits: number;
  /** Cost of a request without a token count. */
  readonly tokensOfPlainRequest: number;
}

export interface ClientAccount {
  readonly name: string;
  readonly keyDigests: readonly string[];
  /** Takes precedence over the priority of the route; 0 is the most urgent. */
  readonly priority?: number;
  /** Absent if the account is not limited. */
  readonly quota?: AccountQuota;
}

/** One version of the configuration. Versions only increase. */
export interface Routing {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: CallerLimits;
  readonly accounts: readonly ClientAccount[];
  /** Absent if requests need a key just where there are accounts. */
  readonly requiresKey?: boolean;
}
