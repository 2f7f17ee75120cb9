/**
 * Detects requests that crash their upstreams, and quarantines them before they
 * crash one upstream after another.
 *
 * A run that breaks off isn't enough evidence, since answers get lost and
 * connections are reset. It counts if its upstream turns out to have ended, and
 * no longer if the upstream turns out to be alive.
 */

import {createBoundedMap} from '../../core/bounded_map.js';
import type {RequestError} from '../../core/error_kinds.js';
import type {Upstream} from '../../core/upstream.js';
import type {Clock, TimerHandle} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {RelayRequest, UpstreamPort} from '../../ports/relay.js';
import {
  createQuarantine,
  defaultQuarantineOptions,
  type LossFact,
} from '../../request/quarantine.js';
import type {RelayMetrics} from '../relay_metrics.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';
import {createEndDetector, type EndEvidence} from './end_detector.js';
import type {HeartbeatState} from './heartbeat_log.js';
import {createListEvidence} from './list_evidence.js';
import {createLossReports, isLossFact} from './loss_reports.js';
import {fingerprintOf} from './request_fingerprint.js';
import {createRunLog, type Run, type RunLog, type Suspect} from './run_log.js';
import {createTrials} from './trials.js';
import type {RunEnd, WatchedRun} from './watched_upstream_port.js';

export interface CrashWatchHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: Pick<RelayMetrics, 'count'>;
  readonly upstreamPort: Pick<UpstreamPort, 'probe'>;
  readonly registry: Pick<
    UpstreamRegistry,
    'get' | 'leaving' | 'snapshot' | 'markUnreachable'
  >;
  /** Whether this host decides on trials of a quarantined request. */
  isTrialOwner(fingerprint: string): boolean;
  /** Called when there are losses that peers need to know. */
  onChange(): void;
}

export interface CrashWatch {
  /** Watches a run from its send on. */
  startRun(request: RelayRequest, upstream: Upstream): WatchedRun;
  /** What the runs of this host show of their upstreams. */
  readonly runs: Pick<
    RunLog,
    'lastSeenAtMs' | 'openSilences' | 'wasSilentSince'
  >;
  /** The list of upstreams was read or has changed. */
  noteList(): void;
  /**
   * Returns the error for a request that has crashed too many upstreams to run
   * again.
   */
  findRefusal(request: RelayRequest): RequestError | undefined;
  /**
   * Calls `onRefusal` if the request is found to crash upstreams before it was
   * sent to any. The returned function ends this.
   */
  watchWaiting(
    request: RelayRequest,
    onRefusal: (error: RequestError) => void,
  ): () => void;
  /** Returns losses of upstreams for the next datagram to peers. */
  takeFacts(): readonly LossFact[];
  /** Applies losses that a peer sent; ignores invalid ones. */
  applyFacts(facts: readonly unknown[]): void;
  /** Number of requests with losses, whether quarantined or not. */
  suspectCount(): number;
  quarantinedCount(): number;
}

const MAX_FINGERPRINTS = 1_000;
/** Runs with an upstream that sends nothing for this long are investigated. */
const SILENCE_MS = 1_000;
const SILENCE_TICK_MS = 250;
/** An answer to a call sent this much later shows that it has not ended. */
const ALIVE_MARGIN_MS = 50;
/**
 * A request that crashes upstreams never completes. Others that are sent often
 * have runs at most upstreams that end, and have completed elsewhere.
 */
const HARMLESS_MS = 5_000;
/**
 * Within this time, an upstream that is alive has been seen to be by other
 * hosts.
 */
const CONFIRMATION_MS = 2_500;

