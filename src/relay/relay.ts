/**
 * Handles a caller's request: checks that it may run, finds its route, service,
 * account and deadline, and runs it as a plain request or as a stream.
 */

import type {RequestError} from '../core/error_kinds.js';
import type {Clock} from '../ports/clock.js';
import type {Logger} from '../ports/log.js';
import type {Random} from '../ports/random.js';
import type {RelayRequest} from '../ports/relay.js';
import type {AccountAdmission} from './accounts/account_admission.js';
import type {Caller} from './front/caller.js';
import type {CallDurations} from './front/call_durations.js';
import {createCancellation} from './front/cancellation.js';
import type {BeginningRequest} from './front/leaving.js';
import type {CrashWatch} from './crashes/crash_watch.js';
import type {PlainRelay} from './plain/plain_relay.js';
import type {RelayMetrics} from './relay_metrics.js';
import type {
  CancellableJob,
  OpenJob,
  OpenJobs,
  PendingJob,
} from './open_jobs.js';
import {leftMs, type RelayJob} from './relay_types.js';
import type {JobOutcome} from './job_outcome.js';
import {chooseService} from './routing.js';
import type {RoutingState} from './routing_state.js';
import type {ConfigurationStatus} from './store/routing_watch.js';
import type {StreamRelay} from './streams/stream_relay.js';

export interface RelayHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly metrics: RelayMetrics;
  readonly routing: RoutingState;
  readonly plain: PlainRelay;
  readonly streams: StreamRelay;
  readonly crashes: CrashWatch;
  readonly accounts: AccountAdmission;
  readonly durations: Pick<CallDurations, 'record'>;
  readonly openJobs: Pick<OpenJobs, 'open'>;
  configurationStatus(): ConfigurationStatus;
  /**
   * Resolves to whether the configuration is recent enough to refuse a request
   * by it.
   */
  confirmConfiguration(): Promise<boolean>;
  /** How late the event loop ran its timers recently. */
  loopLatenessMs(): number;
  /** Returns an error if this host is leaving and the request can't begin. */
  refuseForLeaving(request: BeginningRequest): RequestError | undefined;
}

export interface Relay {
  /** Resolves when the request has ended. */
  handle(request: RelayRequest, caller: Caller): Promise<void>;
  activeCount(): number;
}

/** A process receives the configuration within this time after its start. */
const NO_CONFIGURATION_RETRY_MS = 500;
const UNCONFIRMED_RETRY_MS = 500;

const isUnknownRoute = (prepared: PendingJob | RequestError) =>
  'kind' in prepared && prepared.kind === 'unknown-route';

