/** Connects the parts with which hosts make calls to upstreams for each other. */

import type {HttpExchange} from '../../adapters/http_exchange.js';
import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {Random} from '../../ports/random.js';
import type {UpstreamPort} from '../../ports/relay.js';
import type {Member} from '../fleet/members.js';
import type {BodyReader} from '../front/body_reader.js';
import type {RelayMetrics} from '../relay_metrics.js';
import type {CallerBuffers} from '../front/caller_buffers.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';
import {createForwardClient} from './forward_client.js';
import {createForwardPeers} from './forward_peers.js';
import {createForwardServer, type ForwardServer} from './forward_server.js';
import {createForwardingPort} from './forwarding_port.js';
import {createUpstreamLinks, type UpstreamLinks} from './upstream_links.js';

export interface ForwardingHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly metrics: Pick<RelayMetrics, 'count'>;
  readonly exchange: HttpExchange;
  readonly registry: UpstreamRegistry;
  readonly bodies: Pick<BodyReader, 'read'>;
  /** Makes calls over connections of this host. */
  readonly direct: UpstreamPort;
  readonly self: {readonly hostId: string; readonly failureDomain: string};
  /** Live hosts except this one. */
  peers(): readonly Member[];
  /** Whether this host takes new work. */
  isServing(): boolean;
  readonly buffers: CallerBuffers;
  /** Whether the upstream wants no calls from this host now. */
  isBlocked(upstreamId: string): boolean;
}

export interface Forwarding {
  /** Makes calls directly, or through a peer. */
  readonly port: UpstreamPort;
  readonly server: ForwardServer;
  readonly links: UpstreamLinks;
}

export function createForwarding(host: ForwardingHost): Forwarding {
  const {clock, random, log, metrics, exchange, registry, direct, self} = host;
  const links = createUpstreamLinks({
    clock,
    log,
    registry,
    probeDirectly: direct.probe,
  });
  const peers = createForwardPeers({
    clock,
    random,
    failureDomain: self.failureDomain,
    peers: host.peers,
  });
  const client = createForwardClient({
    clock,
    exchange,
    hostId: self.hostId,
    peers,
    onCalled: result => metrics.count('forwarded_calls', `end="${result}"`),
  });
  const {port, noteDirect} = createForwardingPort({
    clock,
    direct,
    client,
    links,
    registry,
  });
  const server = createForwardServer({
    clock,
    registry,
    bodies: host.bodies,
    port: direct,
    peers: host.peers,
    mayCall: upstreamId =>
      host.isServing() &&
      links.pathTo(upstreamId) === 'direct' &&
      !host.isBlocked(upstreamId),
    onServed: result => metrics.count('served_calls', `result="${result}"`),
    buffers: host.buffers,
    onOutcome: noteDirect,
  });
  return {port, server, links};
}
