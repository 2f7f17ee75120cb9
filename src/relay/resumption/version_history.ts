/** The software versions that each service has had, as seen in the list. */

import type {Clock} from '../../ports/clock.js';
import type {Upstream} from '../../core/upstream.js';

/** What a host has seen of a service. */
export interface SeenVersions {
  /** Versions seen within the last `observedMs`. */
  readonly versions: readonly string[];
  /** For how long the host has seen the list, up to the time asked for. */
  readonly observedMs: number;
}

export interface VersionHistory {
  /** Takes note of a list that has been read. */
  note(upstreams: readonly Upstream[]): void;
  /** What was seen within the last `windowMs`. */
  seenWithin(service: string, windowMs: number): SeenVersions;
  /** Whether a single version was seen, for all of the last `windowMs`. */
  isSingle(service: string, windowMs: number): boolean;
}

/** A version, and when it was last seen. */
interface Span {
  untilMs: number;
  isListed: boolean;
}

const NEVER: SeenVersions = {versions: [], observedMs: 0};
/** More versions of one service don't end within the life of a stream. */
export const MAX_VERSIONS = 32;
/** No stream lasts so long. */
export const KEPT_MS = 600_000;

export function createVersionHistory({
  clock,
}: {
  readonly clock: Clock;
}): VersionHistory {
  const services = new Map<string, Map<string, Span>>();
  /** By service: since when all versions in the list have been known. */
  const knownSinceMs = new Map<string, number>();

  function noteVersion({service, version}: Upstream, nowMs: number): void {
    // The list comes from a host whose build doesn't read versions.
    if (version === undefined) return void knownSinceMs.set(service, nowMs);
    if (!knownSinceMs.has(service)) knownSinceMs.set(service, nowMs);
    const spans = services.get(service) ?? new Map<string, Span>();
    services.set(service, spans);
    const span = spans.get(version);
    if (span) {
      span.isListed = true;
      span.untilMs = nowMs;
    } else if (spans.size < MAX_VERSIONS) {
      spans.set(version, {untilMs: nowMs, isListed: true});
    } else {
      knownSinceMs.set(service, nowMs);
    }
  }

  function endSpans(nowMs: number): void {
    for (const spans of services.values()) {
      for (const [version, span] of spans) {
        if (span.isListed) span.untilMs = nowMs;
        span.isListed = false;
        if (nowMs - span.untilMs > KEPT_MS) spans.delete(version);
      }
    }
  }

  function seenWithin(service: string, windowMs: number): SeenVersions {
    const sinceMs = knownSinceMs.get(service);
    const spans = services.get(service);
    if (sinceMs === undefined || !spans) return NEVER;
    const nowMs = clock.nowMs();
    const versions: string[] = [];
    for (const [version, {isListed, untilMs}] of spans) {
      if (isListed || nowMs - untilMs < windowMs) versions.push(version);
    }
    return {versions, observedMs: Math.min(nowMs - sinceMs, windowMs)};
  }

  return {
    note(upstreams) {
      const nowMs = clock.nowMs();
      endSpans(nowMs);
      for (const upstream of upstreams) noteVersion(upstream, nowMs);
    },
    seenWithin,
    isSingle(service, windowMs) {
      const {versions, observedMs} = seenWithin(service, windowMs);
      return versions.length === 1 && observedMs >= windowMs;
    },
  };
}
