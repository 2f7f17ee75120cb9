/** The servers of a process: for callers, the platform, peers and metrics. */

import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import {
  createAuxiliaryServer,
  type AuxiliaryHandler,
  type MessageHandler,
} from '../front/auxiliary_server.js';
import type {RelayFront} from '../front/relay_front.js';
import type {ConnectionLimit} from '../limits/connection_limit.js';
import type {RelaySettings} from '../relay_settings.js';
import type {AddressOpener} from './address_opener.js';

export interface ProcessServersHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly opener: AddressOpener;
  readonly front: Pick<RelayFront, 'listen' | 'close'>;
  /** Answers for readiness and the directory. */
  readonly platformHandler: AuxiliaryHandler;
  readonly peerHandler: AuxiliaryHandler;
  /** Takes the calls of peers. */
  readonly peerMessageHandler: MessageHandler;
  renderMetrics(): string;
  limitConnections(server: string, maxConnections: number): ConnectionLimit;
  readonly maxPeerConnections: number;
}

export interface ProcessServers {
  /** Resolves once all addresses are open that are needed to serve. */
  listen(): Promise<void>;
  close(): void;
}

/** For each of the servers that answer at once. */
const MAX_CONNECTIONS = 32;

export function createProcessServers(
  host: ProcessServersHost,
  settings: RelaySettings,
): ProcessServers {
  const {opener, front, platformHandler, peerHandler} = host;
  const metricsHandler: AuxiliaryHandler = () => ({
    status: 200,
    contentType: 'text/plain; version=0.0.4',
    body: host.renderMetrics(),
  });
  const auxiliary = [
    {
      what: 'readiness',
      address: settings.readyAddress,
      handler: platformHandler,
      isNeeded: true,
    },
    {
      what: 'directory',
      address: settings.directoryAddress,
      handler: platformHandler,
      isNeeded: true,
    },
    {
      what: 'peers over TCP',
      address: settings.peerAddress,
      handler: peerHandler,
      handleMessage: host.peerMessageHandler,
      maxConnections: host.maxPeerConnections,
      isNeeded: true,
    },
    {
      what: 'metrics',
      address: settings.metricsAddress,
      handler: metricsHandler,
      isNeeded: false,
    },
  ].map(each => {
    const {what, address, isNeeded, maxConnections = MAX_CONNECTIONS} = each;
    const server = createAuxiliaryServer(
      {
        clock: host.clock,
        connections: host.limitConnections(what, maxConnections),
      },
      each.handler,
      each.handleMessage,
    );
    const open = () =>
      server.listen(address, error =>
        host.log.warn('A listening socket failed.', {
          what,
          reason: error.message,
        }),
      );
    return {own: {what, address, open}, isNeeded, close: server.close};
  });

  return {
    async listen() {
      const needed = auxiliary.filter(({isNeeded}) => isNeeded);
      await Promise.all(needed.map(({own}) => opener.open(own)));
      // The last one: a request must not arrive while the process may give up.
      await opener.open({
        what: 'callers',
        address: settings.callerAddress,
        open: () => front.listen(settings.callerAddress),
      });
      for (const {own, isNeeded} of auxiliary) {
        if (!isNeeded) opener.openInBackground(own);
      }
    },
    close() {
      opener.stop();
      front.close();
      for (const {close} of auxiliary) close();
    },
  };
}
