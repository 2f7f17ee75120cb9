/**
 * The lifecycle of one non-repeatable call as a pure state machine.
 *
 * With a key, a call starts only after the journal answered `proceed`, and at
 * most once for the key. Without a key repeats cannot be detected, so the
 * guarantee is only that this request is sent at most once.
 */

import type {IntentOutcome, JournalEnd} from '../../ports/journal.js';
import type {PlainAnswer} from '../../ports/plain_service.js';
import type {RequestError} from '../error_kinds.js';
import type {
  OpenCall,
  PlainCallEffect,
  PlainCallEvent,
  PlainFacts,
} from './plain_types.js';
import {applyHandler, type Handlers, type Transition} from './transition.js';

export interface SingleRunState {
  readonly step:
    | 'new'
    | 'awaiting-intent'
    /**
     * Another attempt with the key is running or the journal partition has
     * moved; the intent is requested again after a delay.
     */
    | 'waiting'
    | 'calling'
    | 'asking-retry'
    /** The caller was answered; the outcome is awaited for the journal. */
    | 'lingering'
    | 'recording'
    | 'ended';
  /** Intent requests sent to the journal so far. */
  readonly intentRequests: number;
  /** Intent requests refused because the partition had moved. */
  readonly movedPartitionRefusals: number;
  readonly attempts: number;
  readonly call?: OpenCall;
  readonly triedIds: readonly string[];
  readonly isOtherAttemptRunning: boolean;
}

export type SingleRunEvent =
  | PlainCallEvent
  | {
      readonly kind: 'intent';
      readonly ask: number;
      readonly outcome: IntentOutcome;
      readonly nowMs: number;
    }
  /**
   * The intent is durable, but the call must not be sent, because earlier runs
   * of it crashed upstreams.
   */
  | {readonly kind: 'quarantined'; readonly ask: number}
  | {readonly kind: 'ask-again'}
  | {readonly kind: 'linger-over'}
  | {readonly kind: 'recorded'};

export type SingleRunEffect =
  | PlainCallEffect
  | {readonly kind: 'begin-intent'; readonly ask: number}
  | {readonly kind: 'end-intent'; readonly end: SingleRunEnd}
  | {readonly kind: 'stored-answer'; readonly outcome: StoredOutcome}
  | {
      readonly kind: 'set-timer';
      readonly timer: 'ask' | 'linger';
      readonly delayMs: number;
    }
  /**
   * Checks over a new connection whether the upstream is alive. If it is not,
   * the request is recorded as a possible cause of the failure.
   */
  | {readonly kind: 'suspect'; readonly call: OpenCall};

/** The outcome of a call as recorded in the journal. */
export type SingleRunEnd =
  | Exclude<JournalEnd, {kind: 'answered'}>
  | {readonly kind: 'answered'; readonly answer: PlainAnswer};

export type StoredOutcome = Extract<IntentOutcome, {kind: 'answered'}>;

type SingleRunTransition = Transition<SingleRunState, SingleRunEffect>;
type IntentHandler<Kind extends IntentOutcome['kind']> = (
  facts: PlainFacts,
  state: SingleRunState,
  outcome: Extract<IntentOutcome, {kind: Kind}>,
  nowMs: number,
) => SingleRunTransition;

export const initialSingleRunState: SingleRunState = {
  step: 'new',
  intentRequests: 0,
  movedPartitionRefusals: 0,
  attempts: 0,
  triedIds: [],
  isOtherAttemptRunning: false,
};

function transitionTo(
  state: SingleRunState,
  ...effects: SingleRunEffect[]
): SingleRunTransition {
  return {state, effects};
}

function requestIntent(state: SingleRunState): SingleRunTransition {
  const intentRequests = state.intentRequests + 1;
  return transitionTo(
    {...state, step: 'awaiting-intent', intentRequests},
    {kind: 'begin-intent', ask: intentRequests},
  );
}

function pickUpstream(state: SingleRunState): SingleRunTransition {
  const attempts = state.attempts + 1;
  return transitionTo(
    {...state, step: 'calling', attempts, call: undefined},
    {kind: 'pick', attempt: attempts, excludeIds: state.triedIds},
  );
}

/** Records the outcome; the request stays active until it is durable. */
function recordEnd(
  facts: PlainFacts,
  state: SingleRunState,
  end: SingleRunEnd,
  ...before: SingleRunEffect[]
): SingleRunTransition {
  if (!facts.isKeyed) return transitionTo({...state, step: 'ended'}, ...before);
  return transitionTo({...state, step: 'recording'}, ...before, {
    kind: 'end-intent',
    end,
  });
}

/** Fails a request whose call has not run, and frees its key. */
function failNotRun(
  facts: PlainFacts,
  state: SingleRunState,
  error: RequestError,
): SingleRunTransition {
  const retryAfterMs = error.retryAfterMs ?? facts.policy.defaultRetryAfterMs;
  return recordEnd(
    facts,
    state,
    {kind: 'released'},
    {kind: 'fail', error: {...error, retryAfterMs}},
  );
}

