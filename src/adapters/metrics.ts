/** Metrics by prom-client, with a bounded set of label values. */

import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import {errorAnswers, type ErrorKind} from '../core/error_kinds.js';
import type {RequestClass} from '../ports/grants.js';

/** The labels of a request. */
export interface RequestLabels {
  readonly service: string;
  readonly account: string;
  readonly requestClass: RequestClass;
}

export type RequestResult = 'whole' | 'cut' | 'refused' | 'cancelled';

/** Records the metrics; all durations are in milliseconds. */
export interface Metrics {
  /** Sets the names that may be label values; others become `other`. */
  setKnownNames(services: readonly string[], accounts: readonly string[]): void;
  recordFirstToken(labels: RequestLabels, durationMs: number): void;
  recordTokenInterval(labels: RequestLabels, durationMs: number): void;
  recordTotalWait(
    labels: RequestLabels,
    result: RequestResult,
    durationMs: number,
  ): void;
  recordQueueing(labels: RequestLabels, durationMs: number): void;
  recordGoodput(labels: RequestLabels): void;
  recordPrefillWasted(labels: RequestLabels, promptTokenCount: number): void;
  recordPrefill(labels: RequestLabels): void;
  recordRefusal(labels: RequestLabels, kind: ErrorKind): void;
  /** Counts a late, misdirected or repeated frame that was dropped. */
  recordFrameDropped(reason: FrameDropReason): void;
  recordResume(labels: RequestLabels): void;
  recordRetry(service: string, decision: RetryDecision): void;
  /** Counts an upstream that was lost or failed while it ran a request. */
  recordUpstreamFailure(service: string): void;
  recordTableWrite(outcome: TableOutcome): void;
  recordTableRead(outcome: TableOutcome): void;
  recordJournalBatch(intentCount: number): void;
  setActiveRequests(count: number): void;
  setMembersAlive(count: number): void;
  setConfigurationRevision(revision: number): void;
  /** The metrics in the text format of Prometheus. */
  render(): Promise<string>;
  readonly contentType: string;
}

export type FrameDropReason = 'late' | 'crossed' | 'repeated';
/** Whether a retry was made, or why not. */
export type RetryDecision = 'made' | 'budget' | 'quarantined';
export type TableOutcome =
  'applied' | 'rejected' | 'refused' | 'unknown' | 'read' | 'failed';

const OTHER = 'other';
const PREFIX = 'corianderbend_';
/** Histogram buckets of waits, from 1 ms to 10 minutes. */
const WAIT_BUCKETS_S = [
  0.001, 0.003, 0.01, 0.03, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60, 180, 600,
];
/** Histogram buckets of the time between tokens, from 5 ms to 2 s. */
const INTERVAL_BUCKETS_S = [
  0.005, 0.01, 0.02, 0.03, 0.04, 0.05, 0.06, 0.08, 0.1, 0.15, 0.25, 0.5, 1, 2,
];
const BATCH_BUCKETS = [1, 2, 5, 10, 20, 50, 100];
const MS_PER_S = 1000;
const REQUEST_LABELS = ['service', 'account', 'class'] as const;

