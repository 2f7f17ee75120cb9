/** Opens what a process needs to reach upstreams, the store and its peers. */

import {
  createHttpExchange,
  type HttpExchange,
} from '../../adapters/http_exchange.js';
import {createUdpDatagramPort} from '../../adapters/udp_datagram.js';
import type {Clock} from '../../ports/clock.js';
import type {DatagramPort} from '../../ports/datagram.js';
import type {Logger} from '../../ports/log.js';
import type {RelayMetrics} from '../relay_metrics.js';
import type {RelaySettings} from '../relay_settings.js';
import {createAddressOpener, type AddressOpener} from './address_opener.js';

export interface ProcessNetworkHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: Pick<RelayMetrics, 'count'>;
  /** Whether a signal to end arrived before the process served. */
  isEnding(): boolean;
}

export interface ProcessNetwork {
  readonly exchange: HttpExchange;
  readonly opener: AddressOpener;
  readonly datagrams: DatagramPort;
  close(): void;
}

const START_MARGIN_MS = 2_000;

/** Rejects with a `StartError` if the address of peers can't be opened. */
export async function openProcessNetwork(
  {clock, log, metrics, isEnding}: ProcessNetworkHost,
  settings: Pick<RelaySettings, 'peerAddress' | 'leaveGraceMs'>,
): Promise<ProcessNetwork> {
  const exchange = createHttpExchange({
    clock,
    onConnect: () => metrics.count('upstream_connections'),
  });
  // A predecessor holds its addresses until the end of its grace at most.
  const giveUpAfterMs = settings.leaveGraceMs + START_MARGIN_MS;
  const opener = createAddressOpener({clock, log, isEnding}, {giveUpAfterMs});
  const datagrams = await opener.open({
    what: 'peers over UDP',
    address: settings.peerAddress,
    open: () =>
      createUdpDatagramPort(settings.peerAddress, error =>
        log.warn('The datagram socket failed.', {reason: error.message}),
      ),
  });
  return {
    exchange,
    opener,
    datagrams,
    close() {
      exchange.close();
      datagrams.close();
    },
  };
}
