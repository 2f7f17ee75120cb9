/**
 * The chain of upstream ports that all requests of this host pass: limits and
 * rest periods, crash watch, the way through a peer, the check for streams that
 * broke off, and the adapter of the platform.
 */

import type {HttpExchange} from '../adapters/http_exchange.js';
import type {Clock} from '../ports/clock.js';
import type {Logger} from '../ports/log.js';
import type {Random} from '../ports/random.js';
import type {RelayRequest, UpstreamPort} from '../ports/relay.js';
import {createStreamEndPort} from './answers/stream_end_port.js';
import type {Backpressure} from './backpressure/backpressure.js';
import {createGatedUpstreamPort} from './backpressure/gated_upstream_port.js';
import {
  createCrashWatch,
  type CrashWatch,
  type CrashWatchHost,
} from './crashes/crash_watch.js';
import {createWatchedUpstreamPort} from './crashes/watched_upstream_port.js';
import {
  createForwarding,
  type Forwarding,
  type ForwardingHost,
} from './forwarding/forwarding.js';
import type {RelayAdapters} from './relay_adapters.js';
import {createSentRequests} from './sent_requests.js';

export interface RelayUpstreamPortHost
  extends
    Pick<CrashWatchHost, 'isTrialOwner' | 'onChange'>,
    Pick<ForwardingHost, 'buffers'>,
    Pick<
      ForwardingHost,
      'metrics' | 'registry' | 'bodies' | 'self' | 'peers' | 'isServing'
    > {
  readonly clock: Clock;
  readonly random: Random;
  readonly createLogger: (part: string) => Logger;
  readonly exchange: HttpExchange;
  readonly adapters: Pick<RelayAdapters, 'createUpstreamPort'>;
  readonly backpressure: Backpressure;
}

export interface RelayUpstreamPort {
  readonly upstreamPort: UpstreamPort;
  readonly crashes: CrashWatch;
  readonly forwarding: Forwarding;
  /** Whether an upstream may have run the request, or runs it. */
  mayHaveRun(request: RelayRequest): boolean;
}

export function createRelayUpstreamPort(
  host: RelayUpstreamPortHost,
): RelayUpstreamPort {
  const {clock, createLogger, metrics, backpressure} = host;
  const forwarding = createForwarding({
    ...host,
    log: createLogger('forwarding'),
    direct: createStreamEndPort(
      host.adapters.createUpstreamPort({
        clock,
        exchange: host.exchange,
        signals: backpressure.signals,
      }),
    ),
    isBlocked: upstreamId =>
      backpressure.gate.findBlock(upstreamId) !== undefined,
  });
  const sent = createSentRequests(forwarding.port);
  const upstreamPort = createGatedUpstreamPort({
    ...host,
    log: createLogger('backpressure'),
    port: createWatchedUpstreamPort({
      port: sent.port,
      startRun: (request, upstream) => crashes.startRun(request, upstream),
      findRefusal: request => crashes.findRefusal(request),
    }),
    gate: backpressure.gate,
  });
  const crashes = createCrashWatch({
    clock,
    log: createLogger('crashes'),
    metrics,
    upstreamPort,
    registry: host.registry,
    isTrialOwner: host.isTrialOwner,
    onChange: host.onChange,
  });
  const {mayHaveRun} = sent;
  return {upstreamPort, crashes, forwarding, mayHaveRun};
}
