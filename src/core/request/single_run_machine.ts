/**
 * The life of one call that may not be repeated, as a pure state machine.
 *
 * With a key, a call starts only after the journal answered `proceed`, and at
 * most once for each request. Without a key no repeat can be recognised, so
 * the promise is narrower: this request is sent at most once.
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
    /** Another attempt runs, or the partition moved: ask again later. */
    | 'waiting'
    | 'calling'
    | 'asking-retry'
    /** The caller has its answer; the call's end is awaited to record it. */
    | 'lingering'
    | 'recording'
    | 'ended';
  /** Journal questions so far. */
  readonly asks: number;
  /** Questions that met a moved partition. */
  readonly movedAsks: number;
  readonly attempts: number;
  readonly call?: OpenCall;
  readonly triedIds: readonly string[];
  readonly isBehindAnother: boolean;
}

export type SingleRunEvent =
  | PlainCallEvent
  | {
      readonly kind: 'intent';
      readonly ask: number;
      readonly outcome: IntentOutcome;
      readonly nowMs: number;
    }
  /** The intent is durable, but runs of this call crash upstreams. */
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
  /** Tries a fresh connection; a dead upstream counts against the request. */
  | {readonly kind: 'suspect'; readonly call: OpenCall};

/** What the journal is told at the end of a call. */
export type SingleRunEnd =
  | Exclude<JournalEnd, {kind: 'answered'}>
  | {readonly kind: 'answered'; readonly answer: PlainAnswer};

export type StoredOutcome = Extract<IntentOutcome, {kind: 'answered'}>;

type Step = Transition<SingleRunState, SingleRunEffect>;
type IntentHandler<Kind extends IntentOutcome['kind']> = (
  facts: PlainFacts,
  state: SingleRunState,
  outcome: Extract<IntentOutcome, {kind: Kind}>,
  nowMs: number,
) => Step;

export const initialSingleRunState: SingleRunState = {
  step: 'new',
  asks: 0,
  movedAsks: 0,
  attempts: 0,
  triedIds: [],
  isBehindAnother: false,
};

function stay(state: SingleRunState, ...effects: SingleRunEffect[]): Step {
  return {state, effects};
}

function ask(state: SingleRunState): Step {
  const asks = state.asks + 1;
  return stay(
    {...state, step: 'awaiting-intent', asks},
    {kind: 'begin-intent', ask: asks},
  );
}

function pick(state: SingleRunState): Step {
  const attempts = state.attempts + 1;
  return stay(
    {...state, step: 'calling', attempts, call: undefined},
    {kind: 'pick', attempt: attempts, excludeIds: state.triedIds},
  );
}

/** Records the end; the request stays active until that is durable. */
function record(
  facts: PlainFacts,
  state: SingleRunState,
  end: SingleRunEnd,
  ...before: SingleRunEffect[]
): Step {
  if (!facts.isKeyed) return stay({...state, step: 'ended'}, ...before);
  return stay({...state, step: 'recording'}, ...before, {
    kind: 'end-intent',
    end,
  });
}

/** Refused before any dispatch: the key is set free again. */
function notRun(
  facts: PlainFacts,
  state: SingleRunState,
  error: RequestError,
): Step {
  const retryAfterMs = error.retryAfterMs ?? facts.policy.defaultRetryAfterMs;
  return record(
    facts,
    state,
    {kind: 'released'},
    {kind: 'fail', error: {...error, retryAfterMs}},
  );
}

/**
 * A repeat that is refused before its key could be looked up knows nothing of
 * earlier calls under the key. Sent again with a new key, it could run twice.
 */
const SAME_KEY = 'Ask again with the same key.';