/** Registers all metrics in `registry`, which the caller owns. */
export function createMetrics(registry: Registry): Metrics {
  const registers = [registry];
  const histogram = <T extends string>(
    name: string,
    help: string,
    buckets: number[],
    labelNames: readonly T[],
  ) =>
    new Histogram({name: PREFIX + name, help, buckets, labelNames, registers});
  const counter = <T extends string>(
    name: string,
    help: string,
    labelNames: readonly T[],
  ) => new Counter({name: PREFIX + name, help, labelNames, registers});
  const gauge = (name: string, help: string) =>
    new Gauge({name: PREFIX + name, help, registers});

  const firstToken = histogram(
    'first_token_seconds',
    'From the arrival of a model request to its first token.',
    WAIT_BUCKETS_S,
    REQUEST_LABELS,
  );
  const tokenInterval = histogram(
    'token_interval_seconds',
    'Between two tokens of an answer.',
    INTERVAL_BUCKETS_S,
    REQUEST_LABELS,
  );
  const totalWait = histogram(
    'total_wait_seconds',
    'From the arrival of a request to the end of its answer.',
    WAIT_BUCKETS_S,
    [...REQUEST_LABELS, 'result'],
  );
  const queueing = histogram(
    'queueing_seconds',
    'From the arrival of a request to its grant or dispatch.',
    WAIT_BUCKETS_S,
    REQUEST_LABELS,
  );
  const goodput = counter(
    'goodput_total',
    'Requests answered once, whole and within their targets.',
    REQUEST_LABELS,
  );
  const prefills = counter(
    'prefills_total',
    'Prefills computed.',
    REQUEST_LABELS,
  );
  const wasted = counter(
    'prefill_wasted_total',
    'Prefills computed and then thrown away.',
    REQUEST_LABELS,
  );
  const wastedTokens = counter(
    'prefill_wasted_tokens_total',
    'Prompt tokens of prefills that were thrown away.',
    REQUEST_LABELS,
  );
  const refusals = counter(
    'refusals_total',
    'Requests refused or failed, by error kind.',
    [...REQUEST_LABELS, 'kind', 'run_state'],
  );
  const frames = counter(
    'frames_dropped_total',
    'Frames of answers that came late or crossed.',
    ['reason'],
  );
  const resumes = counter(
    'resumes_total',
    'Streams resumed on another engine.',
    REQUEST_LABELS,
  );
  const retries = counter(
    'retries_total',
    'Retries made, and retries that were denied and why.',
    ['service', 'decision'],
  );
  const blamed = counter(
    'upstreams_blamed_total',
    'Upstreams that failed while they ran a request.',
    ['service'],
  );
  const tableWrites = counter(
    'table_writes_total',
    "Transactions on the platform's table.",
    ['outcome'],
  );
  const tableReads = counter(
    'table_reads_total',
    "Reads of the platform's table.",
    ['outcome'],
  );
  const journalBatch = histogram(
    'journal_batch_intents',
    'Intents that one journal write carries.',
    BATCH_BUCKETS,
    [],
  );
  const active = gauge('active_requests', 'Requests that have not ended.');
  const members = gauge('members_alive', 'Processes believed alive.');
  const revision = gauge(
    'configuration_revision',
    'Revision of the configuration in force.',
  );

  let services: ReadonlySet<string> = new Set();
  let accounts: ReadonlySet<string> = new Set();
  // Otherwise a caller could create any number of time series.
  const limitService = (name: string) => (services.has(name) ? name : OTHER);
  const limitLabels = (labels: RequestLabels) => ({
    service: limitService(labels.service),
    account: accounts.has(labels.account) ? labels.account : OTHER,
    class: labels.requestClass,
  });

  return {
    contentType: registry.contentType,
    setKnownNames(newServices, newAccounts) {
      services = new Set(newServices);
      accounts = new Set(newAccounts);
    },
    recordFirstToken(labels, durationMs) {
      firstToken.observe(limitLabels(labels), durationMs / MS_PER_S);
    },
    recordTokenInterval(labels, durationMs) {
      tokenInterval.observe(limitLabels(labels), durationMs / MS_PER_S);
    },
    recordTotalWait(labels, result, durationMs) {
      totalWait.observe(
        {...limitLabels(labels), result},
        durationMs / MS_PER_S,
      );
    },
    recordQueueing(labels, durationMs) {
      queueing.observe(limitLabels(labels), durationMs / MS_PER_S);
    },
    recordGoodput: labels => goodput.inc(limitLabels(labels)),
    recordPrefill: labels => prefills.inc(limitLabels(labels)),
    recordPrefillWasted(labels, promptTokenCount) {
      wasted.inc(limitLabels(labels));
      wastedTokens.inc(limitLabels(labels), promptTokenCount);
    },
    recordRefusal(labels, kind) {
      const runState = errorAnswers[kind].runState;
      refusals.inc({...limitLabels(labels), kind, run_state: runState});
    },
    recordFrameDropped: reason => frames.inc({reason}),
    recordResume: labels => resumes.inc(limitLabels(labels)),
    recordRetry: (service, decision) =>
      retries.inc({service: limitService(service), decision}),
    recordUpstreamFailure: service =>
      blamed.inc({service: limitService(service)}),
    recordTableWrite: outcome => tableWrites.inc({outcome}),
    recordTableRead: outcome => tableReads.inc({outcome}),
    recordJournalBatch: intentCount => journalBatch.observe(intentCount),
    setActiveRequests: count => active.set(count),
    setMembersAlive: count => members.set(count),
    setConfigurationRevision: value => revision.set(value),
    render: () => registry.metrics(),
  };
}