/**
 * Added to errors of requests whose key could not be looked up. An earlier call
 * with the key may exist, so a retry with a new key could run the call twice.
 */
const SAME_KEY_HINT = 'Ask again with the same key.';

const deadlineNotRun: RequestError = {
  kind: 'deadline-not-run',
  detail: `The wait ended before the call was sent. ${SAME_KEY_HINT}`,
};

const unknownOutcome: RequestError = {
  kind: 'outcome-unknown',
  detail: 'The call was sent, and its outcome is not known.',
};

const intentHandlers: {
  readonly [Kind in IntentOutcome['kind']]: IntentHandler<Kind>;
} = {
  proceed(facts, state, _outcome, nowMs) {
    return nowMs + facts.policy.minServeMs > facts.deadlineAtMs
      ? failNotRun(facts, state, deadlineNotRun)
      : pickUpstream(state);
  },
  answered(_facts, state, outcome) {
    return transitionTo(
      {...state, step: 'ended'},
      {kind: 'stored-answer', outcome},
    );
  },
  running(_facts, state, outcome) {
    return transitionTo(
      {...state, step: 'waiting', isOtherAttemptRunning: true},
      {kind: 'set-timer', timer: 'ask', delayMs: outcome.retryAfterMs},
    );
  },
  'outcome-unknown'(_facts, state) {
    return transitionTo(
      {...state, step: 'ended'},
      {
        kind: 'fail',
        error: {
          kind: 'outcome-unknown',
          detail: 'An earlier call with this key was sent and never answered.',
        },
      },
    );
  },
  conflict(_facts, state) {
    return transitionTo(
      {...state, step: 'ended'},
      {
        kind: 'fail',
        error: {
          kind: 'key-conflict',
          detail: 'The key belongs to another call.',
        },
      },
    );
  },
  refused(facts, state, outcome) {
    const movedPartitionRefusals = state.movedPartitionRefusals + 1;
    const isMoved = outcome.reason === 'not-owner';
    if (isMoved && movedPartitionRefusals < facts.policy.maxIntentRequests) {
      return transitionTo(
        {...state, step: 'waiting', movedPartitionRefusals},
        {kind: 'set-timer', timer: 'ask', delayMs: outcome.retryAfterMs},
      );
    }
    if (state.isOtherAttemptRunning) return failStillRunning(facts, state);
    return failNotRun(facts, state, {
      kind:
        outcome.reason === 'overloaded' ? 'overloaded' : 'platform-unavailable',
      detail: `The call could not be recorded, so it was not sent. ${SAME_KEY_HINT}`,
      retryAfterMs: outcome.retryAfterMs,
    });
  },
};

function handleIntent(
  facts: PlainFacts,
  state: SingleRunState,
  outcome: IntentOutcome,
  nowMs: number,
): SingleRunTransition {
  const handler = intentHandlers[outcome.kind] as IntentHandler<
    IntentOutcome['kind']
  >;
  return handler(facts, state, outcome, nowMs);
}

/** Fails the request; an earlier call with the key is still running. */
function failStillRunning(
  facts: PlainFacts,
  state: SingleRunState,
): SingleRunTransition {
  return transitionTo(
    {...state, step: 'ended'},
    {
      kind: 'fail',
      error: {
        kind: 'attempt-running',
        detail: 'An earlier call with this key has not ended.',
        retryAfterMs: facts.policy.defaultRetryAfterMs,
      },
    },
  );
}

/** Fails the request but awaits the call's outcome for the journal. */
function failAndAwaitOutcome(
  facts: PlainFacts,
  state: SingleRunState,
): SingleRunTransition {
  return transitionTo(
    {...state, step: 'lingering'},
    {kind: 'fail', error: unknownOutcome},
    {kind: 'set-timer', timer: 'linger', delayMs: facts.policy.lingerMs},
  );
}

function stopWaiting(
  facts: PlainFacts,
  state: SingleRunState,
  error: RequestError,
): SingleRunTransition {
  switch (state.step) {
    case 'new':
    case 'asking-retry':
      return failNotRun(facts, state, error);
    case 'awaiting-intent':
    case 'waiting':
      return state.isOtherAttemptRunning
        ? failStillRunning(facts, state)
        : failNotRun(facts, state, error);
    case 'calling':
      return failAndAwaitOutcome(facts, state);
    case 'lingering':
    case 'recording':
    case 'ended':
      return transitionTo(state);
  }
}

function hasOpenCall(state: SingleRunState, attempt: number): boolean {
  const isAwaited = state.step === 'calling' || state.step === 'lingering';
  return isAwaited && state.call?.attempt === attempt;
}

