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

  async function blameIfUnreachable(
    request: RelayRequest,
    upstream: Upstream,
  ): Promise<void> {
    if (await upstreamPort.isReachable(upstream)) return;
    const fingerprint = fingerprintOf(request);
    const verdict = quarantine.recordLoss(fingerprint, upstream.id);
    log.warn('Upstream became unreachable during a request.', {
      request: request.requestId,
      upstream: upstream.id,
      fingerprint,
      verdict,
    });
  }

  const hasSuspects = () => quarantine.facts().length > 0;

  return {
    recordFailure(request, upstream) {
      clock.setTimer(
        PROBE_DELAY_MS,
        () => void blameIfUnreachable(request, upstream),
      );
    },
    recordSuccess(request) {
      if (hasSuspects()) quarantine.clear(fingerprintOf(request));
    },
    isQuarantined(request) {
      if (!hasSuspects()) return false;
      return quarantine.verdict(fingerprintOf(request)) === 'quarantined';
    },
    facts: () => quarantine.facts().slice(-MAX_FACTS),
    applyFacts(facts) {
      for (const fact of facts) quarantine.mergeFact(fact);
    },
  };
}
