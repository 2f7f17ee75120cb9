/**
 * Finds requests that crash the upstreams which run them, so that they are
 * refused before they take down one upstream after another.
 *
 * A run that breaks off says little: answers get lost and connections are
 * reset. It counts only when the upstream cannot be reached right after.
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
  /** A run broke off at the upstream. */
  noteBroken(request: RelayRequest, upstream: Upstream): void;
  /** A run ended whole: the request is harmless. */
  noteWhole(request: RelayRequest): void;
  /** Whether the request has crashed too many upstreams to be run again. */
  isQuarantined(request: RelayRequest): boolean;
  /** Losses for the peers. */
  facts(): readonly LossFact[];
  learn(facts: readonly LossFact[]): void;
}

/** A crashed upstream's port is closed by then; it is back after seconds. */
const PROBE_AFTER_MS = 50;
/** Named in each datagram; more suspects at once are not to be expected. */
const MAX_FACTS = 16;
const FINGERPRINT_DIGITS = 24;

/** The same for each time that the caller sends the request. */
export function fingerprintOf(request: RelayRequest): string {
  return createHash('sha1')
    .update(`${request.method} ${request.host} ${request.target}\n`)
    .update(request.body)
    .digest('hex')
    .slice(0, FINGERPRINT_DIGITS);
}

export function createCrashWatch(host: CrashWatchHost): CrashWatch {
  const {clock, log, upstreamPort, quarantine} = host;

  async function probe(
    request: RelayRequest,
    upstream: Upstream,
  ): Promise<void> {
    if (await upstreamPort.isReachable(upstream)) return;
    const fingerprint = fingerprintOf(request);
    const verdict = quarantine.blame(fingerprint, upstream.id);
    log.warn('An upstream was lost with a request.', {
      request: request.requestId,
      upstream: upstream.id,
      fingerprint,
      verdict,
    });
  }

  const hasSuspects = () => quarantine.facts().length > 0;

  return {
    noteBroken(request, upstream) {
      clock.setTimer(PROBE_AFTER_MS, () => void probe(request, upstream));
    },
    noteWhole(request) {
      if (hasSuspects()) quarantine.clear(fingerprintOf(request));
    },
    isQuarantined(request) {
      if (!hasSuspects()) return false;
      return quarantine.verdict(fingerprintOf(request)) === 'quarantined';
    },
    facts: () => quarantine.facts().slice(-MAX_FACTS),
    learn(facts) {
      for (const fact of facts) quarantine.learn(fact);
    },
  };
}
