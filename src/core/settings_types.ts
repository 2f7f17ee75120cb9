/**
 * The settings in force, after base and site overlay are merged and checked.
 * `settings_schema.ts` makes these from YAML.
 */

/** Latency targets of a service. All are for 95 in 100 requests. */
export interface LatencyTargets {
  /** Request in to first token out. Model services only. */
  readonly ttftMs: number;
  /** Between tokens. Model services only. */
  readonly tokenIntervalMs: number;
  /** Longest wait for the whole answer. */
  readonly waitMs: number;
}

interface ServiceBase {
  readonly name: string;
  readonly targets: LatencyTargets;
  /** Upstreams written in the settings; empty when the host list has them. */
  readonly upstreams: readonly UpstreamSettings[];
  /** Take upstreams from the platform's host list. */
  readonly upstreamsFromHostList: boolean;
  /** 0: only goodput counts; 1: only wasted prefill counts. */
  readonly wasteWeight: number;
  readonly maxQueued: number;
  /** Retries allowed as a share of requests. */
  readonly retryBudget: number;
}

export interface ModelServiceSettings extends ServiceBase {
  readonly kind: 'model';
  /** Names under which callers ask for this service's model. */
  readonly models: readonly string[];
  /** Whether the engines refuse orders with an old fencing number. */
  readonly enginesCheckFences: boolean;
  /** How long a finished answer is kept for a repeat with the same key. */
  readonly keepAnswersMs: number;
}

export interface PlainServiceSettings extends ServiceBase {
  readonly kind: 'plain';
  /** Calls that may not be repeated; all others may be. */
  readonly nonRepeatable: readonly CallPattern[];
  /** How long a journalled answer is kept. */
  readonly keepAnswersMs: number;
}

export type ServiceSettings = ModelServiceSettings | PlainServiceSettings;

/** `method` is upper case or `*`; `path` may end in `*`. */
export interface CallPattern {
  readonly method: string;
  readonly path: string;
}

export interface UpstreamSettings {
  readonly id: string;
  readonly address: string;
  readonly failureDomain: string;
  /** Model engines only. */
  readonly role?: 'prefill' | 'decode';
}

export interface AccountSettings {
  readonly name: string;
  /** SHA-256 of each caller key, hexadecimal. */
  readonly keySha256: readonly string[];
  readonly services: readonly string[];
  readonly requestsPerSecond: number;
  readonly maxConcurrent: number;
  /** Share when engines are scarce. */
  readonly weight: number;
  readonly requestClass: 'interactive' | 'patient';
}

export interface FailureDomainSettings {
  readonly name: string;
}

export interface LimitSettings {
  readonly maxBodyBytes: number;
  readonly maxHeaderBytes: number;
  readonly maxConnections: number;
  readonly maxStreams: number;
  readonly bodyTimeoutMs: number;
}

/** Everything a process needs to know beside its own host file. */
export interface Settings {
  readonly site: string;
  readonly failureDomains: readonly FailureDomainSettings[];
  readonly services: readonly ServiceSettings[];
  readonly accounts: readonly AccountSettings[];
  readonly limits: LimitSettings;
  /** Leases and membership; see the operators' reference. */
  readonly coordination: CoordinationSettings;
}

export interface CoordinationSettings {
  readonly leaseMs: number;
  /** Bound on the difference of clock rates between hosts, as a share. */
  readonly clockRateError: number;
  readonly probeIntervalMs: number;
  readonly suspicionMs: number;
  readonly journalPartitions: number;
  readonly journalFlushMs: number;
  /** Table writes a second that the whole fleet may use. */
  readonly tableWritesPerSecond: number;
  readonly tableReadsPerSecond: number;
  /** How long a caller may keep a list of entries. */
  readonly directoryTtlMs: number;
}

/** What a process learns from its host file or flags. */
export interface HostSettings {
  readonly hostId: string;
  /** The site that the host stands in. */
  readonly site: string;
  readonly failureDomain: string;
  /** Address callers connect to, `ip:port`. */
  readonly callerAddress: string;
  /** Address for our own processes and operators, TCP and UDP, `ip:port`. */
  readonly peerAddress: string;
  /** Base URL of the platform. */
  readonly platformUrl: string;
  /** Shared secret between our own processes. */
  readonly peerKey: string;
  /** Secret that operators show. */
  readonly operatorKey: string;
}