const handlers: Handlers<
  PlainFacts,
  SingleRunState,
  SingleRunEvent,
  SingleRunEffect
> = {
  started(facts, state, event) {
    if (event.nowMs + facts.policy.minServeMs > facts.deadlineAtMs) {
      return transitionTo(
        {...state, step: 'ended'},
        {kind: 'fail', error: deadlineNotRun},
      );
    }
    return facts.isKeyed ? requestIntent(state) : pickUpstream(state);
  },
  intent(facts, state, event) {
    if (
      state.step === 'awaiting-intent' &&
      event.ask === state.intentRequests
    ) {
      return handleIntent(facts, state, event.outcome, event.nowMs);
    }
    // The request was cancelled while its intent was being written. If it were
    // not released, the intent would block the key of a call that never ran.
    return event.outcome.kind === 'proceed' && state.attempts === 0
      ? transitionTo(
          state,
          {kind: 'drop', what: 'late'},
          {kind: 'end-intent', end: {kind: 'released'}},
        )
      : transitionTo(state, {kind: 'drop', what: 'late'});
  },
  quarantined(facts, state, event) {
    if (
      state.step !== 'awaiting-intent' ||
      event.ask !== state.intentRequests
    ) {
      return transitionTo(state, {kind: 'end-intent', end: {kind: 'released'}});
    }
    return failNotRun(facts, state, {
      kind: 'quarantined',
      detail: 'Earlier runs of this call crashed upstreams.',
    });
  },
  'ask-again'(_facts, state) {
    return state.step === 'waiting'
      ? requestIntent(state)
      : transitionTo(state);
  },
  picked(facts, state, event) {
    if (state.step !== 'calling' || event.attempt !== state.attempts) {
      return transitionTo(state);
    }
    if (!event.upstream) {
      return failNotRun(facts, state, {
        kind: 'no-upstream',
        detail: 'No upstream could be reached.',
      });
    }
    const call: OpenCall = {...event.upstream, attempt: event.attempt};
    return transitionTo(
      {...state, call, triedIds: [...state.triedIds, call.upstreamId]},
      {kind: 'call', call},
    );
  },
  answered(facts, state, event) {
    if (!hasOpenCall(state, event.attempt)) {
      return transitionTo(state, {kind: 'drop', what: 'late'});
    }
    const {answer} = event;
    const toCaller: readonly SingleRunEffect[] =
      state.step === 'calling' ? [{kind: 'answer', answer}] : [];
    return recordEnd(facts, state, {kind: 'answered', answer}, ...toCaller);
  },
  'call-failed'(facts, state, event) {
    if (!hasOpenCall(state, event.attempt)) {
      return transitionTo(state, {kind: 'drop', what: 'late'});
    }
    if (!event.failure.mayHaveRun) {
      return state.step === 'lingering'
        ? recordEnd(facts, state, {kind: 'released'})
        : transitionTo({...state, step: 'asking-retry'}, {kind: 'ask-retry'});
    }
    const toCaller: readonly SingleRunEffect[] =
      state.step === 'calling' ? [{kind: 'fail', error: unknownOutcome}] : [];
    return recordEnd(facts, state, {kind: 'outcome-unknown'}, ...toCaller, {
      kind: 'suspect',
      call: state.call!,
    });
  },
  'retry-allowed'(facts, state, event) {
    if (state.step !== 'asking-retry') return transitionTo(state);
    if (event.nowMs + facts.policy.minServeMs > facts.deadlineAtMs) {
      return failNotRun(facts, state, deadlineNotRun);
    }
    return state.attempts < facts.policy.maxAttempts
      ? pickUpstream(state)
      : failNotRun(facts, state, {
          kind: 'no-upstream',
          detail: 'No upstream could be reached.',
        });
  },
  'retry-denied'(facts, state) {
    if (state.step !== 'asking-retry') return transitionTo(state);
    return failNotRun(facts, state, {
      kind: 'no-upstream',
      detail: 'No upstream could be reached, and no retry is allowed now.',
    });
  },
  'caller-gone'(facts, state) {
    return stopWaiting(facts, state, {
      kind: 'deadline-not-run',
      detail: 'The caller hung up before the call was sent.',
    });
  },
  deadline(facts, state) {
    return stopWaiting(facts, state, deadlineNotRun);
  },
  'linger-over'(facts, state) {
    if (state.step !== 'lingering') return transitionTo(state);
    return recordEnd(
      facts,
      state,
      {kind: 'outcome-unknown'},
      {kind: 'abort-call', attempt: state.call!.attempt},
    );
  },
  recorded(_facts, state) {
    return state.step === 'recording'
      ? transitionTo({...state, step: 'ended'})
      : transitionTo(state);
  },
};

export function stepSingleRun(
  facts: PlainFacts,
  state: SingleRunState,
  event: SingleRunEvent,
): SingleRunTransition {
  return applyHandler(handlers, facts, state, event);
}
