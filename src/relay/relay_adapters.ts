/** A platform's own names and formats, behind the product's ports. */

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
import type {EntryAnswer} from './front/host_directory.js';
import type {SideHandler} from './front/side_server.js';

/** What the platform's calls to this process ask for. */
export interface SideFacts {
  isReady(): boolean;
  entries(): EntryAnswer | undefined;
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
    /** Told of the era that an answer of the store names. */
    readonly onEra: (era: number) => void;
  }): RelaySources;
  createSideHandler(facts: SideFacts): SideHandler;
}

export interface RelaySources {
  readonly routingSource: RoutingSource;
  readonly upstreamSource: UpstreamSource;
  readonly hostRegistry: HostRegistry;
  /** Where leases lie. */
  readonly leaseTable: TablePort;
}
