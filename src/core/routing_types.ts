/** Routes, services and client accounts as the operator configures them. */

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

/** What the rate limit of an account counts. */
export type QuotaUnit = 'requests' | 'tokens';

/** A token bucket that all hosts share. */
export interface AccountQuota {
  readonly unit: QuotaUnit;
  /** Units that the bucket gains in a second. */
  readonly unitsPerS: number;
  /** Units that a full bucket holds. */
  readonly burstUnits: number;
  /** Cost of a request that does not say how many tokens it takes. */
  readonly tokensOfPlainRequest: number;
}

export interface ClientAccount {
  readonly name: string;
  readonly keyDigests: readonly string[];
  /** Goes before the priority of the route; 0 is the most urgent. */
  readonly priority?: number;
  /** Absent where nothing limits the account. */
  readonly quota?: AccountQuota;
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
