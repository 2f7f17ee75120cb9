/**
 * A deployment of relay processes that reach the store and the upstreams over
 * fault proxies. The store and the upstreams are stand-ins in this process.
 */

import {performance} from 'node:perf_hooks';
import type {RelaySettings} from '../../src/relay/relay_settings.js';
import {createEngineStandIn} from '../../stand_ins/users_platform/engine_stand_in.js';
import type {
  EngineOptions,
  EngineStandIn,
} from '../../stand_ins/users_platform/engine_stand_in_types.js';
import {
  createStoreStandIn,
  type StoreCopy,
  type StoreStandIn,
} from '../../stand_ins/users_platform/store_stand_in.js';
import {makeConfiguration} from '../platform/relay_site.js';
import {findFreeAddress} from '../support/free_address.js';
import {EXTRA_PREFIX, type CallKind} from './call_kinds.js';
import type {PartFault} from './crashing_parts.js';
import {
  createFaultProxy,
  type FaultProxy,
  type LinkDisturbance,
} from './fault_proxy.js';
import {createRelayChild, type RelayChild} from './relay_child.js';

export interface SoakHost {
  readonly child: RelayChild;
  /** The address that its connections come from. */
  readonly sourceAddress: string;
  /** The proxy between this host and the store. */
  readonly storeLink: FaultProxy;
}

/**
 * A backpressure signal that an upstream sent in its answers, and its time
 * span.
 */
export interface BackpressureSignal {
  readonly kind: 'limit' | 'leaving' | 'rest';
  /** Requests per second for a limit, seconds of `Retry-After` for a rest. */
  readonly value: number;
  readonly fromMs: number;
  toMs: number;
}

/** A time in which an upstream stood still; `toMs` is infinite till its end. */
export interface EnginePause {
  readonly fromMs: number;
  toMs: number;
}

/** From the end of an instance until the next one at its address has started. */
export interface Downtime {
  readonly fromMs: number;
  toMs: number;
}

export interface SoakUpstream {
  readonly standIn: EngineStandIn;
  /** The proxy between all hosts and the upstream. */
  readonly link: FaultProxy;
  readonly service: string;
  readonly signals: BackpressureSignal[];
  readonly pauses: EnginePause[];
  /** After its instances were ended, by requests or beside them. */
  readonly downtimes: Downtime[];
  /**
   * `leaving` is announced only in answers; `draining` is also in the store.
   */
  state: 'ready' | 'leaving' | 'draining' | 'gone';
  /** When the store accepted its `draining` row. */
  drainingSinceMs?: number;
  /** When its row was removed after a crash. */
  goneSinceMs?: number;
}

/** A version of the configuration that the operator wrote. */
export interface WrittenConfiguration {
  readonly version: number;
  /** The routes that only some versions have. */
  readonly routes: readonly string[];
  readonly sentAtMs: number;
  readonly acknowledgedAtMs: number;
}

/** An upstream ended while it ran the request. */
export interface RecordedCrash {
  readonly kind: CallKind;
  readonly atMs: number;
  /** The part of the prompt that crashed it, if it was one. */
  readonly part?: string;
}

/** How runs of the crashing request end their upstreams. */
export interface SoakCrash {
  crashOf: EngineOptions['crashOf'];
  onCrash(upstream: SoakUpstream): void;
}

export interface SoakSite {
  /** Undefined while no request crashes upstreams. */
  crash?: SoakCrash;
  readonly crashes: RecordedCrash[];
  readonly partFaults: PartFault[];
  /** Whether hosts are cut off from all upstreams. */
  isCut: boolean;
  readonly store: StoreStandIn;
  /** Times in which the store lost answers or acknowledged writes. */
  readonly storeFaults: LinkDisturbance[];
  /** All versions so far, the oldest first. */
  readonly configurations: readonly WrittenConfiguration[];
  readonly hosts: readonly SoakHost[];
  /** All upstreams so far, including those that are gone. */
  readonly upstreams: readonly SoakUpstream[];
  addUpstream(
    service: string,
    role?: 'prefill' | 'decode',
    version?: string,
  ): Promise<SoakUpstream>;
  /** Returns a software version that no engine has had. */
  nextVersion(): string;
  /**
   * Restores the store from an older copy. The operator then writes the newest
   * configuration again and live upstreams write their rows; other rows expire.
   */
  restoreStore(copy: StoreCopy, awayAtMs: number, backAtMs: number): void;
  /**
   * Writes the next configuration version, with this many additional routes,
   * and with these others instead of those of the version before.
   */
  publishConfiguration(extraRoutes: number, routes?: readonly string[]): number;
  nextUpstreamId(): string;
  /** Writes the upstream's row, as each heartbeat does. */
  writeRow(upstream: SoakUpstream): void;
  close(): Promise<void>;
}

