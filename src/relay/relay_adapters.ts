/** Adapters that a platform provides for its names and formats. */

import type {HttpExchange} from '../adapters/http_exchange.js';
import type {Clock} from '../ports/clock.js';
import type {Logger} from '../ports/log.js';
import type {
  HostRegistry,
  RequestReader,
  RoutingSource,
  UpstreamPort,
  UpstreamSignalListener,
  UpstreamSource,
} from '../ports/relay.js';
import type {TablePort} from '../ports/table.js';
import type {EntryList} from './front/host_directory.js';
import type {AuxiliaryHandler} from './front/auxiliary_server.js';

/** State of this process that the platform and callers can query. */
export interface RelayStatus {
  isReady(): boolean;
  entries(): EntryList | undefined;
}

export interface RelayAdapters {
  readonly reader: RequestReader;
  createUpstreamPort(host: {
    readonly clock: Clock;
    readonly exchange: HttpExchange;
    readonly signals: UpstreamSignalListener;
  }): UpstreamPort;
  createSources(host: {
    readonly exchange: HttpExchange;
    readonly storeAddress: string;
    readonly log: Logger;
    /** Called with the era in each answer of the store. */
    readonly onEra: (era: number) => void;
  }): RelaySources;
  createAuxiliaryHandler(facts: RelayStatus): AuxiliaryHandler;
}

export interface RelaySources {
  readonly routingSource: RoutingSource;
  readonly upstreamSource: UpstreamSource;
  readonly hostRegistry: HostRegistry;
  /** The table that stores the leases. */
  readonly leaseTable: TablePort;
}
