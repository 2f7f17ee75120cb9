/** Engines and plain services in the platform's list. */

import type {StoreRevision} from './store_revision.js';

export type UpstreamRole = 'prefill' | 'decode';

/**
 * Maximum number of upstreams whose reported state a host keeps. The state
 * outlives their list entries, which may expire and return; ids are not reused.
 */
export const MAX_REMEMBERED_UPSTREAMS = 4_096;

/** An upstream as it appears in the list. */
export interface Upstream {
  /** Identifies one run of the upstream; new with each start. */
  readonly id: string;
  /** Name chosen by the upstream, which may stay the same after a restart. */
  readonly name: string;
  /** Unix time of its start in ms, if reported. */
  readonly startedAtMs?: number;
  readonly service: string;
  /** `ip:port`; may later be reused by another upstream. */
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly isDraining: boolean;
  /**
   * Changes with each heartbeat of the upstream. A change of the era alone is
   * not a heartbeat.
   */
  readonly heartbeat: StoreRevision;
  /** Present for model engines. */
  readonly role?: UpstreamRole;
  /**
   * Version of its software; empty if it reports none. Absent if the list came
   * from a host whose build doesn't read it.
   */
  readonly version?: string;
}

/** The complete list at one revision of the store. */
export interface UpstreamSnapshot {
  readonly revision: StoreRevision;
  readonly upstreams: readonly Upstream[];
}
