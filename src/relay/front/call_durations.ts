/**
 * How long the requests of each service took lately, from their send to the end
 * of the answer. Does no I/O.
 */

import type {Clock} from '../../ports/clock.js';

export interface RecentDurations {
  readonly count: number;
  readonly longestMs: number;
}

export interface CallDurations {
  /** Records a request that was answered. */
  record(service: string, durationMs: number): void;
  /** Undefined if there were none. */
  recent(service: string): RecentDurations | undefined;
}

interface Span {
  count: number;
  longestMs: number;
}

interface ServiceSpans {
  startedAtMs: number;
  current: Span;
  previous: Span;
}

/** The last one to two spans of this length count. */
const SPAN_MS = 20_000;

const emptySpan = (): Span => ({count: 0, longestMs: 0});

export function createCallDurations({
  clock,
}: {
  readonly clock: Pick<Clock, 'nowMs'>;
}): CallDurations {
  const services = new Map<string, ServiceSpans>();

  function spansOf(service: string): ServiceSpans {
    const nowMs = clock.nowMs();
    const known = services.get(service);
    if (known && nowMs - known.startedAtMs < SPAN_MS) return known;
    const isRecent = known && nowMs - known.startedAtMs < 2 * SPAN_MS;
    const spans: ServiceSpans = {
      startedAtMs: nowMs,
      current: emptySpan(),
      previous: isRecent ? known.current : emptySpan(),
    };
    services.set(service, spans);
    return spans;
  }

  return {
    record(service, durationMs) {
      const {current} = spansOf(service);
      current.count++;
      current.longestMs = Math.max(current.longestMs, durationMs);
    },
    recent(service) {
      const {current, previous} = spansOf(service);
      const count = current.count + previous.count;
      if (count === 0) return undefined;
      const longestMs = Math.max(current.longestMs, previous.longestMs);
      return {count, longestMs};
    },
  };
}
