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
import {wasSent} from '../send_failures.js';
import type {RetryAllowance} from '../retries/shared_retries.js';
import type {StreamState} from './stream_state.js';

/** The call wasn't made, since the retry budget is used up. */
export type NoRetries = {
  readonly kind: 'no-retries';
  readonly detail: string;
};

export interface BudgetedCalls {
  /** Makes a prefill call. The first one that an engine accepts is free. */
  prefill(
    state: StreamState,
    call: () => Promise<PrefillOutcome>,
  ): Promise<PrefillOutcome | NoRetries>;
  /** The same, with a retry that was reserved for it. */
  reservedPrefill(
    state: StreamState,
    call: () => Promise<PrefillOutcome>,
  ): Promise<PrefillOutcome>;
  /** Makes a call that runs the request at a decode engine. */
  run<Answer extends {readonly kind: 'answered'}>(
    state: StreamState,
    call: () => Promise<Answer | SendFailure>,
  ): Promise<Answer | SendFailure | NoRetries>;
  /** Returns whether the budget allows one more call. */
  canRetryCall(state: StreamState): boolean;
  /** Returns whether the budget allows one more run and its prefill. */
  canRetryRun(state: StreamState): boolean;
  /** Takes the retry for the next call; resolves to whether one was left. */
  reserveRun(state: StreamState): Promise<boolean>;
  /** Returns a reserved retry. */
  giveBackRun(state: StreamState): void;
}

const NO_RETRIES: NoRetries = {
  kind: 'no-retries',
  detail: 'The retries of the service are used up.',
};
/** The prefill and the run itself. */
const CALLS_PER_RUN = 2;

export function createBudgetedCalls(budget: RetryAllowance): BudgetedCalls {
  async function take({job}: StreamState): Promise<boolean> {
    return budget.tryTake(job.service.name, job.request.requestId);
  }

  function takeReserved(state: StreamState): boolean {
    const isReserved = state.hasReservedRun;
    state.hasReservedRun = false;
    return isReserved;
  }

  async function callWithinBudget<Outcome extends {readonly kind: string}>(
    state: StreamState,
    call: () => Promise<Outcome>,
    isCounted: (outcome: Outcome) => boolean,
    isReserved = false,
  ): Promise<Outcome | NoRetries> {
    const isRetry = isReserved || state.countedCalls > 0;
    if (isRetry && !isReserved && !(await take(state))) return NO_RETRIES;
    const outcome = await call();
    charge(state, outcome, isCounted(outcome), isRetry);
    return outcome;
  }

  function charge(
    state: StreamState,
    outcome: {readonly kind: string},
    isCounted: boolean,
    isRetry: boolean,
  ): void {
    // A call that was never sent costs the engines nothing.
    if (wasSent(outcome) && isCounted) state.countedCalls++;
    else if (isRetry) budget.giveBack(state.job.service.name);
  }

  /** Whether a prefill call counts; the first that was accepted does not. */
  function isPrefillCounted(state: StreamState, {kind}: PrefillOutcome) {
    const isFirst = kind === 'prefilled' && !state.wasPrefilled;
    if (kind === 'prefilled') state.wasPrefilled = true;
    return !isFirst;
  }

  return {
    prefill: (state, call) =>
      callWithinBudget(state, call, outcome =>
        isPrefillCounted(state, outcome),
      ),
    async reservedPrefill(state, call) {
      const outcome = await call();
      charge(state, outcome, isPrefillCounted(state, outcome), true);
      return outcome;
    },
    run: (state, call) =>
      callWithinBudget(state, call, () => true, takeReserved(state)),
    canRetryCall: ({job}) => budget.hasLeft(job.service.name, 1),
    canRetryRun: ({job}) => budget.hasLeft(job.service.name, CALLS_PER_RUN),
    reserveRun: take,
    giveBackRun: ({job}) => budget.giveBack(job.service.name),
  };
}
