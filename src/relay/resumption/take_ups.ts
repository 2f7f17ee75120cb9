/**
 * Decides whether and at which version a stream goes on that its caller takes
 * up. A host that does not know where the stream began refuses it, unless no
 * other version can have begun it.
 */

import type {RequestError} from '../../core/error_kinds.js';
import type {Service} from '../../core/routing_types.js';
import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import {hasDecodeEngine, VERSION_GONE} from '../placement/engine_versions.js';
import type {RelayMetrics} from '../relay_metrics.js';
import {leftMs, type RelayJob} from '../relay_types.js';
import type {RoutingState} from '../routing_state.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';
import type {OriginArchive} from './origin_archive.js';
import type {OriginExchange, OriginFindings} from './origin_exchange.js';
import {MAX_ID_LENGTH} from './origin_messages.js';
import type {StreamOrigin, StreamOrigins} from './stream_origins.js';
import type {SeenVersions, VersionHistory} from './version_history.js';
import type {VersionGate} from './version_gate.js';
import type {VersionLedger} from './version_ledger.js';

export interface TakeUpsHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: Pick<RelayMetrics, 'count'>;
  readonly origins: StreamOrigins;
  readonly history: VersionHistory;
  readonly exchange: Pick<OriginExchange, 'ask' | 'askAgain'>;
  readonly ledger: Pick<VersionLedger, 'read'>;
  readonly archive: Pick<OriginArchive, 'find'>;
  readonly gate: Pick<VersionGate, 'mayBegin'>;
  readonly registry: Pick<UpstreamRegistry, 'notLeaving'>;
  readonly routing: Pick<RoutingState, 'service'>;
  /** Whether this host knows no other host. */
  isAlone(): boolean;
  /** No stream of the service is older. */
  maxStreamAgeMs(service: string): number;
}

export type TakeUp =
  /** The caller begins a stream. */
  | {readonly kind: 'new'}
  | {
      readonly kind: 'resumed';
      readonly version: string;
      /** The service that began the stream. */
      readonly service: Service;
    }
  | {readonly kind: 'refused'; readonly error: RequestError};

export interface TakeUps {
  decide(job: RelayJob): Promise<TakeUp>;
}

/** How a take-up was decided, for the log and the counter. */
type Basis = 'own' | 'peer' | 'archive' | 'single-version' | 'gone' | 'unknown';

/**
 * Peers may be suspended for a moment. A caller that is refused begins its
 * stream anew, which costs more than this wait.
 */
const SILENT_PEERS_MS = 800;

/** The caller gains nothing by waiting, so it may begin the stream anew now. */
const UNKNOWN: RequestError = {
  kind: 'stream-unknown',
  detail: 'Begin the stream anew.',
  retryAfterMs: 0,
};

/** The id that the caller names, if it may be one. */
function toRequestId({request}: RelayJob): string {
  const {resumes = ''} = request;
  return resumes.length <= MAX_ID_LENGTH ? resumes : '';
}

function isOfCaller(
  origin: StreamOrigin,
  {route, admitted}: RelayJob,
): boolean {
  return (
    origin.route === route.name && origin.account === admitted.account?.name
  );
}

