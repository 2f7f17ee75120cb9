/**
 * Which engines are silent, as far as this host can tell: from the bytes that
 * their runs send, and from calls that ask them for an answer on a new
 * connection.
 */

import {createBoundedMap} from '../../core/bounded_map.js';
import {MAX_REMEMBERED_UPSTREAMS, type Upstream} from '../../core/upstream.js';
import type {Clock} from '../../ports/clock.js';
import type {UpstreamPort} from '../../ports/relay.js';
import type {RunLog} from '../crashes/run_log.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';

export interface EngineSilenceHost {
  readonly clock: Clock;
  readonly upstreamPort: Pick<UpstreamPort, 'probe'>;
  readonly registry: Pick<UpstreamRegistry, 'open'>;
  readonly runs: Pick<RunLog, 'lastSeenAtMs' | 'openSilences'>;
}

export interface EngineSilence {
  /** Probes an engine whose run is silent, and some others of its service. */
  investigate(engine: Upstream): void;
  /** Whether the engine has sent anything, on any connection, since then. */
  wasAliveAfter(engineId: string, atMs: number): boolean;
  /** Whether most decode engines of the service are silent. */
  isCommon(service: string): boolean;
  /** Resolves to whether the engine sends something or answers a probe. */
  answers(engine: Upstream): Promise<boolean>;
}

/** What probes have shown of an engine. */
interface ProbeRecord {
  readonly sentAtMs: number;
  /** When the first of the probes was sent that had no answer so far. */
  readonly unansweredSinceMs?: number;
  /** When the latest answered probe was sent. */
  readonly answeredCallAtMs: number;
  readonly answeredAtMs: number;
  /** Settles with the probe that is in progress. */
  readonly pending?: Promise<void>;
}

/** Decode engines send several events in this time, unless they preempt. */
const SILENT_MS = 500;
/** A probe that is not answered for this long shows a silent engine. */
const PROBE_SILENT_MS = 300;
/** What a probe has shown is out of date after this time. */
const PROBE_VALID_MS = 2_000;
/** Others are probed until this many are known to be silent or not. */
const MIN_KNOWN = 4;
/** Fewer silent engines may be silent for reasons of their own. */
const MIN_COMMON = 2;
/** An engine seen within this time needs no probe before it gets a run. */
const JUST_SEEN_MS = 250;
/** Includes the way by a peer, which is asked if there is no answer at first. */
const ANSWER_WAIT_MS = 600;
/** Events of runs that share a step of the engine arrive this close together. */
const SAME_STEP_MS = 150;
const NOT_PROBED: ProbeRecord = {
  sentAtMs: Number.NEGATIVE_INFINITY,
  answeredCallAtMs: Number.NEGATIVE_INFINITY,
  answeredAtMs: Number.NEGATIVE_INFINITY,
};

export function createEngineSilence(host: EngineSilenceHost): EngineSilence {
  const {clock, registry, runs} = host;
  const probes = createBoundedMap<ProbeRecord>(MAX_REMEMBERED_UPSTREAMS);

  const recordOf = (engineId: string) => probes.get(engineId) ?? NOT_PROBED;

  const seenAtMs = (engineId: string) =>
    Math.max(runs.lastSeenAtMs(engineId), recordOf(engineId).answeredAtMs);

  const wasSeenWithin = (engineId: string, durationMs: number) =>
    clock.nowMs() - seenAtMs(engineId) < durationMs;

  const isCurrent = ({sentAtMs}: ProbeRecord) =>
    clock.nowMs() - sentAtMs < PROBE_VALID_MS;

  function endProbe(engineId: string, sentAtMs: number, isAnswered: boolean) {
    const ended = {...recordOf(engineId), pending: undefined};
    if (!isAnswered) return void probes.set(engineId, ended);
    probes.set(engineId, {
      ...ended,
      unansweredSinceMs: undefined,
      answeredCallAtMs: sentAtMs,
      answeredAtMs: clock.nowMs(),
    });
  }

  /** Sends a probe, unless one is in progress; resolves at its end. */
  function probe(engine: Upstream): Promise<void> {
    const before = recordOf(engine.id);
    if (before.pending) return before.pending;
    const sentAtMs = clock.nowMs();
    const earlierMs = isCurrent(before) ? before.unansweredSinceMs : undefined;
    const pending = host.upstreamPort
      .probe(engine)
      .then(outcome => endProbe(engine.id, sentAtMs, outcome === 'answered'));
    probes.set(engine.id, {
      ...before,
      sentAtMs,
      unansweredSinceMs: earlierMs ?? sentAtMs,
      pending,
    });
    return pending;
  }

  /** Undefined if nothing recent is known of the engine. */
  function isSilent(
    engineId: string,
    openSilences: ReadonlyMap<string, number>,
  ): boolean | undefined {
    if (wasSeenWithin(engineId, SILENT_MS)) return false;
    if ((openSilences.get(engineId) ?? 0) >= SILENT_MS) return true;
    const record = recordOf(engineId);
    const sinceMs = record.unansweredSinceMs ?? Number.POSITIVE_INFINITY;
    const isUnanswered = clock.nowMs() - sinceMs >= PROBE_SILENT_MS;
    return isCurrent(record) && isUnanswered ? true : undefined;
  }

  /** By engine; undefined where nothing recent is known. */
  function readDecodeEngines(service: string) {
    const openSilences = runs.openSilences();
    return registry
      .open(service)
      .filter(({role}) => role === 'decode')
      .map(engine => ({engine, isSilent: isSilent(engine.id, openSilences)}));
  }

  return {
    investigate(engine) {
      void probe(engine);
      const others = readDecodeEngines(engine.service).filter(
        each => each.engine.id !== engine.id,
      );
      const unknown = others.filter(each => each.isSilent === undefined);
      const wantedCount = MIN_KNOWN - (others.length - unknown.length);
      unknown
        .slice(0, Math.max(0, wantedCount))
        .forEach(each => void probe(each.engine));
    },
    wasAliveAfter(engineId, atMs) {
      const {answeredCallAtMs} = recordOf(engineId);
      const hasSent = runs.lastSeenAtMs(engineId) > atMs + SAME_STEP_MS;
      return answeredCallAtMs > atMs || hasSent;
    },
    isCommon(service) {
      const known = readDecodeEngines(service).filter(
        each => each.isSilent !== undefined,
      );
      const silentCount = known.filter(each => each.isSilent).length;
      return silentCount >= MIN_COMMON && 2 * silentCount >= known.length;
    },
    async answers(engine) {
      if (wasSeenWithin(engine.id, JUST_SEEN_MS)) return true;
      if (isSilent(engine.id, runs.openSilences())) return false;
      const soon = new Promise<void>(resolve => {
        clock.setTimer(ANSWER_WAIT_MS, resolve);
      });
      await Promise.race([probe(engine), soon]);
      return wasSeenWithin(engine.id, ANSWER_WAIT_MS);
    },
  };
}
