/** A small deployment over loopback: store, upstreams and relay processes. */

import http from 'node:http';
import {createPlatformAdapters} from '../../platform/platform_adapters.js';
import type {RelayAdapters} from '../../src/relay/relay_adapters.js';
import {createRelayMetrics} from '../../src/relay/relay_metrics.js';
import {startRelay} from '../../src/relay/relay_process.js';
import type {RelayProcess} from '../../src/relay/relay_process_types.js';
import type {RelaySettings} from '../../src/relay/relay_settings.js';
import {createEngineStandIn} from '../../stand_ins/users_platform/engine_stand_in.js';
import type {
  EngineOptions,
  EngineStandIn,
} from '../../stand_ins/users_platform/engine_stand_in_types.js';
import {
  createStoreStandIn,
  type StoreStandIn,
} from '../../stand_ins/users_platform/store_stand_in.js';
import {findFreeAddress} from '../support/free_address.js';
import {silentLog} from '../support/silent_log.js';

export const HOST = 'raamatud.example';

export interface Entry {
  readonly settings: RelaySettings;
  readonly process: RelayProcess;
}

export interface SiteAnswer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** The connection broke before the answer was whole. */
  readonly isCut: boolean;
}

export interface RequestOptions {
  readonly method?: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Receives the client's request, so that a test can cancel it. */
  readonly onStart?: (request: http.ClientRequest) => void;
}

export interface Site {
  readonly store: StoreStandIn;
  addUpstream(options: EngineOptions): Promise<EngineStandIn>;
  list(upstream: EngineStandIn, state?: 'ready' | 'draining'): void;
  configure(configuration: object): number;
  addEntry(
    changes?: Partial<RelaySettings>,
    adapters?: RelayAdapters,
  ): Promise<Entry>;
  /** Settings for an entry that runs as a process of its own. */
  makeSettings(changes: Partial<RelaySettings>): Promise<RelaySettings>;
  call(
    entry: Pick<Entry, 'settings'>,
    path: string,
    options?: RequestOptions,
  ): Promise<SiteAnswer>;
  ask(address: string, path: string): Promise<SiteAnswer>;
  close(): Promise<void>;
}

let nextRequest = 1;
const CALL_INTERVAL_MS = 25;

function exchange(
  address: string,
  path: string,
  options: RequestOptions,
): Promise<SiteAnswer> {
  const colon = address.lastIndexOf(':');
  return new Promise((resolve, reject) => {
    const request = http.request({
      host: address.slice(0, colon),
      port: Number(address.slice(colon + 1)),
      path,
      method: options.method ?? 'GET',
      agent: false,
      headers: {Host: HOST, ...options.headers},
    });
    request.on('error', reject);
    request.on('response', response => {
      let body = '';
      const settle = (isCut: boolean) =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body,
          isCut,
        });
      response.on('data', bytes => (body += String(bytes)));
      response.on('end', () => settle(!response.complete));
      response.on('error', () => settle(true));
    });
    request.end(options.body);
    options.onStart?.(request);
  });
}

/** Waits until `condition` returns true; fails after 8 s. */
export async function until(
  what: string,
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const deadline = Date.now() + 8_000;
  while (!(await condition())) {
    if (Date.now() > deadline) throw new Error(`Timed out: ${what}.`);
    await new Promise(resolve => setTimeout(resolve, 20));
  }
}

