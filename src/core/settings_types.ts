/**
 * Types of the settings after the base and the site overlay are merged and
 * checked. `settings_schema.ts` defines their YAML schema.
 */

/** Latency targets of a service, for 95 % of requests. */
export interface LatencyTargets {
  /** Time to first token. Model services only. */
  readonly ttftMs: number;
  /** Time between tokens. Model services only. */
  readonly tokenIntervalMs: number;
  /** Longest wait for the whole answer. */
  readonly waitMs: number;
}

interface ServiceBase {
  readonly name: string;
  readonly targets: LatencyTargets;
  /** Upstreams in the settings; empty if they are in the host list. */
  readonly upstreams: readonly UpstreamSettings[];
  /** Whether upstreams are read from the platform's host list. */
  readonly upstreamsFromHostList: boolean;
  /** 0 optimizes goodput only, 1 wasted prefills only. */
  readonly wasteWeight: number;
  readonly maxQueued: number;
  /** Retries allowed as a share of requests. */
  readonly retryBudget: number;
}

export interface ModelServiceSettings extends ServiceBase {
  readonly kind: 'model';
  /** Names by which callers request this service's model. */
  readonly models: readonly string[];
  /** Whether the engines reject orders with an old fencing token. */
  readonly enginesCheckFences: boolean;
  /** How long a completed answer is kept for a repeat with the same key. */
  readonly keepAnswersMs: number;
}

export interface PlainServiceSettings extends ServiceBase {
  readonly kind: 'plain';
  /** Calls that must not be repeated. */
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

/** All settings of a process except those of its host file. */
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
  /** Bound on the relative difference of clock rates between hosts. */
  readonly clockRateError: number;
  readonly probeIntervalMs: number;
  readonly suspicionMs: number;
  readonly journalPartitions: number;
  readonly journalFlushMs: number;
  /** Limit of table writes per second for the whole fleet. */
  readonly tableWritesPerSecond: number;
  readonly tableReadsPerSecond: number;
  /** How long a caller may cache a list of entries. */
  readonly directoryTtlMs: number;
}

/** Settings of a process from its host file or flags. */
export interface HostSettings {
  readonly hostId: string;
  /** Site of the host. */
  readonly site: string;
  readonly failureDomain: string;
  /** Address for callers, `ip:port`. */
  readonly callerAddress: string;
  /** Address for peers and operators, TCP and UDP, `ip:port`. */
  readonly peerAddress: string;
  /** Base URL of the platform. */
  readonly platformUrl: string;
  /** Secret shared by all processes. */
  readonly peerKey: string;
  /** Secret of the operators. */
  readonly operatorKey: string;
}