export interface EngineCounts {
  readonly prefill: number;
  readonly decode: number;
}

export interface SoakSiteOptions {
  readonly hostCount: number;
  readonly engineCounts?: EngineCounts;
  readonly program: string;
  readonly folder: string;
  readonly routeTimeoutMs?: number;
  readonly retrySlack?: number;
  readonly leaveGraceMs?: number;
  readonly eventEveryMs?: EngineOptions['eventEveryMs'];
  readonly eventBytes?: number;
  readonly eventCount?: number;
  /** How long a call to the plain service takes. */
  readonly workMs?: () => number;
  /** Settings of all hosts that differ from the usual ones. */
  readonly settings?: Partial<RelaySettings>;
  readonly additions?: ConfigurationAdditions;
}

/** What every version of the configuration has in addition. */
export interface ConfigurationAdditions {
  readonly routes: readonly object[];
  readonly services: readonly object[];
  readonly limits: object;
}

export const STREAM_EVENTS = 20;
export const RETRY_SLACK = 58;
const ENGINE_COUNTS: EngineCounts = {prefill: 2, decode: 4};
const ROUTE_TIMEOUT_MS = 5_000;
export const EVENT_EVERY_MS = 25;
const HEARTBEAT_MS = 600;
/** The store drops a row after three missed heartbeats. */
const ROW_EXPIRY_MS = 3 * HEARTBEAT_MS;
const REWRITE_DELAY_MS = 1_000;
/** Hosts have read a change in the store within this time. */
const LIST_REFRESH_MS = 1_500;
export const LEAVE_GRACE_MS = 4_000;

/** No port of an outgoing connection, which may be any of the higher ones. */
const PEER_PORT = 21_000;
const MAX_HOSTS = 16;
const OCTET_VALUES = 256;
let siteCount = 0;

/** Different for all hosts of all sites of all test processes. */
function toSourceAddress(siteIndex: number, hostIndex: number): string {
  const high = 128 + (Math.floor(process.pid / OCTET_VALUES) % 100);
  const low = process.pid % OCTET_VALUES;
  const last = 1 + ((siteIndex * MAX_HOSTS + hostIndex) % 250);
  return `127.${high}.${low}.${last}`;
}

