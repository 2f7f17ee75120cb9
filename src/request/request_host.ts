/** The host and the options of the request tasks. */

import type {ErrorKind} from '../core/error_kinds.js';
import type {stepModel} from '../core/request/model_machine.js';
import type {stepPlain} from '../core/request/plain_machine.js';
import type {stepSingleRun} from '../core/request/single_run_machine.js';
import type {ModelPolicy} from '../core/request/model_types.js';
import type {PlainPolicy} from '../core/request/plain_types.js';
import type {RequestClass} from '../ports/grants.js';
import type {GrantPort} from '../ports/grants.js';
import type {Clock} from '../ports/clock.js';
import type {EnginePortFactory} from '../ports/engine.js';
import type {JournalPort} from '../ports/journal.js';
import type {Logger} from '../ports/log.js';
import type {PlainServicePortFactory} from '../ports/plain_service.js';
import type {PlainUpstreamPicker} from '../ports/plain_upstreams.js';
import type {Random} from '../ports/random.js';
import type {KeptAnswers} from './kept_answers.js';
import type {Quarantine} from './quarantine.js';
import type {RetryBudget} from './retry_budget.js';

/** Gets notified of request events; the metrics adapter implements it. */
export interface RequestObserver {
  onFrameDropped?(service: string, what: 'late' | 'crossed' | 'repeated'): void;
  onRetry?(service: string): void;
  onRetryDenied?(service: string, why: 'budget' | 'quarantined'): void;
  onUpstreamLost?(service: string, engineId: string): void;
  onRequestEnded?(service: string, result: 'answered' | ErrorKind): void;
}

/** The state machines of the tasks; the fault harness injects faulty ones. */
export interface RequestMachines {
  readonly stepModel: typeof stepModel;
  readonly stepPlain: typeof stepPlain;
  readonly stepSingleRun: typeof stepSingleRun;
}

export interface RequestHost {
  readonly machines?: Partial<RequestMachines>;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  /** This process as an owner of engine sessions, `host#incarnation`. */
  readonly entry: string;
  readonly enginePort: EnginePortFactory;
  readonly plainPort: PlainServicePortFactory;
  readonly grants: GrantPort;
  readonly journal: JournalPort;
  readonly plainBalancer: PlainUpstreamPicker;
  readonly quarantine: Quarantine;
  readonly keptAnswers: KeptAnswers;
  readonly retryBudget: RetryBudget;
  readonly observer?: RequestObserver;
  /** Hashes of a prompt's prefixes, shortest first. */
  prefixHashes?(promptTokens: readonly number[]): readonly string[];
  /** Target for the first token; undefined if only the whole wait is limited. */
  ttftTargetMs?(service: string): number | undefined;
}

export interface RequestRunnerOptions {
  readonly model: ModelPolicy;
  readonly plain: PlainPolicy;
  readonly probeTimeoutMs: number;
  readonly retryBaseDelayMs: number;
  /**
   * A non-repeatable call, or a retry, uses only a connection that was proven
   * alive within this time.
   */
  readonly connectionProvenWithinMs: number;
  readonly enginePriorities: Readonly<Record<RequestClass, number>>;
  /** How long one read of another entry's running answer may wait. */
  readonly peerReadWaitMs: number;
}

export const defaultRequestRunnerOptions: RequestRunnerOptions = {
  model: {
    maxAttempts: 4,
    maxGrantRequests: 6,
    prefillTimeoutMs: 8_000,
    importTimeoutMs: 3_000,
    renewIntervalMs: 2_000,
    tokenProgressMs: 3_000,
    minServeMs: 100,
    streamOverrunMs: 30_000,
    keepRunningMs: 120_000,
    defaultRetryAfterMs: 1_000,
  },
  plain: {
    maxAttempts: 3,
    callTimeoutMs: 2_000,
    hedgeAfterMs: 0,
    minServeMs: 10,
    lingerMs: 10_000,
    maxIntentRequests: 5,
    defaultRetryAfterMs: 1_000,
  },
  probeTimeoutMs: 300,
  retryBaseDelayMs: 20,
  connectionProvenWithinMs: 1_000,
  enginePriorities: {interactive: 10, patient: 0},
  peerReadWaitMs: 1_000,
};
