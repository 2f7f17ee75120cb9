/** Creates the adapters to the network, the platform and the system. */

import type {Transport} from '@connectrpc/connect';
import {Registry} from 'prom-client';
import {createHttpEngineFactory} from '../adapters/http_engine.js';
import {createHttpHostList} from '../adapters/http_host_list.js';
import {createHttpObjectStore} from '../adapters/http_object_store.js';
import {createHttpPlainServiceFactory} from '../adapters/http_plain_service.js';
import {createHttpTable} from '../adapters/http_table.js';
import {createMetrics, type Metrics} from '../adapters/metrics.js';
import {createMeteredTable} from '../adapters/metered_table.js';
import {createPeerTransports} from '../adapters/peer_connection.js';
import {createSystemClock} from '../adapters/system_clock.js';
import {createSystemRandom} from '../adapters/system_random.js';
import {createUdpDatagramPort} from '../adapters/udp_datagram.js';
import type {HostSettings} from '../core/settings_types.js';
import type {Clock} from '../ports/clock.js';
import type {DatagramPort} from '../ports/datagram.js';
import type {EnginePortFactory} from '../ports/engine.js';
import type {Logger} from '../ports/log.js';
import type {PlainServicePortFactory} from '../ports/plain_service.js';
import type {Random} from '../ports/random.js';
import type {HostListPort, ObjectStorePort, TablePort} from '../ports/table.js';
import {cacheByAddress} from './port_cache.js';

export interface ProcessAdapters {
  readonly host: HostSettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly table: TablePort;
  readonly objectStore: ObjectStorePort;
  readonly hostList: HostListPort;
  readonly datagrams: DatagramPort;
  readonly enginePort: EnginePortFactory;
  readonly plainPort: PlainServicePortFactory;
  /** Creates the logger of a part. */
  createLogger(part: string): Logger;
  /** Transport to the process at a peer address. */
  getTransport(address: string): Transport;
}

/** Binds the datagram socket; rejects if the address is in use. */
export async function createProcessAdapters(
  host: HostSettings,
  createLogger: (part: string) => Logger,
): Promise<ProcessAdapters> {
  const clock = createSystemClock();
  const random = createSystemRandom();
  const platform = {baseUrl: host.platformUrl};
  const metrics = createMetrics(new Registry());
  const log = createLogger('datagram');
  const datagrams = await createUdpDatagramPort(host.peerAddress, error =>
    log.warn('The datagram socket failed.', {reason: error.message}),
  );
  return {
    host,
    clock,
    random,
    createLogger,
    datagrams,
    metrics,
    table: createMeteredTable(metrics, createHttpTable({clock}, platform)),
    objectStore: createHttpObjectStore({clock}, platform),
    hostList: createHttpHostList({clock}, platform),
    enginePort: cacheByAddress(createHttpEngineFactory({clock, random})),
    plainPort: cacheByAddress(createHttpPlainServiceFactory({clock})),
    getTransport: createPeerTransports(host.peerKey).get,
  };
}
