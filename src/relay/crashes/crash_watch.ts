/**
 * Detects requests, and parts of prompts, that crash their upstreams, and
 * quarantines them before they crash one upstream after another.
 *
 * A run that breaks off isn't enough evidence, since answers get lost and
 * connections are reset. It counts if its upstream turns out to have ended, and
 * no longer if the upstream turns out to be alive.
 */

import type {RequestError} from '../../core/error_kinds.js';
import type {Upstream} from '../../core/upstream.js';
import type {Clock, TimerHandle} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {RelayRequest, UpstreamPort} from '../../ports/relay.js';
import type {LossFact} from '../../request/loss_fact.js';
import {
  createQuarantine,
  defaultQuarantineOptions,
} from '../../request/quarantine.js';
import {countOfKind, type SuspectKind} from '../../request/suspect_kinds.js';
import type {EngineEnd} from '../../request/suspect_losses.js';
import type {RelayMetrics} from '../relay_metrics.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';
import {createEndDetector, type EndEvidence} from './end_detector.js';
import type {HeartbeatState} from './heartbeat_log.js';
import {createListEvidence} from './list_evidence.js';
import {createLossReports, isLossFact} from './loss_reports.js';
import {createCompletions} from './completions.js';
import {fingerprintOf, suspectKeysOf} from './request_fingerprint.js';
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
  /** Whether this host decides on trials of quarantined requests. */
  isTrialOwner(key: string): boolean;
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
  /** Whether the request is watched and was sent to no upstream. */
  isWaiting(request: RelayRequest): boolean;
  /** Returns losses of upstreams for the next datagram to peers. */
  takeFacts(): readonly LossFact[];
  /** Applies losses that a peer sent; ignores invalid ones. */
  applyFacts(facts: readonly unknown[]): void;
  /** Number of suspects of a kind, or of all, quarantined or not. */
  suspectCount(kind?: SuspectKind): number;
  quarantinedCount(kind?: SuspectKind): number;
}

const MAX_FINGERPRINTS = 1_000;
/** Runs with an upstream that sends nothing for this long are investigated. */
const SILENCE_MS = 1_000;
const SILENCE_TICK_MS = 250;
/** An answer to a call sent this much later shows that it has not ended. */
const ALIVE_MARGIN_MS = 50;
/**
 * Within this time, an upstream that is alive has been seen to be by other
 * hosts.
 */
const CONFIRMATION_MS = 2_500;