export function createCrashWatch(host: CrashWatchHost): CrashWatch {
  const {clock, log, metrics, upstreamPort, registry} = host;
  let silenceTimer: TimerHandle | undefined;
  /** When the latest complete run of a fingerprint ended. */
  const completedAtMs = createBoundedMap<number>(MAX_FINGERPRINTS);
  const runs = createRunLog({clock});
  const quarantine = createQuarantine(
    {
      clock,
      broadcast: host.onChange,
      onChange(fingerprint) {
        reports.noteChange(fingerprint);
        refuseWaiting(fingerprint);
      },
      // An upstream gets a new id at each start, so each id is lost only once.
      lossIdOf: upstreamId => upstreamId,
    },
    {...defaultQuarantineOptions, maxFingerprints: MAX_FINGERPRINTS},
  );
  const reports = createLossReports({clock, quarantine});
  const ends = createEndDetector({
    clock,
    upstreamPort,
    runs,
    mayPause: (upstream, sinceMs) =>
      pauseRules[list.heartbeatsSince(upstream, sinceMs)](upstream, sinceMs),
    onEnded: blame,
    onAnswered: ({id}) => log.info('Upstream answers a probe.', {upstream: id}),
  });
  const trials = createTrials({clock, isOwner: host.isTrialOwner});
  const list = createListEvidence({
    clock,
    registry,
    upstreamsWithRuns: runs.upstreams,
    endedAtMs: quarantine.lostAtMs,
    onEnded: ends.conclude,
    onAlive: upstreamId => noteAlive(upstreamId, clock.nowMs()),
  });

  /** Whether an upstream that answers nothing may pause, by its heartbeats. */
  const pauseRules: Readonly<
    Record<HeartbeatState, (upstream: Upstream, sinceMs: number) => boolean>
  > = {
    beating: () => true,
    pending: () => true,
    stopped: ({id}, sinceMs) => runs.isSilenceShared(id, sinceMs),
    unknown: ({id}, sinceMs) => runs.isSilenceShared(id, sinceMs),
  };

  /** Admitted requests that were not sent yet. */
  const waiting = new Map<RelayRequest, (error: RequestError) => void>();

  const isQuarantined = (fingerprint: string) =>
    quarantine.verdict(fingerprint) === 'quarantined';

  function findRefusal(request: RelayRequest): RequestError | undefined {
    if (!quarantine.hasSuspects()) return undefined;
    const fingerprint = fingerprintOf(request);
    if (!isQuarantined(fingerprint)) return undefined;
    const losses = quarantine.countedLosses(fingerprint);
    if (trials.admit(fingerprint, request.requestId, losses)) return undefined;
    const confirmedInMs = losses.latestAtMs + CONFIRMATION_MS - clock.nowMs();
    if (confirmedInMs <= 0) {
      return {kind: 'quarantined', detail: 'It is not run again.'};
    }
    return {
      kind: 'suspected',
      detail: 'It is not known yet whether it crashed them.',
      retryAfterMs: confirmedInMs,
    };
  }

  function refuseWaiting(fingerprint: string): void {
    if (!isQuarantined(fingerprint)) return;
    for (const [request, onRefusal] of [...waiting]) {
      const error = findRefusal(request);
      if (!error) continue;
      waiting.delete(request);
      onRefusal(error);
    }
  }

  function findSuspects(
    upstreamId: string,
    evidence: EndEvidence,
  ): readonly Suspect[] {
    const cut = runs.takeCut(upstreamId);
    // A run may outlive a peer's connection to the upstream.
    const open = evidence === 'peer' ? [] : runs.inProgress(upstreamId);
    return [...cut, ...open].filter(
      ({fingerprint}) => !isHarmless(fingerprint),
    );
  }

  function blame(
    {id}: Upstream,
    evidence: EndEvidence,
    endedAtMs: number,
  ): void {
    const suspects = findSuspects(id, evidence);
    const fields = {upstream: id, evidence};
    if (list.isLeaving(id)) {
      log.info('Upstream left during requests.', fields);
      return;
    }
    // Other ends cost the next call no time, or are known to the registry.
    if (evidence === 'no-answer') registry.markUnreachable(id);
    for (const {fingerprint} of suspects) {
      quarantine.recordLoss(fingerprint, id, endedAtMs);
    }
    for (const {requestId, fingerprint, sharedParts} of suspects) {
      log.warn('Upstream ended during a request.', {
        ...fields,
        request: requestId,
        fingerprint,
        sharedParts: sharedParts.join(',') || undefined,
        verdict: quarantine.verdict(fingerprint),
        suspects: suspects.length,
      });
    }
  }

  /** The upstream was alive at that time. */
  function noteAlive(upstreamId: string, atMs: number): void {
    const endedAtMs = quarantine.lostAtMs(upstreamId);
    if (endedAtMs === undefined || atMs <= endedAtMs + ALIVE_MARGIN_MS) return;
    quarantine.clearLoss(upstreamId);
    log.info('Upstream counted as ended is alive.', {upstream: upstreamId});
  }

  /** Whether a run of the request has completed recently. */
  function isHarmless(fingerprint: string): boolean {
    const atMs = completedAtMs.get(fingerprint);
    return atMs !== undefined && clock.nowMs() - atMs < HARMLESS_MS;
  }

  function noteComplete(request: RelayRequest): void {
    const fingerprint = fingerprintOf(request);
    completedAtMs.set(fingerprint, clock.nowMs());
    if (!quarantine.hasSuspects()) return;
    if (quarantine.verdict(fingerprint) === 'clear') return;
    quarantine.clear(fingerprint);
    log.info('Losses cleared by a complete run.', {
      request: request.requestId,
      fingerprint,
    });
  }

  function noteAnswer(run: Run): void {
    runs.noteAnswer(run);
    noteAlive(run.upstream.id, run.startedAtMs);
  }

  function cut(run: Run): void {
    runs.cut(run);
    const {request} = run;
    if (!quarantine.hasSuspects()) return;
    trials.end(fingerprintOf(request), request.requestId);
  }

  function checkSilence(): void {
    silenceTimer = undefined;
    for (const {upstream, sinceMs} of runs.silent(SILENCE_MS)) {
      ends.investigate(upstream, sinceMs);
    }
    if (runs.upstreams().length > 0) startSilenceTimer();
  }

  function startSilenceTimer(): void {
    silenceTimer ??= clock.setTimer(SILENCE_TICK_MS, checkSilence);
  }

  const endHandlers: Readonly<Record<RunEnd, (run: Run) => void>> = {
    complete(run) {
      runs.end(run);
      noteComplete(run.request);
    },
    answered: runs.end,
    'not-run': runs.end,
    rejected(run) {
      noteAnswer(run);
      runs.end(run);
    },
    replaced(run) {
      runs.end(run);
      ends.conclude(run.upstream, 'address-taken');
    },
    broken(run) {
      cut(run);
      ends.investigate(run.upstream, clock.nowMs());
    },
    abandoned: cut,
  };

  function applyFact(fact: LossFact): void {
    const {fingerprint} = fact;
    const wasQuarantined = isQuarantined(fingerprint);
    const newLossIds = quarantine.mergeFact(fact);
    for (const lossId of newLossIds) checkPeerLoss(lossId);
    if (isHarmless(fingerprint)) quarantine.clear(fingerprint);
    if (wasQuarantined || !isQuarantined(fingerprint)) return;
    log.info('Request quarantined by a peer.', {
      fingerprint,
      upstreams: fact.lossIds.join(','),
    });
  }

  /** Compares the word of a peer with what this host saw of the upstream. */
  function checkPeerLoss(upstreamId: string): void {
    const endedAtMs = quarantine.lostAtMs(upstreamId);
    if (endedAtMs === undefined) return;
    if (runs.wasAliveAfter(upstreamId, endedAtMs + ALIVE_MARGIN_MS)) {
      noteAlive(upstreamId, clock.nowMs());
      return;
    }
    const upstream = runs.find(upstreamId);
    if (upstream) ends.conclude(upstream, 'peer');
  }

  return {
    startRun(request, upstream) {
      waiting.delete(request);
      const run = runs.start(request, upstream);
      startSilenceTimer();
      let hasEnded = false;
      return {
        noteAnswer: () => noteAnswer(run),
        noteData: () => runs.noteData(run),
        end(how) {
          if (hasEnded) return;
          hasEnded = true;
          endHandlers[how](run);
        },
      };
    },
    runs,
    noteList: list.update,
    findRefusal,
    watchWaiting(request, onRefusal) {
      waiting.set(request, onRefusal);
      return () => void waiting.delete(request);
    },
    takeFacts: reports.take,
    applyFacts(facts) {
      for (const fact of facts) {
        if (isLossFact(fact)) applyFact(fact);
        else metrics.count('loss_facts_ignored');
      }
    },
    suspectCount: () => quarantine.fingerprints().length,
    quarantinedCount: () =>
      quarantine.fingerprints().filter(isQuarantined).length,
  };
}
