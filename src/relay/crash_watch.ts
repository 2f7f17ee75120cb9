/**
 * Detects requests that crash their upstreams and quarantines them before they
 * crash one upstream after another.
 *
 * A run that breaks off isn't enough evidence, since answers get lost and
 * connections are reset. It counts only if the upstream is unreachable shortly
 * afterwards.
 */

import {createHash} from 'node:crypto';
import type {Clock} from '../ports/clock.js';
import type {Logger} from '../ports/log.js';
import type {RelayRequest, UpstreamPort} from '../ports/relay.js';
import type {LossFact, Quarantine} from '../request/quarantine.js';
import type {Upstream} from '../core/upstream.js';

export interface CrashWatchHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly upstreamPort: UpstreamPort;
  readonly quarantine: Quarantine;
}

export interface CrashWatch {
  /** Records that a run broke off at the upstream. */
  recordFailure(request: RelayRequest, upstream: Upstream): void;
  /** Records that a run completed, so the request is harmless. */
  recordSuccess(request: RelayRequest): void;
  /**
   * Returns whether the request has crashed too many upstreams to run again.
   */
  isQuarantined(request: RelayRequest): boolean;
  /** Returns losses of upstreams, to send to peers. */
  facts(): readonly LossFact[];
  /** Applies losses that a peer sent. */
  applyFacts(facts: readonly LossFact[]): void;
  /** Number of requests with losses, whether quarantined or not. */
  suspectCount(): number;
  quarantinedCount(): number;
}

/** A crashed upstream has closed its port by then and restarts in seconds. */
const PROBE_DELAY_MS = 50;
/** Maximum number in a datagram; more suspects at once aren't expected. */
const MAX_FACTS = 16;
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
  const {clock, log, upstreamPort, quarantine} = host;

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

  const hasSuspects = () => quarantine.facts().length > 0;

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
    recordFailure(request, upstream) {
      clock.setTimer(
        PROBE_DELAY_MS,
        () => void blameIfUnreachable(request, upstream),
      );
    },
    recordSuccess(request) {
      if (!hasSuspects()) return;
      const fingerprint = fingerprintOf(request);
      if (quarantine.verdict(fingerprint) === 'clear') return;
      quarantine.clear(fingerprint);
      log.info('Losses cleared by a complete run.', {
        request: request.requestId,
        fingerprint,
      });
    },
    isQuarantined(request) {
      if (!hasSuspects()) return false;
      return isQuarantined(fingerprintOf(request));
    },
    facts: () => quarantine.facts().slice(-MAX_FACTS),
    applyFacts(facts) {
      for (const fact of facts) applyFact(fact);
    },
    suspectCount: () => quarantine.facts().length,
    quarantinedCount: () =>
      quarantine.facts().filter(each => isQuarantined(each.fingerprint)).length,
  };
}
