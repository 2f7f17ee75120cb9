/**
 * The life of one repeatable call to a plain service as a pure state machine.
 * A failed call may be tried on another upstream, and a slow one hedged, both
 * within the service's retry budget and the deadline.
 */

import type {RequestError} from '../error_kinds.js';
import type {
  OpenCall,
  PlainCallEffect,
  PlainCallEvent,
  PlainFacts,
} from './plain_types.js';
import {applyHandler, type Handlers, type Transition} from './transition.js';

export interface PlainState {
  readonly step: 'new' | 'calling' | 'probing' | 'asking-retry' | 'ended';
  /** Calls begun so far. */
  readonly attempts: number;
  /** Calls on their way; two while a hedge runs. */
  readonly open: readonly OpenCall[];
  readonly triedIds: readonly string[];
  readonly mayHaveRun: boolean;
  readonly isHedging: boolean;
}

export type PlainEvent =
  | PlainCallEvent
  | {readonly kind: 'hedge-due'}
  | {
      readonly kind: 'probed';
      readonly upstreamId: string;
      readonly isAlive: boolean;
    };

export type PlainEffect =
  | PlainCallEffect
  | {readonly kind: 'set-hedge-timer'; readonly delayMs: number}
  /** Tries a fresh connection; a dead upstream counts against the request. */
  | {readonly kind: 'probe'; readonly call: OpenCall};

type Step = Transition<PlainState, PlainEffect>;

export const initialPlainState: PlainState = {
  step: 'new',
  attempts: 0,
  open: [],
  triedIds: [],
  mayHaveRun: false,
  isHedging: false,
};

function stay(state: PlainState, ...effects: PlainEffect[]): Step {
  return {state, effects};
}

function pick(state: PlainState): Step {
  const attempts = state.attempts + 1;
  return stay(
    {...state, step: 'calling', attempts},
    {kind: 'pick', attempt: attempts, excludeIds: state.triedIds},
  );
}

function abortAll(state: PlainState): readonly PlainEffect[] {
  return state.open.map(call => ({
    kind: 'abort-call',
    attempt: call.attempt,
  }));
}

function giveUp(state: PlainState, error: RequestError): Step {
  return stay({...state, step: 'ended', open: []}, ...abortAll(state), {
    kind: 'fail',
    error,
  });
}

function hasRun(state: PlainState): boolean {
  return state.mayHaveRun || state.open.length > 0;
}

function noUpstream(facts: PlainFacts, state: PlainState): RequestError {
  const retryAfterMs = facts.policy.defaultRetryAfterMs;
  return hasRun(state)
    ? {
        kind: 'upstream-failed',
        detail: 'Each upstream that was tried failed.',
        retryAfterMs,
      }
    : {
        kind: 'no-upstream',
        detail: 'No upstream could be reached.',
        retryAfterMs,
      };
}

function waitOver(facts: PlainFacts, state: PlainState): RequestError {
  return {
    kind: hasRun(state) ? 'deadline-passed' : 'deadline-not-run',
    detail: 'The wait ended before an answer came.',
    retryAfterMs: facts.policy.defaultRetryAfterMs,
  };
}

const handlers: Handlers<PlainFacts, PlainState, PlainEvent, PlainEffect> = {
  started(facts, state, event) {
    return event.nowMs + facts.policy.minServeMs > facts.deadlineAtMs
      ? giveUp(state, waitOver(facts, state))
      : pick(state);
  },
  picked(facts, state, event) {
    if (state.step !== 'calling' || event.attempt !== state.attempts) {
      return stay(state);
    }
    if (!event.upstream) {
      // A hedge that finds no second upstream leaves the first call alone.
      return state.open.length > 0
        ? stay(state)
        : giveUp(state, noUpstream(facts, state));
    }
    const call: OpenCall = {...event.upstream, attempt: event.attempt};
    const next: PlainState = {
      ...state,
      open: [...state.open, call],
      triedIds: [...state.triedIds, call.upstreamId],
    };
    const hedge: readonly PlainEffect[] =
      facts.policy.hedgeAfterMs > 0 && !state.isHedging
        ? [{kind: 'set-hedge-timer', delayMs: facts.policy.hedgeAfterMs}]
        : [];
    return stay(next, {kind: 'call', call}, ...hedge);
  },
  answered(_facts, state, event) {
    const isOpen = state.open.some(call => call.attempt === event.attempt);
    if (!isOpen) return stay(state, {kind: 'drop', what: 'late'});
    const others = state.open.filter(call => call.attempt !== event.attempt);
    return stay(
      {...state, step: 'ended', open: []},
      ...abortAll({...state, open: others}),
      {kind: 'answer', answer: event.answer},
    );
  },
  'call-failed'(_facts, state, event) {
    const call = state.open.find(open => open.attempt === event.attempt);
    if (!call) return stay(state, {kind: 'drop', what: 'late'});
    const open = state.open.filter(other => other !== call);
    const next: PlainState = {
      ...state,
      open,
      mayHaveRun: state.mayHaveRun || event.failure.mayHaveRun,
    };
    // The other call of a hedged pair still runs and may answer.
    if (open.length > 0) return stay(next);
    if (!event.failure.mayHaveRun) {
      return stay({...next, step: 'asking-retry'}, {kind: 'ask-retry'});
    }
    return stay({...next, step: 'probing'}, {kind: 'probe', call});
  },
  probed(_facts, state, event) {
    if (state.step !== 'probing') return stay(state);
    // Only the connection was dead: the upstream itself may be tried again.
    const triedIds = event.isAlive
      ? state.triedIds.filter(id => id !== event.upstreamId)
      : state.triedIds;
    return stay(
      {...state, step: 'asking-retry', triedIds},
      {kind: 'ask-retry'},
    );
  },
  'retry-allowed'(facts, state, event) {
    const isLate = event.nowMs + facts.policy.minServeMs > facts.deadlineAtMs;
    if (state.isHedging && state.step === 'calling') {
      return isLate || state.open.length === 0 ? stay(state) : pick(state);
    }
    if (state.step !== 'asking-retry') return stay(state);
    if (isLate) return giveUp(state, waitOver(facts, state));
    return state.attempts < facts.policy.maxAttempts
      ? pick(state)
      : giveUp(state, noUpstream(facts, state));
  },
  'retry-denied'(facts, state) {
    return state.step === 'asking-retry'
      ? giveUp(state, noUpstream(facts, state))
      : stay(state);
  },
  'hedge-due'(facts, state) {
    const isAlone = state.step === 'calling' && state.open.length === 1;
    if (!isAlone || state.attempts >= facts.policy.maxAttempts) {
      return stay(state);
    }
    return stay({...state, isHedging: true}, {kind: 'ask-retry'});
  },
  'caller-gone'(_facts, state) {
    if (state.step === 'ended') return stay(state);
    return giveUp(state, {
      kind: hasRun(state) ? 'deadline-passed' : 'deadline-not-run',
      detail: 'The caller hung up.',
    });
  },
  deadline(facts, state) {
    return state.step === 'ended'
      ? stay(state)
      : giveUp(state, waitOver(facts, state));
  },
};

export function stepPlain(
  facts: PlainFacts,
  state: PlainState,
  event: PlainEvent,
): Step {
  return applyHandler(handlers, facts, state, event);
}