export function createCrashWatch(host: CrashWatchHost): CrashWatch {
  const {clock, log, metrics, upstreamPort, registry} = host;
  let silenceTimer: TimerHandle | undefined;
  /** Losses have changed since they were last judged. */
  let hasNewLosses = false;
  /** The suspects of each quarantine that was logged and is in force. */
  let knownCulprits: ReadonlySet<string> = new Set();
  const completions = createCompletions(clock);
  const runs = createRunLog({clock});
  const quarantine = createQuarantine(
    {
      clock,
      broadcast: host.onChange,
      onChange(key) {
        reports.noteChange(key);
        hasNewLosses = true;
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
    onUnlisted(upstreamId) {
      quarantine.confirmLoss(upstreamId);
      judge();
    },
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

  function findRefusal(request: RelayRequest): RequestError | undefined {
    if (!quarantine.hasSuspects()) return undefined;
    const culprit = quarantine.findCulprit(suspectKeysOf(request));
    if (!culprit) return undefined;
    if (trials.admit(culprit.keys[0], request.requestId, culprit)) {
      return undefined;
    }
    log.info('Request refused for crashes.', {
      request: request.requestId,
      suspects: culprit.keys.join(','),
      losses: culprit.count,
    });
    const confirmedInMs = culprit.latestAtMs + CONFIRMATION_MS - clock.nowMs();
    if (confirmedInMs <= 0) {
      return {kind: 'quarantined', detail: 'It is not run again.'};
    }
    return {
      kind: 'suspected',
      detail: 'It is not known yet whether it crashed them.',
      retryAfterMs: confirmedInMs,
    };
  }

  /** Logs new quarantines and refuses the requests that wait. */
  function judge(): void {
    if (!hasNewLosses) return;
    hasNewLosses = false;
    const culprits = quarantine.culprits();
    for (const {keys, count} of culprits) {
      const suspects = keys.join(',');
      if (knownCulprits.has(suspects)) continue;
      log.warn('Suspects quarantined.', {
        suspects,
        losses: count,
        upstreams: quarantine.fact(keys[0])?.lossIds.join(','),
      });
    }
    knownCulprits = new Set(culprits.map(({keys}) => keys.join(',')));
    if (culprits.length === 0) return;
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
    return [...cut, ...open].map(({keys, ...suspect}) => ({
      ...suspect,
      keys: keys.filter(key => !completions.isRecent(key)),
    }));
  }

  /** Records a loss of all suspects before any of them is judged. */
  function recordLosses(
    keys: ReadonlySet<string>,
    upstreamId: string,
    end: EngineEnd,
  ): void {
    quarantine.recordLosses(keys, upstreamId, end);
    if (!end.isSuspected) quarantine.confirmLoss(upstreamId);
    for (const key of keys) {
      if (completions.has(key)) quarantine.noteCompleted(key);
    }
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
    const isSuspected =
      evidence === 'no-answer' ||
      (evidence === 'peer' && quarantine.isSuspected(id));
    recordLosses(new Set(suspects.flatMap(({keys}) => keys)), id, {
      lostAtMs: endedAtMs,
      isSuspected,
    });
    judge();
    for (const {requestId, fingerprint, keys} of suspects) {
      log.warn('Upstream ended during a request.', {
        ...fields,
        request: requestId,
        fingerprint,
        suspects: keys.map(describeSuspect).join(','),
        verdict: quarantine.findCulprit(keys) ? 'quarantined' : 'suspect',
        requests: suspects.length,
      });
    }
  }

  /** The key with its number of losses that count. */
  const describeSuspect = (key: string): string =>
    `${key}(${quarantine.countedLosses(key)})`;

  /** The upstream was alive at that time. */
  function noteAlive(upstreamId: string, atMs: number): void {
    const endedAtMs = quarantine.lostAtMs(upstreamId);
    if (endedAtMs === undefined || atMs <= endedAtMs + ALIVE_MARGIN_MS) return;
    quarantine.clearLoss(upstreamId);
    judge();
    log.info('Upstream counted as ended is alive.', {upstream: upstreamId});
  }

  /** The keys are of suspects that did no harm in a run. */
  function noteHarmless(run: Run, keys: readonly string[]): void {
    for (const key of keys) {
      completions.note(key);
      if (quarantine.countedLosses(key) === 0) continue;
      quarantine.clear(key);
      log.info('Losses cleared by a complete run.', {
        request: run.request.requestId,
        suspect: key,
      });
    }
    judge();
  }

  function noteAnswer(run: Run): void {
    runs.noteAnswer(run);
    noteAlive(run.upstream.id, run.startedAtMs);
  }

  function cut(run: Run): void {
    runs.cut(run);
    const {request} = run;
    if (!quarantine.hasSuspects()) return;
    for (const key of suspectKeysOf(request)) {
      trials.end(key, request.requestId);
    }
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
      noteHarmless(run, suspectKeysOf(run.request));
    },
    declined(run) {
      runs.end(run);
      noteHarmless(run, [fingerprintOf(run.request)]);
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
    const {fingerprint: key} = fact;
    const newLossIds = quarantine.mergeFact(fact);
    for (const lossId of newLossIds) checkPeerLoss(lossId);
    if (completions.isRecent(key)) quarantine.clear(key);
    else if (completions.has(key)) quarantine.noteCompleted(key);
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
    isWaiting: request => waiting.has(request),
    takeFacts: reports.take,
    applyFacts(facts) {
      for (const fact of facts) {
        if (isLossFact(fact)) applyFact(fact);
        else metrics.count('loss_facts_ignored');
      }
      judge();
    },
    suspectCount: kind => countOfKind(quarantine.fingerprints(), kind),
    quarantinedCount: kind =>
      countOfKind(
        quarantine.culprits().flatMap(({keys}) => keys),
        kind,
      ),
  };
}
