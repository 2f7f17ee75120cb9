/**
 * Detects requests that crash their upstreams and quarantines them before they
 * crash one upstream after another.
 *
 * A run that breaks off isn't enough evidence, since answers get lost and
 * connections are reset. It counts only if the upstream is unreachable shortly
 * afterwards.
 */

import {createHash} from 'node:crypto';
import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {RelayRequest, UpstreamPort} from '../../ports/relay.js';
import {
  createQuarantine,
  defaultQuarantineOptions,
  type LossFact,
} from '../../request/quarantine.js';
import type {Upstream} from '../../core/upstream.js';
import type {RelayMetrics} from '../relay_metrics.js';
import {createLossReports, isLossFact} from './loss_reports.js';
import type {WatchedRun} from './watched_upstream_port.js';

export interface CrashWatchHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: Pick<RelayMetrics, 'count'>;
  readonly upstreamPort: Pick<UpstreamPort, 'isReachable'>;
  /** Called when there are losses that peers need to know. */
  onChange(): void;
}

export interface CrashWatch {
  /** Watches a run from its send on. */
  startRun(request: RelayRequest, upstream: Upstream): WatchedRun;
  /**
   * Returns whether the request has crashed too many upstreams to run again.
   */
  isQuarantined(request: RelayRequest): boolean;
  /** Returns losses of upstreams for the next datagram to peers. */
  takeFacts(): readonly LossFact[];
  /** Applies losses that a peer sent; ignores invalid ones. */
  applyFacts(facts: readonly unknown[]): void;
  /** Number of requests with losses, whether quarantined or not. */
  suspectCount(): number;
  quarantinedCount(): number;
}

/** A crashed upstream has closed its port by then and restarts in seconds. */
const PROBE_DELAY_MS = 50;
const MAX_FINGERPRINTS = 1_000;
const FINGERPRINT_DIGITS = 24;

/** Returns a fingerprint that is the same each time the request is sent. */
export function fingerprintOf(request: RelayRequest): string {
  return createHash('sha1')
    .update(`${request.method} ${request.host} ${request.target}\n`)
    .update(request.body)
    .digest('hex')
    .slice(0, FINGERPRINT_DIGITS);
}

export function createCrashWatch(host: CrashWatchHost): CrashWatch {
  const {clock, log, metrics, upstreamPort} = host;
  const quarantine = createQuarantine(
    {
      clock,
      broadcast: host.onChange,
      onChange: fingerprint => reports.noteChange(fingerprint),
      // An upstream gets a new id at each start, so each id is lost only once.
      lossIdOf: upstreamId => upstreamId,
    },
    {...defaultQuarantineOptions, maxFingerprints: MAX_FINGERPRINTS},
  );
  const reports = createLossReports({clock, quarantine});

  const isQuarantined = (fingerprint: string) =>
    quarantine.verdict(fingerprint) === 'quarantined';

  async function blameIfUnreachable(
    request: RelayRequest,
    upstream: Upstream,
  ): Promise<void> {
    const fingerprint = fingerprintOf(request);
    if (await upstreamPort.isReachable(upstream)) {
      log.info('Upstream reachable after a failed request.', {
        request: request.requestId,
        upstream: upstream.id,
        fingerprint,
      });
      return;
    }
    const verdict = quarantine.recordLoss(fingerprint, upstream.id);
    log.warn('Upstream became unreachable during a request.', {
      request: request.requestId,
      upstream: upstream.id,
      fingerprint,
      verdict,
    });
  }

  function clearLosses(request: RelayRequest): void {
    if (!quarantine.hasSuspects()) return;
    const fingerprint = fingerprintOf(request);
    if (quarantine.verdict(fingerprint) === 'clear') return;
    quarantine.clear(fingerprint);
    log.info('Losses cleared by a complete run.', {
      request: request.requestId,
      fingerprint,
    });
  }

  function applyFact(fact: LossFact): void {
    const {fingerprint} = fact;
    const wasQuarantined = isQuarantined(fingerprint);
    quarantine.mergeFact(fact);
    if (wasQuarantined || !isQuarantined(fingerprint)) return;
    log.info('Request quarantined by a peer.', {
      fingerprint,
      upstreams: fact.lossIds.join(','),
    });
  }

  return {
    startRun(request, upstream) {
      let hasEnded = false;
      return {
        end(how) {
          if (hasEnded) return;
          hasEnded = true;
          if (how === 'complete') clearLosses(request);
          if (how !== 'broken') return;
          clock.setTimer(
            PROBE_DELAY_MS,
            () => void blameIfUnreachable(request, upstream),
          );
        },
      };
    },
    isQuarantined(request) {
      if (!quarantine.hasSuspects()) return false;
      return isQuarantined(fingerprintOf(request));
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
