/**
 * The calls of a stream that its service counts: each beyond the first of the
 * request takes a retry of the budget, whatever it is made for.
 *
 * Guards against a service that gets half of its load again when it can carry
 * least. Retries taken where a failure is handled would miss what follows: a
 * prompt that a prefill engine refused still goes to a decode engine, and a
 * stream that goes on has its prompt read once more.
 */

import type {PrefillOutcome, SendFailure} from '../../ports/relay.js';
import type {RetryBudget} from '../../request/retry_budget.js';
import type {StreamState} from './stream_state.js';

/** There is no retry left for the call. */
export type Spent = {readonly kind: 'spent'; readonly detail: string};

export interface CountedCalls {
  /** The first prefill that an engine accepts for a request does not count. */
  prefill(
    state: StreamState,
    call: () => Promise<PrefillOutcome>,
  ): Promise<PrefillOutcome | Spent>;
  run<Answer extends {readonly kind: 'answered'}>(
    state: StreamState,
    call: () => Promise<Answer | SendFailure>,
  ): Promise<Answer | SendFailure | Spent>;
  /** Whether a run more, with its prefill, could be paid for now. */
  canRunAgain(state: StreamState): boolean;
}

const SPENT: Spent = {
  kind: 'spent',
  detail: 'The retries of the service are used up.',
};
const NOT_SENT: ReadonlySet<string> = new Set<SendFailure['kind']>([
  'unreachable',
  'withheld',
]);
/** A prompt that is read once more, and the run itself. */
const CALLS_OF_A_RUN = 2;

export function createCountedCalls(budget: RetryBudget): CountedCalls {
  async function make<Outcome extends {readonly kind: string}>(
    state: StreamState,
    call: () => Promise<Outcome>,
    isCounted: (outcome: Outcome) => boolean,
  ): Promise<Outcome | Spent> {
    const service = state.job.service.name;
    const isExtra = state.countedCalls > 0;
    if (isExtra && !budget.tryTake(service)) return SPENT;
    const outcome = await call();
    // What was never sent cost no engine anything.
    if (!NOT_SENT.has(outcome.kind) && isCounted(outcome)) {
      state.countedCalls++;
    } else if (isExtra) {
      budget.giveBack(service);
    }
    return outcome;
  }

  return {
    prefill: (state, call) =>
      make(state, call, ({kind}) => {
        const isFirst = kind === 'prefilled' && !state.wasRead;
        if (kind === 'prefilled') state.wasRead = true;
        return !isFirst;
      }),
    run: (state, call) => make(state, call, () => true),
    canRunAgain: ({job}) => budget.hasLeft(job.service.name, CALLS_OF_A_RUN),
  };
}
