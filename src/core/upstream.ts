/** What the platform's list says of engines and plain services. */

import type {StoreRevision} from './store_revision.js';

export type UpstreamRole = 'prefill' | 'decode';

/**
 * Upstreams of which a host keeps what they said, the latest ones. It outlives
 * their entries, which may lapse and return; an id is never used again.
 */
export const MOST_REMEMBERED = 4_096;

/** One upstream as the list shows it. */
export interface Upstream {
  /** New with each start of the upstream: names one of its lives. */
  readonly id: string;
  /** What the upstream calls itself; it may keep that over a restart. */
  readonly name: string;
  /** Unix time of its start, where upstreams tell. */
  readonly startedAtMs?: number;
  readonly service: string;
  /** `ip:port`; may be used again by another upstream later. */
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly isDraining: boolean;
  /**
   * Changes with each sign of life that the upstream gives the list; with a
   * change of the era alone it gives none.
   */
  readonly heartbeat: StoreRevision;
  /** Present for model engines. */
  readonly role?: UpstreamRole;
}

/** The whole list as of one moment of the store. */
export interface UpstreamSnapshot {
  readonly revision: StoreRevision;
  readonly upstreams: readonly Upstream[];
}
