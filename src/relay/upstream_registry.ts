/**
 * The upstreams of all services, from the platform's list of them.
 *
 * An entry that is missing means that its upstream has left, unless the list
 * could not be kept up: while the platform's store was away, heartbeats could
 * not arrive and entries lapsed though their upstreams live. Such entries are
 * kept until their upstreams have had time to register again.
 */

import type {Clock} from '../ports/clock.js';
import type {Logger} from '../ports/log.js';

export type UpstreamRole = 'prefill' | 'decode';

/** One upstream as the list shows it. */
export interface Upstream {
  /** New with each start of the upstream. */
  readonly id: string;
  readonly service: string;
  /** `ip:port`; may be used again by another upstream later. */
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Present for model engines. */
  readonly role?: UpstreamRole;
}

/** The whole list as of one moment of the store. */
export interface UpstreamSnapshot {
  /** The store's counter; a smaller one is an older list. */
  readonly revision: number;
  readonly upstreams: readonly Upstream[];
}

export interface UpstreamRegistryHost {
  readonly clock: Clock;
  readonly log: Logger;
}

export interface UpstreamRegistry {
  /** Takes a list over; an older one than the last is left out. */
  apply(snapshot: UpstreamSnapshot): void;
  /** The list could not be read, or heartbeats are known not to arrive. */
  noteOutage(): void;
  /** New work must not go there: it said so, or it cannot be reached. */
  markGone(id: string): void;
  revision(): number;
  isKnown(): boolean;
  /** Upstreams of a service that take new work. */
  open(service: string): readonly Upstream[];
  /** Any upstream of the list that has not left, draining ones too. */
  get(id: string): Upstream | undefined;
  /** The last list as it was read, for peers. */
  snapshot(): UpstreamSnapshot | undefined;
  onChange(listener: () => void): void;
}

/**
 * Live upstreams are listed again about two seconds after the store's return;
 * the rest is the age that a list read here may have.
 */
const REGISTER_AGAIN_MS = 2_300;
/** Failed reads closer together than this are one outage. */
const OUTAGE_MEMORY_MS = 1_500;

export function createUpstreamRegistry(
  host: UpstreamRegistryHost,
): UpstreamRegistry {
  const {clock, log} = host;
  const entries = new Map<string, Upstream>();
  /** Missing entries that may come back, with the time they are given up. */
  const lapsed = new Map<string, number>();
  const gone = new Set<string>();
  const listeners: Array<() => void> = [];
  let last: UpstreamSnapshot | undefined;
  let byService = new Map<string, Upstream[]>();
  let outageAtMs = Number.NEGATIVE_INFINITY;
  let graceUntilMs = Number.NEGATIVE_INFINITY;
  let isOutage = false;

  function rebuild(): void {
    byService = new Map();
    for (const upstream of entries.values()) {
      if (upstream.isDraining || gone.has(upstream.id)) continue;
      const known = byService.get(upstream.service);
      if (known) known.push(upstream);
      else byService.set(upstream.service, [upstream]);
    }
    for (const listener of listeners) listener();
  }

  function drop(id: string, reason: string): void {
    entries.delete(id);
    lapsed.delete(id);
    gone.delete(id);
    log.info('Upstream left.', {upstream: id, reason});
  }

  function takeMissing(listed: ReadonlySet<string>, nowMs: number): void {
    for (const id of [...entries.keys()]) {
      if (listed.has(id)) continue;
      if (nowMs >= graceUntilMs) {
        drop(id, 'no longer listed');
      } else if (!lapsed.has(id)) {
        lapsed.set(id, graceUntilMs);
        log.info('Upstream missing after an outage.', {upstream: id});
      }
    }
  }

  function takeListed(upstream: Upstream): void {
    const known = entries.get(upstream.id);
    lapsed.delete(upstream.id);
    entries.set(upstream.id, upstream);
    if (!known) {
      log.info('Upstream listed.', {
        upstream: upstream.id,
        service: upstream.service,
        address: upstream.address,
        role: upstream.role,
      });
    } else if (upstream.isDraining && !known.isDraining) {
      log.info('Upstream draining.', {upstream: upstream.id});
    }
  }

  return {
    apply(snapshot) {
      if (last && snapshot.revision < last.revision) return;
      const nowMs = clock.nowMs();
      if (isOutage) {
        isOutage = false;
        graceUntilMs = nowMs + REGISTER_AGAIN_MS;
      }
      last = snapshot;
      for (const upstream of snapshot.upstreams) takeListed(upstream);
      takeMissing(new Set(snapshot.upstreams.map(({id}) => id)), nowMs);
      rebuild();
    },
    noteOutage() {
      const nowMs = clock.nowMs();
      if (nowMs - outageAtMs > OUTAGE_MEMORY_MS && !isOutage) {
        log.warn('The list of upstreams cannot be read.', {
          revision: last?.revision,
        });
      }
      outageAtMs = nowMs;
      isOutage = true;
    },
    markGone(id) {
      if (!entries.has(id) || gone.has(id)) return;
      gone.add(id);
      log.info('Upstream taken out.', {upstream: id});
      rebuild();
    },
    revision: () => last?.revision ?? 0,
    isKnown: () => last !== undefined,
    open: service => byService.get(service) ?? [],
    get: id => entries.get(id),
    snapshot: () => last,
    onChange(listener) {
      listeners.push(listener);
    },
  };
}