export async function createSoakSite(
  options: SoakSiteOptions,
): Promise<SoakSite> {
  const siteIndex = siteCount++;
  const store = await createStoreStandIn();
  const upstreams: SoakUpstream[] = [];
  const hosts: SoakHost[] = [];
  let version = 0;
  let newest: object = {};
  const storeFaults: LinkDisturbance[] = [];
  const configurations: WrittenConfiguration[] = [];
  let startCount = 0;

  let versionCount = 1;
  const newestVersion = () => `v${versionCount}`;
  const nextUpstreamId = () => `i-${++startCount}`;

  function writeRow(upstream: SoakUpstream): void {
    if (upstream.state === 'gone') return;
    const listed = upstream.state === 'draining' ? 'draining' : 'ready';
    store.put('servers', upstream.standIn.id, {
      ...upstream.standIn.row(listed),
      address: upstream.link.address,
    });
  }

  const heartbeat = setInterval(() => {
    for (const upstream of upstreams) writeRow(upstream);
  }, HEARTBEAT_MS);

  async function addUpstream(
    service: string,
    role?: 'prefill' | 'decode',
    version = role && newestVersion(),
  ): Promise<SoakUpstream> {
    const standIn = await createEngineStandIn({
      id: nextUpstreamId(),
      service,
      role,
      version,
      workMs: options.workMs,
      eventCount: options.eventCount ?? STREAM_EVENTS,
      eventEveryMs: options.eventEveryMs ?? EVENT_EVERY_MS,
      eventBytes: options.eventBytes,
      crashOf: run => site.crash?.crashOf?.(run),
      onCrash: () => site.crash?.onCrash(upstream),
    });
    const link = await createFaultProxy(standIn.address);
    const upstream: SoakUpstream = {
      standIn,
      link,
      service,
      signals: [],
      pauses: [],
      downtimes: [],
      state: 'ready',
    };
    upstreams.push(upstream);
    writeRow(upstream);
    return upstream;
  }

  function publishConfiguration(
    extraRoutes: number,
    changing = configurations.at(-1)?.routes ?? [],
  ): number {
    const made = makeConfiguration() as ConfigurationAdditions;
    const {routeTimeoutMs: timeout_ms = ROUTE_TIMEOUT_MS, additions} = options;
    const routes = made.routes.map(each => ({...each, timeout_ms}));
    const base = {
      ...made,
      routes,
      services: [...made.services, ...(additions?.services ?? [])],
      limits: {...made.limits, ...additions?.limits},
    };
    const numbered = Array.from({length: extraRoutes}, (_, i) => String(i));
    const extra = [...numbered, ...changing].map(each => ({
      ...base.routes[0],
      name: `extra-${each}`,
      prefix: `${EXTRA_PREFIX}${each}/`,
    }));
    version += 3;
    const added = additions?.routes ?? [];
    newest = {...base, version, routes: [...routes, ...extra, ...added]};
    const sentAtMs = performance.now();
    store.put('op', 'config', newest);
    const acknowledgedAtMs = performance.now();
    configurations.push({
      version,
      routes: changing,
      sentAtMs,
      acknowledgedAtMs,
    });
    return version;
  }

  function restoreStore(
    copy: StoreCopy,
    awayAtMs: number,
    backAtMs: number,
  ): void {
    store.restore(copy);
    storeFaults.push({fromMs: awayAtMs, toMs: backAtMs + REWRITE_DELAY_MS});
    setTimeout(() => store.put('op', 'config', newest), REWRITE_DELAY_MS);
    setTimeout(() => {
      for (const {state, standIn} of upstreams) {
        if (state === 'gone') store.remove('servers', standIn.id);
      }
    }, ROW_EXPIRY_MS);
    for (const upstream of upstreams) {
      // Perhaps no host has read that it drains, so the time starts again.
      const {drainingSinceMs = 0} = upstream;
      const mayBeUnread = drainingSinceMs > awayAtMs - LIST_REFRESH_MS;
      if (mayBeUnread) upstream.drainingSinceMs = backAtMs + HEARTBEAT_MS;
    }
  }

  async function addHost(index: number, seed?: string): Promise<SoakHost> {
    const storeLink = await createFaultProxy(store.address);
    const sourceAddress = toSourceAddress(siteIndex, index);
    const child = createRelayChild({
      program: options.program,
      folder: options.folder,
      sourceAddress,
      settings: {
        hostId: `host-${index}`,
        failureDomain: 'raadi-ruum',
        callerAddress: await findFreeAddress(),
        readyAddress: await findFreeAddress(),
        directoryAddress: await findFreeAddress(),
        metricsAddress: await findFreeAddress(),
        // Peers recognize each other by the addresses that calls come from.
        peerAddress: `${sourceAddress}:${PEER_PORT}`,
        seedAddresses: seed ? [seed] : [],
        storeAddress: storeLink.address,
        retryRatio: 0.2,
        retrySlack: options.retrySlack ?? RETRY_SLACK,
        retryWindowMs: 10_000,
        leaveGraceMs: options.leaveGraceMs ?? LEAVE_GRACE_MS,
        leaseMs: 3_000,
        ...options.settings,
      },
    });
    const host = {child, storeLink, sourceAddress};
    hosts.push(host);
    return host;
  }

  const site: SoakSite = {
    crashes: [],
    partFaults: [],
    isCut: false,
    store,
    storeFaults,
    configurations,
    hosts,
    upstreams,
    addUpstream,
    publishConfiguration,
    nextUpstreamId,
    nextVersion() {
      versionCount++;
      return newestVersion();
    },
    writeRow,
    restoreStore,
    async close() {
      clearInterval(heartbeat);
      for (const {child} of hosts) {
        child.signal('SIGCONT');
        child.signal('SIGKILL');
        await child.ended();
      }
      for (const {storeLink} of hosts) storeLink.close();
      for (const {standIn, link} of upstreams) {
        link.close();
        standIn.close();
      }
      store.close();
    },
  };

  publishConfiguration(0);
  for (let i = 0; i < 3; i++) await addUpstream('ledger');
  const {decode, prefill} = options.engineCounts ?? ENGINE_COUNTS;
  for (let i = 0; i < decode; i++) await addUpstream('drafts', 'decode');
  for (let i = 0; i < prefill; i++) await addUpstream('drafts', 'prefill');
  for (let i = 0; i < options.hostCount; i++) {
    const {child} = await addHost(i, hosts[0]?.child.settings.peerAddress);
    child.start();
  }
  return site;
}
