/**
 * Charges the engine calls of a stream to the service's retry budget: each call
 * after the first takes a retry, whatever its purpose.
 *
 * Retries could otherwise add half of its load to a service that is already
 * overloaded. Charging only where a failure is handled would miss calls: a
 * prompt that a prefill engine refused still goes to a decode engine, and a
 * resumed stream needs its prompt prefilled again.
 */

import type {PrefillOutcome, SendFailure} from '../../ports/relay.js';
import type {RetryAllowance} from '../retries/shared_retries.js';
import type {StreamState} from './stream_state.js';

/** The call wasn't made, since the retry budget is used up. */
export type NoRetries = {
  readonly kind: 'no-retries';
  readonly detail: string;
};

/** A retry that was taken before the call that it pays for. */
export interface TakenRetry {
  giveBack(): void;
}

export interface BudgetedCalls {
  /**
   * Makes a prefill call. The first one that an engine accepts is free. A call
   * that follows one that was in progress when its retry was taken passes it.
   */
  prefill(
    state: StreamState,
    call: () => Promise<PrefillOutcome>,
    taken?: TakenRetry,
  ): Promise<PrefillOutcome | NoRetries>;
  /**
   * Takes a retry while a call is still in progress, so that the call ends only
   * if another may follow; undefined if none is left.
   */
  takeRetry(state: StreamState): Promise<TakenRetry | undefined>;
  /** Makes a call that runs the request at a decode engine. */
  run<Answer extends {readonly kind: 'answered'}>(
    state: StreamState,
    call: () => Promise<Answer | SendFailure>,
  ): Promise<Answer | SendFailure | NoRetries>;
  /** Returns whether the budget allows one more call. */
  canRetryCall(state: StreamState): boolean;
  /** Returns whether the budget allows one more run and its prefill. */
  canRetryRun(state: StreamState): boolean;
}

const NO_RETRIES: NoRetries = {
  kind: 'no-retries',
  detail: 'The retries of the service are used up.',
};
const NOT_SENT_KINDS: ReadonlySet<string> = new Set<SendFailure['kind']>([
  'unreachable',
  'withheld',
  'quarantined',
]);
/** The prefill and the run itself. */
const CALLS_PER_RUN = 2;

export function createBudgetedCalls(budget: RetryAllowance): BudgetedCalls {
  async function callWithinBudget<Outcome extends {readonly kind: string}>(
    state: StreamState,
    call: () => Promise<Outcome>,
    isCounted: (outcome: Outcome) => boolean,
    earlier?: TakenRetry,
  ): Promise<Outcome | NoRetries> {
    const isRetry = state.countedCalls > 0;
    const taken = earlier ?? (isRetry ? await takeRetry(state) : undefined);
    if (isRetry && !taken) return NO_RETRIES;
    const outcome = await call();
    // A call that was never sent costs the engines nothing.
    if (!NOT_SENT_KINDS.has(outcome.kind) && isCounted(outcome)) {
      state.countedCalls++;
    } else {
      taken?.giveBack();
    }
    return outcome;
  }

  async function takeRetry({
    job,
  }: StreamState): Promise<TakenRetry | undefined> {
    const service = job.service.name;
    const isTaken = await budget.tryTake(service, job.request.requestId);
    if (!isTaken) return undefined;
    return {giveBack: () => budget.giveBack(service)};
  }

  return {
    prefill: (state, call, taken) =>
      callWithinBudget(
        state,
        call,
        ({kind}) => {
          const isFirst = kind === 'prefilled' && !state.wasPrefilled;
          if (kind === 'prefilled') state.wasPrefilled = true;
          return !isFirst;
        },
        taken,
      ),
    run: (state, call) => callWithinBudget(state, call, () => true),
    takeRetry,
    canRetryCall: ({job}) => budget.hasLeft(job.service.name, 1),
    canRetryRun: ({job}) => budget.hasLeft(job.service.name, CALLS_PER_RUN),
  };
}
