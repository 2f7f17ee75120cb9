/**
 * A deployment whose relays are processes and whose links are proxies: the
 * store and the upstreams are stand-ins that live in this process.
 */

import {
  createEngineStandIn,
  type EngineStandIn,
} from '../../stand_ins/users_platform/engine_stand_in.js';
import {
  createStoreStandIn,
  type StoreCopy,
  type StoreStandIn,
} from '../../stand_ins/users_platform/store_stand_in.js';
import {makeConfiguration} from '../platform/relay_site.js';
import {findFreeAddress} from '../support/free_address.js';
import {createFaultProxy, type FaultProxy} from './fault_proxy.js';
import {createRelayChild, type RelayChild} from './relay_child.js';

export interface SoakHost {
  readonly child: RelayChild;
  /** This host's way to the store. */
  readonly storeLink: FaultProxy;
}

/** What an upstream asked for in its answers, and when. */
export interface Ask {
  readonly kind: 'limit' | 'leaving' | 'rest';
  /** Requests a second, or seconds of rest. */
  readonly value: number;
  readonly fromMs: number;
  toMs: number;
}

export interface SoakUpstream {
  readonly standIn: EngineStandIn;
  /** All hosts' way to the upstream. */
  readonly link: FaultProxy;
  readonly service: string;
  readonly asks: Ask[];
  /** One that is leaving says so in its answers, and not yet to the store. */
  state: 'ready' | 'leaving' | 'draining' | 'gone';
  /** When the store took the news that it leaves. */
  leftAtMs?: number;
}

export interface SoakSite {
  readonly store: StoreStandIn;
  readonly hosts: readonly SoakHost[];
  /** All upstreams that ever were, those that left too. */
  readonly upstreams: readonly SoakUpstream[];
  addUpstream(
    service: string,
    role?: 'prefill' | 'decode',
  ): Promise<SoakUpstream>;
  /**
   * The store comes back from an older copy. The operator writes its newest
   * version again, and live upstreams their rows; others lapse.
   */
  comeBack(copy: StoreCopy, awayAtMs: number, backAtMs: number): void;
  /** The next version of the configuration, with this many extra routes. */
  configure(extraRoutes: number): number;
  close(): Promise<void>;
}

export interface SoakSiteOptions {
  readonly hostCount: number;
  readonly program: string;
  readonly folder: string;
}

export const STREAM_EVENTS = 20;
const EVENT_EVERY_MS = 25;
const HEARTBEAT_MS = 600;
/** The store drops an entry after three heartbeats without one. */
const LAPSE_MS = 3 * HEARTBEAT_MS;
const WRITTEN_AGAIN_MS = 1_000;
/** Hosts have a list of the store within this time. */
const LIST_READ_MS = 1_500;
const GRACE_MS = 4_000;
/** Path prefix of the routes that a configuration may add. */
export const EXTRA_PREFIX = '/extra-';

export async function createSoakSite(
  options: SoakSiteOptions,
): Promise<SoakSite> {
  const store = await createStoreStandIn();
  const upstreams: SoakUpstream[] = [];
  const hosts: SoakHost[] = [];
  let version = 0;
  let newest: object = {};

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
  ): Promise<SoakUpstream> {
    const standIn = await createEngineStandIn({
      id: `i-${upstreams.length + 1}`,
      service,
      role,
      eventCount: STREAM_EVENTS,
      eventEveryMs: EVENT_EVERY_MS,
    });
    const link = await createFaultProxy(standIn.address);
    const upstream: SoakUpstream = {
      standIn,
      link,
      service,
      asks: [],
      state: 'ready',
    };
    upstreams.push(upstream);
    writeRow(upstream);
    return upstream;
  }

  function configure(extraRoutes: number): number {
    const base = makeConfiguration() as {readonly routes: readonly object[]};
    const extra = Array.from({length: extraRoutes}, (_, i) => ({
      ...base.routes[0],
      name: `extra-${i}`,
      prefix: `${EXTRA_PREFIX}${i}/`,
    }));
    version += 3;
    newest = {...base, version, routes: [...base.routes, ...extra]};
    store.put('op', 'config', newest);
    return version;
  }

  function comeBack(copy: StoreCopy, awayAtMs: number, backAtMs: number): void {
    store.restore(copy);
    setTimeout(() => store.put('op', 'config', newest), WRITTEN_AGAIN_MS);
    setTimeout(() => {
      for (const {state, standIn} of upstreams) {
        if (state === 'gone') store.remove('servers', standIn.id);
      }
    }, LAPSE_MS);
    for (const upstream of upstreams) {
      // No host may have read that it leaves; it says so again.
      const {leftAtMs = 0} = upstream;
      const isUnread = leftAtMs > awayAtMs - LIST_READ_MS;
      if (isUnread) upstream.leftAtMs = backAtMs + HEARTBEAT_MS;
    }
  }

  async function addHost(index: number, seed?: string): Promise<SoakHost> {
    const storeLink = await createFaultProxy(store.address);
    const child = createRelayChild({
      program: options.program,
      folder: options.folder,
      settings: {
        hostId: `host-${index}`,
        failureDomain: 'raadi-ruum',
        callerAddress: await findFreeAddress(),
        readyAddress: await findFreeAddress(),
        directoryAddress: await findFreeAddress(),
        metricsAddress: await findFreeAddress(),
        peerAddress: await findFreeAddress(),
        seedAddresses: seed ? [seed] : [],
        storeAddress: storeLink.address,
        retryRatio: 0.2,
        retrySlack: 58,
        leaveGraceMs: GRACE_MS,
        leaseMs: 3_000,
      },
    });
    const host = {child, storeLink};
    hosts.push(host);
    return host;
  }

  configure(0);
  for (let i = 0; i < 3; i++) await addUpstream('ledger');
  for (let i = 0; i < 4; i++) await addUpstream('drafts', 'decode');
  for (let i = 0; i < 2; i++) await addUpstream('drafts', 'prefill');
  for (let i = 0; i < options.hostCount; i++) {
    const {child} = await addHost(i, hosts[0]?.child.settings.peerAddress);
    child.start();
  }

  return {
    store,
    hosts,
    upstreams,
    addUpstream,
    configure,
    comeBack,
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
}