const deadlineNotRun: RequestError = {
  kind: 'deadline-not-run',
  detail: `The wait ended before the call was sent. ${SAME_KEY}`,
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
      ? notRun(facts, state, deadlineNotRun)
      : pick(state);
  },
  answered(_facts, state, outcome) {
    return stay({...state, step: 'ended'}, {kind: 'stored-answer', outcome});
  },
  running(_facts, state, outcome) {
    return stay(
      {...state, step: 'waiting', isBehindAnother: true},
      {kind: 'set-timer', timer: 'ask', delayMs: outcome.retryAfterMs},
    );
  },
  'outcome-unknown'(_facts, state) {
    return stay(
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
    return stay(
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
    const movedAsks = state.movedAsks + 1;
    const isMoved = outcome.reason === 'not-owner';
    if (isMoved && movedAsks < facts.policy.maxIntentAsks) {
      return stay(
        {...state, step: 'waiting', movedAsks},
        {kind: 'set-timer', timer: 'ask', delayMs: outcome.retryAfterMs},
      );
    }
    if (state.isBehindAnother) return stillRunning(facts, state);
    return notRun(facts, state, {
      kind:
        outcome.reason === 'overloaded' ? 'overloaded' : 'platform-unavailable',
      detail: `The call could not be recorded, so it was not sent. ${SAME_KEY}`,
      retryAfterMs: outcome.retryAfterMs,
    });
  },
};

function onIntent(
  facts: PlainFacts,
  state: SingleRunState,
  outcome: IntentOutcome,
  nowMs: number,
): Step {
  const handler = intentHandlers[outcome.kind] as IntentHandler<
    IntentOutcome['kind']
  >;
  return handler(facts, state, outcome, nowMs);
}

/** An earlier call with the key has not ended, so none may be called not run. */
function stillRunning(facts: PlainFacts, state: SingleRunState): Step {
  return stay(
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

/** Leaves the call running, for the journal's sake, with the caller answered. */
function linger(facts: PlainFacts, state: SingleRunState): Step {
  return stay(
    {...state, step: 'lingering'},
    {kind: 'fail', error: unknownOutcome},
    {kind: 'set-timer', timer: 'linger', delayMs: facts.policy.lingerMs},
  );
}

function stopWaiting(
  facts: PlainFacts,
  state: SingleRunState,
  error: RequestError,
): Step {
  switch (state.step) {
    case 'new':
    case 'asking-retry':
      return notRun(facts, state, error);
    case 'awaiting-intent':
    case 'waiting':
      return state.isBehindAnother
        ? stillRunning(facts, state)
        : notRun(facts, state, error);
    case 'calling':
      return linger(facts, state);
    case 'lingering':
    case 'recording':
    case 'ended':
      return stay(state);
  }
}

function hasOpenCall(state: SingleRunState, attempt: number): boolean {
  const isWaited = state.step === 'calling' || state.step === 'lingering';
  return isWaited && state.call?.attempt === attempt;
}

const handlers: Handlers<
  PlainFacts,
  SingleRunState,
  SingleRunEvent,
  SingleRunEffect
> = {
  started(facts, state, event) {
    if (event.nowMs + facts.policy.minServeMs > facts.deadlineAtMs) {
      return stay(
        {...state, step: 'ended'},
        {kind: 'fail', error: deadlineNotRun},
      );
    }
    return facts.isKeyed ? ask(state) : pick(state);
  },
  intent(facts, state, event) {
    if (state.step === 'awaiting-intent' && event.ask === state.asks) {
      return onIntent(facts, state, event.outcome, event.nowMs);
    }
    // The request was given up while its intent was on the way to the table.
    // Left there, the intent would block the key of a call that never ran.
    return event.outcome.kind === 'proceed' && state.attempts === 0
      ? stay(
          state,
          {kind: 'drop', what: 'late'},
          {kind: 'end-intent', end: {kind: 'released'}},
        )
      : stay(state, {kind: 'drop', what: 'late'});
  },
  quarantined(facts, state, event) {
    if (state.step !== 'awaiting-intent' || event.ask !== state.asks) {
      return stay(state, {kind: 'end-intent', end: {kind: 'released'}});
    }
    return notRun(facts, state, {
      kind: 'quarantined',
      detail: 'Earlier runs of this call crashed upstreams.',
    });
  },
  'ask-again'(_facts, state) {
    return state.step === 'waiting' ? ask(state) : stay(state);
  },
  picked(facts, state, event) {
    if (state.step !== 'calling' || event.attempt !== state.attempts) {
      return stay(state);
    }
    if (!event.upstream) {
      return notRun(facts, state, {
        kind: 'no-upstream',
        detail: 'No upstream could be reached.',
      });
    }
    const call: OpenCall = {...event.upstream, attempt: event.attempt};
    return stay(
      {...state, call, triedIds: [...state.triedIds, call.upstreamId]},
      {kind: 'call', call},
    );
  },
  answered(facts, state, event) {
    if (!hasOpenCall(state, event.attempt)) {
      return stay(state, {kind: 'drop', what: 'late'});
    }
    const {answer} = event;
    const toCaller: readonly SingleRunEffect[] =
      state.step === 'calling' ? [{kind: 'answer', answer}] : [];
    return record(facts, state, {kind: 'answered', answer}, ...toCaller);
  },
  'call-failed'(facts, state, event) {
    if (!hasOpenCall(state, event.attempt)) {
      return stay(state, {kind: 'drop', what: 'late'});
    }
    if (!event.failure.mayHaveRun) {
      return state.step === 'lingering'
        ? record(facts, state, {kind: 'released'})
        : stay({...state, step: 'asking-retry'}, {kind: 'ask-retry'});
    }
    const toCaller: readonly SingleRunEffect[] =
      state.step === 'calling' ? [{kind: 'fail', error: unknownOutcome}] : [];
    return record(facts, state, {kind: 'outcome-unknown'}, ...toCaller, {
      kind: 'suspect',
      call: state.call!,
    });
  },
  'retry-allowed'(facts, state, event) {
    if (state.step !== 'asking-retry') return stay(state);
    if (event.nowMs + facts.policy.minServeMs > facts.deadlineAtMs) {
      return notRun(facts, state, deadlineNotRun);
    }
    return state.attempts < facts.policy.maxAttempts
      ? pick(state)
      : notRun(facts, state, {
          kind: 'no-upstream',
          detail: 'No upstream could be reached.',
        });
  },
  'retry-denied'(facts, state) {
    if (state.step !== 'asking-retry') return stay(state);
    return notRun(facts, state, {
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
    if (state.step !== 'lingering') return stay(state);
    return record(
      facts,
      state,
      {kind: 'outcome-unknown'},
      {kind: 'abort-call', attempt: state.call!.attempt},
    );
  },
  recorded(_facts, state) {
    return state.step === 'recording'
      ? stay({...state, step: 'ended'})
      : stay(state);
  },
};

export function stepSingleRun(
  facts: PlainFacts,
  state: SingleRunState,
  event: SingleRunEvent,
): Step {
  return applyHandler(handlers, facts, state, event);
}