export function createTakeUps(host: TakeUpsHost): TakeUps {
  const {log, origins, history, registry} = host;

  /** The service that began the stream, if its route still leads there. */
  function findService(
    {service}: StreamOrigin,
    {route}: RelayJob,
  ): Service | undefined {
    const isTarget = route.targets.some(each => each.service === service);
    return isTarget ? host.routing.service(service) : undefined;
  }

  /**
   * The version that began any stream of the service. "One version in the list
   * now" does not show it, since another may just have ended. Hosts that have
   * all started anew learn of earlier versions from the store.
   */
  async function findSingleVersion(
    service: string,
    atPeers: readonly SeenVersions[],
  ): Promise<string | undefined> {
    const windowMs = host.maxStreamAgeMs(service);
    const isLongEnough = ({observedMs}: SeenVersions) => observedMs >= windowMs;
    const own = history.seenWithin(service, windowMs);
    const seen = [own, ...atPeers];
    const versions = new Set(seen.flatMap(each => each.versions));
    // A host that is out of step knows no versions that came since its list was
    // made, but no stream begins at one that the ledger lacks.
    const isInTouch = atPeers.length > 0 || host.isAlone();
    const isKnown = isInTouch && seen.some(isLongEnough);
    if (versions.size === 1 && isKnown) return [...versions][0];
    // Versions that are listed, but not in the ledger, have begun no stream.
    const noted = await host.ledger.read(service, windowMs);
    if (!noted || !isLongEnough(noted)) return undefined;
    const [version, ...others] = noted.versions;
    // Without the ledger, a version is used only where it is needed.
    const isOtherUsed = [...versions].some(
      each => each !== version && host.gate.mayBegin({service, version: each}),
    );
    return others.length > 0 || isOtherUsed ? undefined : version;
  }

  function toQuery(job: RelayJob) {
    const {name: service} = job.service;
    const windowMs = host.maxStreamAgeMs(service);
    return {requestId: toRequestId(job), service, windowMs};
  }

  const patienceMs = ({deadlineAtMs}: RelayJob) =>
    Math.min(SILENT_PEERS_MS, leftMs(deadlineAtMs, host.clock.nowMs()) / 2);

  function record(
    {request}: RelayJob,
    basis: Basis,
    origin: StreamOrigin | undefined,
    answered: number,
  ): void {
    host.metrics.count('take_ups', `basis="${basis}"`);
    log.info('Stream taken up.', {
      request: request.requestId,
      basis,
      version: origin?.version,
      ageMs: origin && Math.round(origin.ageMs),
      answered,
    });
  }

  function refuse(error: RequestError): TakeUp {
    return {kind: 'refused', error};
  }

  /** Undefined if the findings don't tell where the stream began. */
  async function conclude(
    job: RelayJob,
    found: OriginFindings,
    basis: 'own' | 'peer' | 'archive',
  ): Promise<TakeUp | undefined> {
    const answered = found.seen.length;
    const origin =
      found.origin && isOfCaller(found.origin, job) ? found.origin : undefined;
    const service = origin && findService(origin, job);
    if (origin && service) {
      const {version} = origin;
      if (!hasDecodeEngine(registry.notLeaving(service.name), version)) {
        record(job, 'gone', origin, answered);
        return refuse(VERSION_GONE);
      }
      record(job, basis, origin, answered);
      return {kind: 'resumed', version, service};
    }
    const version = await findSingleVersion(job.service.name, found.seen);
    // The stream may have begun at a service that its route has left.
    const isOther = origin !== undefined && origin.version !== version;
    if (version === undefined || isOther) return undefined;
    record(job, 'single-version', origin, answered);
    return {kind: 'resumed', version, service: job.service};
  }

  /** All hosts that knew the stream may have ended. */
  async function concludeFromArchive(
    job: RelayJob,
    requestId: string,
    found: OriginFindings,
  ): Promise<TakeUp | undefined> {
    if (!requestId || found.origin) return undefined;
    const {route, admitted} = job;
    const identity = {
      requestId,
      route: route.name,
      account: admitted.account?.name,
    };
    const archived = await host.archive.find(identity);
    if (!archived) return undefined;
    const origin = {...identity, ...archived, leftMs: 0, ageMs: 0};
    return conclude(job, {...found, origin}, 'archive');
  }

  return {
    async decide(job) {
      if (!job.request.lastEventId) return {kind: 'new'};
      const query = toQuery(job);
      const own = origins.find(query.requestId);
      const basis = own ? 'own' : 'peer';
      const isDecisive = own && isOfCaller(own, job) && findService(own, job);
      const asked: OriginFindings = isDecisive
        ? {seen: [], silentIds: []}
        : await host.exchange.ask(query);
      const first = own ? {...asked, origin: own} : asked;
      const takeUp =
        (await conclude(job, first, basis)) ??
        (await concludeFromArchive(job, query.requestId, first));
      if (takeUp) return takeUp;
      const all = query.requestId
        ? await host.exchange.askAgain(query, first, patienceMs(job))
        : first;
      const hasMore = all.seen.length > first.seen.length;
      const later = hasMore ? await conclude(job, all, basis) : undefined;
      if (later) return later;
      record(job, 'unknown', all.origin, all.seen.length);
      return refuse(UNKNOWN);
    },
  };
}