export async function createSite(): Promise<Site> {
  const store = await createStoreStandIn();
  const upstreams: EngineStandIn[] = [];
  const entries: Entry[] = [];
  let version = 0;

  async function makeSettings(
    changes: Partial<RelaySettings>,
  ): Promise<RelaySettings> {
    return {
      hostId: `host-${entries.length + 1}`,
      failureDomain: 'ylikool-saal',
      callerAddress: await findFreeAddress(),
      readyAddress: await findFreeAddress(),
      directoryAddress: await findFreeAddress(),
      metricsAddress: await findFreeAddress(),
      peerAddress: await findFreeAddress(),
      seedAddresses: [],
      storeAddress: store.address,
      retryRatio: 0.2,
      retrySlack: 58,
      retryWindowMs: 10_000,
      leaveGraceMs: 8_000,
      leaseMs: 3_000,
      ...changes,
    };
  }

  const site: Site = {
    store,
    async addUpstream(options) {
      const upstream = await createEngineStandIn(options);
      upstreams.push(upstream);
      site.list(upstream);
      return upstream;
    },
    list(upstream, state) {
      store.put('servers', upstream.id, upstream.row(state));
    },
    configure(configuration) {
      version += 3;
      store.put('op', 'config', {version, ...configuration});
      return version;
    },
    makeSettings,
    async addEntry(changes = {}, adapters = createPlatformAdapters()) {
      const settings = await makeSettings(changes);
      const process = await startRelay({
        settings,
        adapters,
        metrics: createRelayMetrics(),
        createLogger: () => silentLog,
      });
      const entry = {settings, process};
      entries.push(entry);
      return entry;
    },
    call(entry, path, options = {}) {
      const id = `request-${nextRequest++}`;
      return exchange(entry.settings.callerAddress, path, {
        ...options,
        headers: {
          'X-Request-Id': id,
          'X-Deadline-Ms': '5000',
          ...options.headers,
        },
      });
    },
    ask: (address, path) => exchange(address, path, {}),
    async close() {
      for (const {process} of entries) process.leave();
      await Promise.all(entries.map(({process}) => process.ended));
      for (const upstream of upstreams) upstream.close();
      store.close();
    },
  };
  return site;
}

export const wait = (ms: number) =>
  new Promise<void>(resolve => setTimeout(resolve, ms));

/** Calls the entries in turn for `durationMs`; resolves with all answers. */
export async function callFor(
  site: Site,
  entries: readonly Entry[],
  durationMs: number,
  path: string,
  options: RequestOptions = {},
): Promise<readonly SiteAnswer[]> {
  const endAtMs = performance.now() + durationMs;
  const running: Array<Promise<SiteAnswer>> = [];
  for (let i = 0; performance.now() < endAtMs; i++) {
    running.push(site.call(entries[i % entries.length], path, options));
    await wait(CALL_INTERVAL_MS);
  }
  return Promise.all(running);
}

/** A path for each kind of route of `makeConfiguration`. */
export const PATHS = {
  'a call that runs once': '/makse/1',
  'a call that may run again': '/saldo/1',
  'a stream': '/mustand/1',
  'a resumable stream': '/lisa/1',
} as const;

/** A configuration with one plain and one model service. */
export function makeConfiguration(changes: object = {}): object {
  const route = (prefix: string, kind: string, service: string, more = {}) => ({
    name: prefix,
    host: HOST,
    prefix,
    kind,
    service,
    timeout_ms: 5_000,
    goal_ms: 200,
    attempts: 1,
    priority: 1,
    ...more,
  });
  return {
    routes: [
      route('/saldo/', 'idempotent', 'ledger', {attempts: 2}),
      route('/makse/', 'non_idempotent', 'ledger'),
      route('/mustand/', 'streaming', 'drafts', {gap_goal_ms: 300}),
      route('/lisa/', 'streaming', 'drafts', {
        gap_goal_ms: 300,
        attempts: 2,
        resumable: true,
      }),
    ],
    services: [
      {name: 'ledger', health_path: '/healthz', max_conns: 100},
      {
        name: 'drafts',
        health_path: '/healthz',
        max_conns: 100,
        engine: {
          slots: 8,
          kv_tokens: 30_000,
          kv_token_bytes: 1_000,
          stride: 10,
          kv_ttl_s: 0.5,
          switch_s: 1,
        },
      },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_096,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    ...changes,
  };
}

/** Headers of a model request. */
export const PROMPT_HEADERS = {
  'X-Model': 'm',
  'X-Token-Count': '1000,200',
  'X-Prompt-Prefix': 'ab:200,cd:800',
};

/** Waits until the entry's readiness check succeeds. */
export async function untilReady(site: Site, entry: Entry): Promise<void> {
  await until('ready', async () => {
    const answer = await site.ask(
      entry.settings.readyAddress,
      '/corianderbend/readyz',
    );
    return answer.status === 200;
  });
}
