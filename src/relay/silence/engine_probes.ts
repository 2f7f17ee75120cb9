/**
 * What engines answer on new connections. All silent calls of this host share
 * the probes of an engine.
 */

import {createBoundedMap} from '../../core/bounded_map.js';
import {MAX_REMEMBERED_UPSTREAMS, type Upstream} from '../../core/upstream.js';
import type {Clock} from '../../ports/clock.js';
import type {ProbeOutcome, UpstreamPort} from '../../ports/relay.js';

export interface EngineProbesHost {
  readonly clock: Clock;
  readonly upstreamPort: Pick<UpstreamPort, 'probe'>;
}

export interface EngineProbes {
  /** Sends a probe unless one is in progress; resolves at its end. */
  probe(engine: Upstream): Promise<void>;
  /** Sends a probe unless one is in progress or was sent a moment ago. */
  ask(engine: Upstream): void;
  /** Whether a probe was sent within this time. */
  wasAskedWithin(engineId: string, durationMs: number): boolean;
  /** Whether an answer arrived within this time. */
  hasAnsweredWithin(engineId: string, durationMs: number): boolean;
  /** Whether a probe that was sent later than `atMs` has been answered. */
  hasAnsweredSince(engineId: string, atMs: number): boolean;
  /** Whether an answer arrived within this time that was waited for. */
  hasWokenWithin(engineId: string, durationMs: number): boolean;
  /** How long recent probes have had no answer; undefined without such. */
  unansweredMs(engineId: string): number | undefined;
  /** Whether a probe since `atMs` found that the engine has ended. */
  hasEndedSince(engineId: string, atMs: number): boolean;
}

interface ProbeRecord {
  readonly sentAtMs: number;
  /** When the first of the probes was sent that had no answer so far. */
  readonly unansweredSinceMs?: number;
  /** When the latest answered probe was sent. */
  readonly answeredCallAtMs: number;
  readonly answeredAtMs: number;
  /** When the latest answer arrived that was waited for. */
  readonly wokenAtMs: number;
  readonly endedAtMs: number;
  /** Settles with the probe that is in progress. */
  readonly pending?: Promise<void>;
}

const ASK_INTERVAL_MS = 200;
/** An answer after this time may be that of an engine which has just woken. */
const LATE_ANSWER_MS = 25;
/** What probes have shown is out of date after this time. */
const VALID_MS = 2_000;
const NOT_PROBED: ProbeRecord = {
  sentAtMs: Number.NEGATIVE_INFINITY,
  answeredCallAtMs: Number.NEGATIVE_INFINITY,
  answeredAtMs: Number.NEGATIVE_INFINITY,
  wokenAtMs: Number.NEGATIVE_INFINITY,
  endedAtMs: Number.NEGATIVE_INFINITY,
};

/** What an outcome shows, by when its probe was sent and ended. */
const FINDINGS: Readonly<
  Record<
    ProbeOutcome,
    (sentAtMs: number, nowMs: number) => Partial<ProbeRecord>
  >
> = {
  answered: (sentAtMs, nowMs) => ({
    answeredCallAtMs: sentAtMs,
    answeredAtMs: nowMs,
    unansweredSinceMs: undefined,
  }),
  'other-instance': (_, nowMs) => ({endedAtMs: nowMs}),
  refused: (_, nowMs) => ({endedAtMs: nowMs}),
  'no-answer': () => ({}),
};

export function createEngineProbes(host: EngineProbesHost): EngineProbes {
  const {clock, upstreamPort} = host;
  const records = createBoundedMap<ProbeRecord>(MAX_REMEMBERED_UPSTREAMS);

  const recordOf = (engineId: string) => records.get(engineId) ?? NOT_PROBED;

  const isCurrent = ({sentAtMs}: ProbeRecord) =>
    clock.nowMs() - sentAtMs < VALID_MS;

  async function send(engine: Upstream, sentAtMs: number): Promise<void> {
    const outcome = await upstreamPort.probe(engine);
    const before = recordOf(engine.id);
    const nowMs = clock.nowMs();
    const {unansweredSinceMs = sentAtMs} = before;
    const hasWoken =
      outcome === 'answered' && nowMs - unansweredSinceMs >= LATE_ANSWER_MS;
    records.set(engine.id, {
      ...before,
      ...FINDINGS[outcome](sentAtMs, nowMs),
      wokenAtMs: hasWoken ? nowMs : before.wokenAtMs,
      pending: undefined,
    });
  }

  function probe(engine: Upstream): Promise<void> {
    const before = recordOf(engine.id);
    if (before.pending) return before.pending;
    const sentAtMs = clock.nowMs();
    const earlierMs = isCurrent(before) ? before.unansweredSinceMs : undefined;
    const pending = send(engine, sentAtMs);
    records.set(engine.id, {
      ...before,
      sentAtMs,
      unansweredSinceMs: earlierMs ?? sentAtMs,
      pending,
    });
    return pending;
  }

  const wasAskedWithin = (engineId: string, durationMs: number) =>
    clock.nowMs() - recordOf(engineId).sentAtMs < durationMs;

  return {
    probe,
    ask(engine) {
      if (!wasAskedWithin(engine.id, ASK_INTERVAL_MS)) void probe(engine);
    },
    wasAskedWithin,
    hasAnsweredWithin: (engineId, durationMs) =>
      clock.nowMs() - recordOf(engineId).answeredAtMs < durationMs,
    hasWokenWithin: (engineId, durationMs) =>
      clock.nowMs() - recordOf(engineId).wokenAtMs < durationMs,
    hasAnsweredSince: (engineId, atMs) =>
      recordOf(engineId).answeredCallAtMs > atMs,
    unansweredMs(engineId) {
      const record = recordOf(engineId);
      const {unansweredSinceMs} = record;
      if (unansweredSinceMs === undefined || !isCurrent(record)) {
        return undefined;
      }
      return clock.nowMs() - unansweredSinceMs;
    },
    hasEndedSince: (engineId, atMs) => recordOf(engineId).endedAtMs >= atMs,
  };
}