export function createRelay(host: RelayHost): Relay {
  const {clock, random, log, metrics, routing, plain, streams} = host;
  let activeCount = 0;

  function prepare(
    received: RelayRequest,
    caller: Caller,
  ): PendingJob | RequestError {
    if (!routing.current()) {
      return {
        kind: 'configuration-missing',
        detail: 'Ask again in a moment.',
        retryAfterMs: NO_CONFIGURATION_RETRY_MS,
      };
    }
    const path = received.target.split('?', 1)[0];
    const route = routing.match(received.host, path);
    if (!route) return {kind: 'unknown-route', detail: path.slice(0, 80)};
    const refusal = host.crashes.findRefusal(received);
    if (refusal) return refusal;
    const name = chooseService(route, random);
    const service = routing.service(name);
    if (!service) return {kind: 'no-upstream', detail: 'No such service.'};
    const waitMs = Math.min(received.waitMs, route.timeoutMs);
    const deadlineAtMs = received.arrivedAtMs + waitMs;
    const leaving = host.refuseForLeaving({
      request: received,
      route,
      service,
      caller,
      deadlineAtMs,
    });
    if (leaving) return leaving;
    caller.noteShape(service.engine ? 'in-parts' : 'whole');
    const cancellation = createCancellation();
    caller.onDisconnect(() => cancellation.cancel());
    return {
      request: received,
      route,
      service,
      caller,
      cancellation,
      deadlineAtMs,
    };
  }

  /**
   * As `prepare`, but refuses a request for an unknown route only by a recent
   * configuration: the route may be in a version that this host lacks.
   */
  async function prepareConfirmed(
    request: RelayRequest,
    caller: Caller,
  ): Promise<PendingJob | RequestError> {
    const {version, ...status} = host.configurationStatus();
    const isConfirmed = await host.confirmConfiguration();
    const prepared = prepare(request, caller);
    if (!isUnknownRoute(prepared)) return prepared;
    log.info('No route matches the request.', {
      request: request.requestId,
      version,
      ...status,
      isConfirmed,
      loopLatenessMs: host.loopLatenessMs(),
    });
    return isConfirmed
      ? prepared
      : {
          kind: 'configuration-unconfirmed',
          detail: 'This entry cannot tell whether the route exists.',
          retryAfterMs: UNCONFIRMED_RETRY_MS,
        };
  }

  /** The last check, since it charges the account's limit. */
  async function admit(
    pending: PendingJob,
  ): Promise<CancellableJob | RequestError> {
    const {request, route} = pending;
    const admitted = await host.accounts.admit(request, route);
    if (admitted.kind === 'refused') return admitted.error;
    const accountName = admitted.account?.name;
    return {...pending, request: {...request, accountName}, admitted};
  }

  function start(job: CancellableJob): Promise<JobOutcome> | JobOutcome {
    if (job.cancellation.isCancelled) {
      return {end: 'caller-gone', upstreams: []};
    }
    return job.service.engine ? streams.run(job) : plain.run(job);
  }

  async function run(job: CancellableJob, entry: OpenJob): Promise<JobOutcome> {
    const endWatch = host.crashes.watchWaiting(job.request, entry.end);
    try {
      const outcome = await start(job);
      const wasSent = outcome.upstreams.length > 0 || outcome.wasPrefilled;
      if (outcome.end !== 'answered' && !wasSent) job.admitted.refund();
      return entry.toOutcome(outcome);
    } finally {
      endWatch();
    }
  }

  /** Waits for a placement don't count. */
  function recordDuration(job: RelayJob, outcome: JobOutcome): void {
    if (outcome.end !== 'answered') return;
    const durationMs = clock.nowMs() - job.request.arrivedAtMs;
    const {waitedMs = 0} = outcome;
    host.durations.record(job.service.name, durationMs - waitedMs);
  }

  function logOutcome(
    request: RelayRequest,
    job: RelayJob | undefined,
    outcome: JobOutcome,
  ): void {
    const durationMs = Math.round(clock.nowMs() - request.arrivedAtMs);
    const fields = {
      request: request.requestId,
      account: job?.request.accountName,
      route: job?.route.name,
      service: job?.service.name,
      end: outcome.end,
      status: outcome.status,
      reason: outcome.reason,
      upstreams: outcome.upstreams.join(',') || undefined,
      versions: outcome.versions?.join(',') || undefined,
      lastEventId: toLogText(request.lastEventId),
      resumes: toLogText(request.resumes),
      waitedMs: round(outcome.waitedMs),
      firstByteMs: round(outcome.firstByteMs),
      events: outcome.events,
      framing: outcome.framing,
      restBytes: outcome.restBytes || undefined,
      durationMs,
      leftMs: job && Math.round(leftMs(job.deadlineAtMs, clock.nowMs())),
      configuration: routing.version(),
    };
    if (outcome.end === 'answered') log.info('Request answered.', fields);
    else log.warn('Request not answered.', fields);
    metrics.requestEnded(
      job?.service.name,
      job?.route.kind,
      outcome,
      durationMs,
    );
  }

  function refuse(
    request: RelayRequest,
    caller: Caller,
    error: RequestError,
  ): void {
    caller.refuse(error);
    const reason = error.kind;
    const outcome = {end: 'refused', reason, upstreams: []} as const;
    logOutcome(request, undefined, outcome);
  }

  async function admitAndRun(
    pending: PendingJob,
    entry: OpenJob,
  ): Promise<void> {
    const {request, caller} = pending;
    const job = await admit(pending);
    if ('kind' in job) return refuse(request, caller, job);
    entry.admit(job);
    activeCount++;
    try {
      const outcome = await run(job, entry);
      recordDuration(job, outcome);
      logOutcome(request, job, outcome);
    } catch (error) {
      // An internal error must not leave the caller waiting until its
      // deadline.
      log.error('Internal error in a request.', {
        request: request.requestId,
        reason: error instanceof Error ? error.stack : String(error),
      });
      if (caller.hasBegun) caller.cut();
      else caller.refuse({kind: 'internal', detail: 'See the log.'});
    } finally {
      activeCount--;
    }
  }

  return {
    async handle(request, caller) {
      let pending = prepare(request, caller);
      if (isUnknownRoute(pending)) {
        pending = await prepareConfirmed(request, caller);
      }
      if ('kind' in pending) return refuse(request, caller, pending);
      const entry = host.openJobs.open(pending);
      try {
        await admitAndRun(pending, entry);
      } finally {
        entry.close();
      }
    },
    activeCount: () => activeCount,
  };
}

const MAX_LOG_TEXT = 64;

/** A header of the caller, cut to a length that a log line can take. */
function toLogText(value: string | undefined): string | undefined {
  return value?.slice(0, MAX_LOG_TEXT);
}

function round(value: number | undefined): number | undefined {
  return value === undefined ? undefined : Math.round(value);
}
