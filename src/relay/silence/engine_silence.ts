/**
 * Which engines are silent, as far as this host can tell: from the bytes that
 * their runs send, and from calls that ask them for an answer on a new
 * connection.
 */

import type {Upstream} from '../../core/upstream.js';
import type {Clock} from '../../ports/clock.js';
import type {RunLog} from '../crashes/run_log.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';
import type {EngineProbes} from './engine_probes.js';
import type {RunReports} from './run_reports.js';

export interface EngineSilenceHost {
  readonly clock: Clock;
  readonly probes: EngineProbes;
  readonly reports: RunReports;
  readonly registry: Pick<UpstreamRegistry, 'open'>;
  readonly runs: Pick<
    RunLog,
    'lastSeenAtMs' | 'openSilences' | 'wasSilentSince'
  >;
}

export interface EngineSilence {
  /** What engines report of silent runs. */
  readonly reports: RunReports;
  /** Probes an engine whose run is silent, and some others of its service. */
  investigate(engine: Upstream): void;
  /** Whether the engine has sent anything, on any connection, since then. */
  wasAliveAfter(engineId: string, atMs: number): boolean;
  /** Whether the engine has sent anything or answered a probe since then. */
  hasRespondedSince(engineId: string, atMs: number): boolean;
  /** Whether a long silence of the engine has ended since then. */
  wasSilentSince(engineId: string, atMs: number): boolean;
  /** Whether most decode engines of the service are silent. */
  isCommon(service: string): boolean;
  /**
   * Resolves to whether the engine sends something or answers a probe, and has
   * been awake for a moment.
   */
  answers(engine: Upstream): Promise<boolean>;
}

/** Decode engines send several events in this time, unless they preempt. */
const SILENT_MS = 500;
/** A probe that is not answered for this long shows a silent engine. */
const PROBE_SILENT_MS = 300;
/** Others are probed until this many are known to be silent or not. */
const MIN_KNOWN = 4;
/** Fewer silent engines may be silent for reasons of their own. */
const MIN_COMMON = 2;
/** An engine seen within this time needs no probe before it gets a run. */
const JUST_SEEN_MS = 250;
/** Includes the way by a peer, which is asked if there is no answer at first. */
const ANSWER_WAIT_MS = 600;
/**
 * Engines that paused together go on together, but one of them answers first.
 * It replaces none of the others before it has been awake for this time.
 */
const AWAKE_MS = 250;
/** Events of runs that share a step of the engine arrive this close together. */
const SAME_STEP_MS = 150;
export function createEngineSilence(host: EngineSilenceHost): EngineSilence {
  const {clock, registry, runs, probes} = host;

  const wasSeenWithin = (engineId: string, durationMs: number) =>
    clock.nowMs() - runs.lastSeenAtMs(engineId) < durationMs ||
    probes.hasAnsweredWithin(engineId, durationMs);

  const isProbeSilent = (engineId: string) =>
    (probes.unansweredMs(engineId) ?? 0) >= PROBE_SILENT_MS;

  /** Undefined if nothing recent is known of the engine. */
  function isSilent(
    engineId: string,
    openSilences: ReadonlyMap<string, number>,
  ): boolean | undefined {
    if (wasSeenWithin(engineId, SILENT_MS)) return false;
    if ((openSilences.get(engineId) ?? 0) >= SILENT_MS) return true;
    return isProbeSilent(engineId) ? true : undefined;
  }

  /** Silent runs alone may be those of dead connections. */
  const needsProbe = (engineId: string, isSilent?: boolean) =>
    isSilent === undefined ||
    (isSilent &&
      !isProbeSilent(engineId) &&
      !probes.wasAskedWithin(engineId, SILENT_MS));

  /** By engine; undefined where nothing recent is known. */
  function readDecodeEngines(service: string) {
    const openSilences = runs.openSilences();
    return registry
      .open(service)
      .filter(({role}) => role === 'decode')
      .map(engine => ({engine, isSilent: isSilent(engine.id, openSilences)}));
  }

  const delay = (ms: number) =>
    new Promise<void>(resolve => {
      clock.setTimer(ms, resolve);
    });

  /** Whether the engine was seen a moment ago, or answers a probe in time. */
  async function isResponsive(engine: Upstream): Promise<boolean> {
    if (wasSeenWithin(engine.id, JUST_SEEN_MS)) return true;
    const askedAtMs = clock.nowMs();
    const isKnownSilent = isProbeSilent(engine.id);
    const answer = probes.probe(engine);
    if (isKnownSilent) return false;
    await Promise.race([answer, delay(ANSWER_WAIT_MS)]);
    return wasSeenWithin(engine.id, clock.nowMs() - askedAtMs + 1);
  }

  /** Whether the engine has sent nothing until a moment ago. */
  const hasWoken = (engineId: string): boolean =>
    probes.hasWokenWithin(engineId, AWAKE_MS) ||
    runs.wasSilentSince(engineId, clock.nowMs() - AWAKE_MS);

  return {
    reports: host.reports,
    investigate(engine) {
      void probes.probe(engine);
      const others = readDecodeEngines(engine.service).filter(
        each => each.engine.id !== engine.id,
      );
      const uncertain = others.filter(each =>
        needsProbe(each.engine.id, each.isSilent),
      );
      const wantedCount = MIN_KNOWN - (others.length - uncertain.length);
      uncertain
        .slice(0, Math.max(0, wantedCount))
        .forEach(each => void probes.probe(each.engine));
    },
    wasAliveAfter: (engineId, atMs) =>
      probes.hasAnsweredSince(engineId, atMs) ||
      runs.lastSeenAtMs(engineId) > atMs + SAME_STEP_MS,
    hasRespondedSince: (engineId, atMs) =>
      runs.lastSeenAtMs(engineId) > atMs ||
      probes.hasAnsweredWithin(engineId, clock.nowMs() - atMs),
    wasSilentSince: runs.wasSilentSince,
    isCommon(service) {
      const known = readDecodeEngines(service).filter(
        each => each.isSilent !== undefined,
      );
      const silentCount = known.filter(each => each.isSilent).length;
      return silentCount >= MIN_COMMON && 2 * silentCount >= known.length;
    },
    async answers(engine) {
      if (!(await isResponsive(engine))) return false;
      if (!hasWoken(engine.id)) return true;
      const askedAtMs = clock.nowMs();
      void probes.probe(engine);
      await delay(AWAKE_MS);
      return wasSeenWithin(engine.id, clock.nowMs() - askedAtMs + 1);
    },
  };
}
