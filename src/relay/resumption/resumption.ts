/** Creates and connects the parts that let callers take up their streams. */

import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {Random} from '../../ports/random.js';
import type {TablePort} from '../../ports/table.js';
import type {Upstream} from '../../core/upstream.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';
import type {Member} from '../fleet/members.js';
import type {RelayMetrics} from '../relay_metrics.js';
import {leftMs, type RelayJob} from '../relay_types.js';
import type {RoutingState} from '../routing_state.js';
import {createOriginArchive} from './origin_archive.js';
import {createOriginExchange} from './origin_exchange.js';
import type {OriginMessage} from './origin_messages.js';
import {createStreamOrigins, type StreamOrigin} from './stream_origins.js';
import {createTakeUps, type TakeUps} from './take_ups.js';
import {createVersionHistory} from './version_history.js';
import {
  canServeAlone,
  createVersionGate,
  type EngineCounts,
  type VersionGate,
} from './version_gate.js';
import {createVersionLedger, type ServiceVersions} from './version_ledger.js';

export interface ResumptionHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly metrics: Pick<RelayMetrics, 'count'>;
  readonly hostId: string;
  readonly registry: UpstreamRegistry;
  readonly routing: RoutingState;
  /** Live hosts except this one. */
  peers(): readonly Pick<Member, 'hostId' | 'state'>[];
  isMesh(): boolean;
  /** Hosts that write origins to the store, in the same order at all hosts. */
  archiverIds(): readonly string[];
  /** The table of the store with the ledger of versions and the archive. */
  readonly table: TablePort;
  storeEra(): number;
  /** Whether this host writes to the store for all. */
  isWriter(): boolean;
  send(hostId: string, message: OriginMessage): void;
  /** New streams may begin at more engines. */
  onOpen(): void;
}

export interface Resumption extends Pick<VersionGate, 'mayBegin'> {
  readonly takeUps: TakeUps;
  /** The stream of the job is about to get an event of this version. */
  recordBegun(job: RelayJob, version: string | undefined): void;
  receive(fromHostId: string, message: OriginMessage): void;
  /** The list of upstreams was read. */
  noteList(): void;
  /** This host leaves: others keep what it knows. */
  handOver(): void;
  /** Number of streams whose version this host knows. */
  knownCount(): number;
  stop(): void;
}

/**
 * A caller may come back after the time-out of its first attempt, until its own
 * deadline, which is not known.
 */
const MAX_AGE_FACTOR = 2;

export function createResumption(host: ResumptionHost): Resumption {
  const {clock, registry, routing} = host;
  const origins = createStreamOrigins({clock});
  const history = createVersionHistory({clock});
  const ledger = createVersionLedger({
    ...host,
    listed: listVersions,
    canServeAlone: (service, versions) =>
      canServeAlone(countEngines().get(service) ?? new Map(), versions),
  });
  const gate = createVersionGate({
    ...host,
    ledger,
    engineCounts: countEngines,
    isSubstitute: () => host.archiverIds().includes(host.hostId),
    peerCount: () => host.peers().length,
  });
  const archive = createOriginArchive({
    ...host,
    isSingle: isSingleInStore,
    onWritten: outcome =>
      host.metrics.count('archived_origins', `outcome="${outcome}"`),
  });
  const exchange = createOriginExchange({...host, origins, history, archive});
  /** Services that have one version by the store, too. */
  const provenSingle = new Set<string>();
  let ageVersion: number | undefined;
  let maxAgesMs = new Map<string, number>();
  /** Services of which the origins need no copies. */
  let singleServices: ReadonlySet<string> = new Set();

  function readMaxAges(): Map<string, number> {
    const agesMs = new Map<string, number>();
    for (const {targets, timeoutMs} of routing.current()?.routes ?? []) {
      for (const {service} of targets) {
        const ageMs = MAX_AGE_FACTOR * timeoutMs;
        agesMs.set(service, Math.max(ageMs, agesMs.get(service) ?? 0));
      }
    }
    return agesMs;
  }

  function maxStreamAgeMs(service: string): number {
    if (ageVersion !== routing.version()) maxAgesMs = readMaxAges();
    ageVersion = routing.version();
    return maxAgesMs.get(service) ?? 0;
  }

  /** The versions of each model service in the list, if all are known. */
  function listVersions(): ServiceVersions | undefined {
    const engines = listEngines();
    if (engines.some(({version}) => version === undefined)) return undefined;
    return new Map(
      [...countEngines()]
        .sort()
        .map(([service, counts]) => [service, [...counts.keys()].sort()]),
    );
  }

  function listEngines(): readonly Upstream[] {
    const {upstreams = []} = registry.snapshot() ?? {};
    return upstreams.filter(({role}) => role !== undefined);
  }

  function countEngines(): ReadonlyMap<string, EngineCounts> {
    const services = new Map<string, Map<string, number>>();
    for (const {id, service, role, version} of listEngines()) {
      if (version === undefined) continue;
      const counts = services.get(service) ?? new Map<string, number>();
      services.set(service, counts);
      const isTaking = role === 'decode' && registry.getOpen(id) !== undefined;
      counts.set(version, (counts.get(version) ?? 0) + (isTaking ? 1 : 0));
    }
    return services;
  }

  /** Whether any host can tell the version of any stream of the service. */
  const isSingle = (service: string) =>
    history.isSingle(service, maxStreamAgeMs(service));

  async function isSingleInStore(service: string): Promise<boolean> {
    const windowMs = maxStreamAgeMs(service);
    const {versions} = history.seenWithin(service, windowMs);
    if (versions.length !== 1) provenSingle.delete(service);
    else if (!provenSingle.has(service)) {
      const noted = await ledger.read(service, windowMs);
      const isProven =
        noted !== undefined &&
        noted.observedMs >= windowMs &&
        noted.versions.every(each => each === versions[0]);
      if (isProven) provenSingle.add(service);
    }
    return provenSingle.has(service);
  }

  /** Other hosts keep the origins, and the store where versions differ. */
  function share(shared: readonly StreamOrigin[]): void {
    exchange.copy(shared);
    exchange.archive(shared);
  }

  const takeUps = createTakeUps({
    ...host,
    origins,
    history,
    exchange,
    ledger,
    archive,
    gate,
    isAlone: () => host.peers().length === 0,
    maxStreamAgeMs,
  });

  return {
    takeUps,
    mayBegin: gate.mayBegin,
    recordBegun({request, route, service, admitted}, version) {
      if (!route.isResumable || version === undefined) return;
      const isTakeUp = Boolean(request.lastEventId);
      const requestId = isTakeUp ? request.resumes : request.requestId;
      if (!requestId) return;
      const isShared = !isSingle(service.name);
      const origin = {
        requestId,
        route: route.name,
        account: admitted.account?.name,
        service: service.name,
        version,
        leftMs: leftMs(request.arrivedAtMs + request.waitMs, clock.nowMs()),
        ageMs: 0,
      };
      origins.add(origin, isShared);
      if (isShared) share([origin]);
      else singleServices = new Set([...singleServices, service.name]);
    },
    receive: exchange.receive,
    noteList() {
      history.note(registry.snapshot()?.upstreams ?? []);
      const stillSingle = new Set([...singleServices].filter(isSingle));
      for (const service of singleServices) {
        if (stillSingle.has(service)) continue;
        share(origins.takeUnshared(service));
      }
      singleServices = stillSingle;
      gate.noteList();
      if (host.isWriter()) void ledger.update();
    },
    handOver: () => exchange.copy(origins.list()),
    knownCount: origins.count,
    stop() {
      archive.stop();
      gate.stop();
    },
  };
}
