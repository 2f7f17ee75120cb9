/** Streams that have begun, and at which version of their engines. */

import {createBoundedMap} from '../../core/bounded_map.js';
import type {Clock} from '../../ports/clock.js';

/** Where a stream began. */
export interface StreamOrigin {
  /** Id of the caller's attempt that brought its first event. */
  readonly requestId: string;
  readonly route: string;
  /** Client account of the caller, if it has one. */
  readonly account?: string;
  readonly service: string;
  /** Software version of its engine. */
  readonly version: string;
  /** Time until the caller's deadline. */
  readonly leftMs: number;
  /** Time since the first event. */
  readonly ageMs: number;
}

export interface StreamOrigins {
  /** Keeps the origin; `isShared` if other hosts know it, too. */
  add(origin: StreamOrigin, isShared: boolean): void;
  find(requestId: string): StreamOrigin | undefined;
  /** All that are kept. */
  list(): readonly StreamOrigin[];
  /** Returns those of the service that no other host knows, and marks them. */
  takeUnshared(service: string): readonly StreamOrigin[];
  count(): number;
}

const MAX_ORIGINS = 8_192;
/** Also for callers that name a later deadline, or none. */
const MAX_KEPT_MS = 120_000;

interface KeptOrigin {
  readonly origin: StreamOrigin;
  readonly addedAtMs: number;
  readonly isShared: boolean;
}

export function createStreamOrigins({
  clock,
}: {
  readonly clock: Clock;
}): StreamOrigins {
  const kept = createBoundedMap<KeptOrigin>(MAX_ORIGINS);

  /** The origin with its present ages; undefined once its deadline passed. */
  function toCurrent({
    origin,
    addedAtMs,
  }: KeptOrigin): StreamOrigin | undefined {
    const elapsedMs = clock.nowMs() - addedAtMs;
    const leftMs = origin.leftMs - elapsedMs;
    if (leftMs <= 0) return undefined;
    return {...origin, leftMs, ageMs: origin.ageMs + elapsedMs};
  }

  function dropExpired(): void {
    for (const [requestId, entry] of [...kept.entries()]) {
      if (!toCurrent(entry)) kept.delete(requestId);
    }
  }

  function listEntries(): readonly KeptOrigin[] {
    dropExpired();
    return [...kept.entries()].map(([, entry]) => entry);
  }

  const toOrigins = (entries: readonly KeptOrigin[]) =>
    entries.map(toCurrent).filter(each => each !== undefined);

  return {
    add(origin, isShared) {
      const leftMs = Math.min(origin.leftMs, MAX_KEPT_MS);
      kept.set(origin.requestId, {
        origin: {...origin, leftMs},
        addedAtMs: clock.nowMs(),
        isShared,
      });
    },
    find(requestId) {
      const entry = kept.get(requestId);
      return entry && toCurrent(entry);
    },
    list: () => toOrigins(listEntries()),
    takeUnshared(service) {
      const unshared = listEntries().filter(
        ({origin, isShared}) => !isShared && origin.service === service,
      );
      for (const entry of unshared) {
        kept.set(entry.origin.requestId, {...entry, isShared: true});
      }
      return toOrigins(unshared);
    },
    count: () => listEntries().length,
  };
}
