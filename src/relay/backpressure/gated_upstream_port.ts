/**
 * Wraps an upstream port so that all calls obey the limits of the upstreams.
 */

import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {Random} from '../../ports/random.js';
import type {
  Cancellation,
  RelayRequest,
  SendFailure,
  SendOptions,
  UpstreamPort,
} from '../../ports/relay.js';
import {spreadRetryAfterMs} from '../placement/wait_rules.js';
import type {RelayMetrics} from '../relay_metrics.js';
import type {Withheld} from './limit_gate.js';
import type {SendGate} from './send_gate.js';

export interface GatedUpstreamPortHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly metrics: Pick<RelayMetrics, 'count'>;
  readonly port: UpstreamPort;
  readonly gate: SendGate;
}

type Send<Outcome> = (
  request: RelayRequest,
  options: SendOptions,
  cancellation: Cancellation,
) => Promise<Outcome | SendFailure>;

/**
 * Returns the options with the time that the request has waited deducted. The
 * full head timeout remains, unless the call would then end later after the
 * deadline than one that was sent at once.
 */
function deductWait(options: SendOptions, waitedMs: number): SendOptions {
  const leftMs = Math.max(0, options.leftMs - waitedMs);
  const slackMs = Math.max(0, options.headTimeoutMs - options.leftMs);
  return {
    ...options,
    leftMs,
    headTimeoutMs: Math.min(options.headTimeoutMs, leftMs + slackMs),
  };
}

export function createGatedUpstreamPort(
  host: GatedUpstreamPortHost,
): UpstreamPort {
  const {clock, random, log, metrics, port, gate} = host;

  function withhold(
    request: RelayRequest,
    {upstream}: SendOptions,
    {waitMs, by}: Withheld,
  ): SendFailure {
    metrics.count('sends_withheld', `by="${by}"`);
    log.info('Request held back.', {
      request: request.requestId,
      upstream: upstream.id,
      by,
      waitMs: Math.round(waitMs),
    });
    return {
      kind: 'withheld',
      detail: 'The upstream takes no more for now.',
      scope: by === 'rest' ? 'this-host' : 'all-hosts',
      retryAfterMs: spreadRetryAfterMs(waitMs, Infinity, random.nextFloat()),
    };
  }

  /** Resolves early if the request is cancelled. */
  function pause(waitMs: number, cancellation: Cancellation): Promise<void> {
    if (waitMs <= 0) return Promise.resolve();
    return new Promise(resolve => {
      const timer = clock.setTimer(waitMs, resolve);
      cancellation.onCancel(() => {
        clock.clearTimer(timer);
        resolve();
      });
    });
  }

  const gated =
    <Outcome>(send: Send<Outcome>): Send<Outcome> =>
    async (request, options, cancellation) => {
      const {upstream, permitWaitMs = 0} = options;
      const startedAtMs = clock.nowMs();
      const verdict = await gate.admit(upstream.id, permitWaitMs);
      if (verdict.kind === 'withheld') {
        return withhold(request, options, verdict);
      }
      await pause(verdict.waitMs, cancellation);
      if (cancellation.isCancelled) return {kind: 'cancelled'};
      const waitedMs = clock.nowMs() - startedAtMs;
      const block = gate.findBlock(upstream.id);
      if (block) return withhold(request, options, block);
      options.onPermitted?.();
      return send(request, deductWait(options, waitedMs), cancellation);
    };

  // Calls of every kind are held back while the upstream asks for rest.
  return {
    ...port,
    send: gated(port.send),
    prefill: gated(port.prefill),
    releasePrefill(place) {
      if (!gate.isResting(place.engineId)) port.releasePrefill(place);
    },
    // An upstream asks for rest in an answer, so it was reachable just now.
    probe: async upstream =>
      gate.isResting(upstream.id) ? 'answered' : port.probe(upstream),
    report: async upstream =>
      gate.isResting(upstream.id) ? undefined : port.report(upstream),
    order: async (upstream, order) =>
      gate.isResting(upstream.id) ? 'refused' : port.order(upstream, order),
  };
}
