/**
 * The lifecycle of one repeatable call to a plain service as a pure state
 * machine. A failed call may be retried on another upstream. A slow call may be
 * hedged: a second call is sent to another upstream, and the first answer is
 * used. Both are limited by the service's retry budget and the deadline.
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
  /** Calls started so far. */
  readonly attempts: number;
  /** Calls in flight; two while a hedged call runs. */
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
  /**
   * Checks over a new connection whether the upstream is alive. If it is not,
   * the request is recorded as a possible cause of the failure.
   */
  | {readonly kind: 'probe'; readonly call: OpenCall};

type PlainTransition = Transition<PlainState, PlainEffect>;

export const initialPlainState: PlainState = {
  step: 'new',
  attempts: 0,
  open: [],
  triedIds: [],
  mayHaveRun: false,
  isHedging: false,
};

function transitionTo(
  state: PlainState,
  ...effects: PlainEffect[]
): PlainTransition {
  return {state, effects};
}

function pickUpstream(state: PlainState): PlainTransition {
  const attempts = state.attempts + 1;
  return transitionTo(
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

function giveUp(state: PlainState, error: RequestError): PlainTransition {
  return transitionTo({...state, step: 'ended', open: []}, ...abortAll(state), {
    kind: 'fail',
    error,
  });
}

function hasRun(state: PlainState): boolean {
  return state.mayHaveRun || state.open.length > 0;
}

function noUpstreamError(facts: PlainFacts, state: PlainState): RequestError {
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

function deadlineError(facts: PlainFacts, state: PlainState): RequestError {
  return {
    kind: hasRun(state) ? 'deadline-passed' : 'deadline-not-run',
    detail: 'The wait ended before an answer came.',
    retryAfterMs: facts.policy.defaultRetryAfterMs,
  };
}

const handlers: Handlers<PlainFacts, PlainState, PlainEvent, PlainEffect> = {
  started(facts, state, event) {
    return event.nowMs + facts.policy.minServeMs > facts.deadlineAtMs
      ? giveUp(state, deadlineError(facts, state))
      : pickUpstream(state);
  },
  picked(facts, state, event) {
    if (state.step !== 'calling' || event.attempt !== state.attempts) {
      return transitionTo(state);
    }
    if (!event.upstream) {
      // Without a second upstream for the hedge, the first call continues.
      return state.open.length > 0
        ? transitionTo(state)
        : giveUp(state, noUpstreamError(facts, state));
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
    return transitionTo(next, {kind: 'call', call}, ...hedge);
  },
  answered(_facts, state, event) {
    const isOpen = state.open.some(call => call.attempt === event.attempt);
    if (!isOpen) return transitionTo(state, {kind: 'drop', what: 'late'});
    const others = state.open.filter(call => call.attempt !== event.attempt);
    return transitionTo(
      {...state, step: 'ended', open: []},
      ...abortAll({...state, open: others}),
      {kind: 'answer', answer: event.answer},
    );
  },
  'call-failed'(_facts, state, event) {
    const call = state.open.find(open => open.attempt === event.attempt);
    if (!call) return transitionTo(state, {kind: 'drop', what: 'late'});
    const open = state.open.filter(other => other !== call);
    const next: PlainState = {
      ...state,
      open,
      mayHaveRun: state.mayHaveRun || event.failure.mayHaveRun,
    };
    // The other call of a hedged pair is still running.
    if (open.length > 0) return transitionTo(next);
    if (!event.failure.mayHaveRun) {
      return transitionTo({...next, step: 'asking-retry'}, {kind: 'ask-retry'});
    }
    return transitionTo({...next, step: 'probing'}, {kind: 'probe', call});
  },
  probed(_facts, state, event) {
    if (state.step !== 'probing') return transitionTo(state);
    // If the upstream is alive, only the connection failed, so the upstream may
    // be tried again.
    const triedIds = event.isAlive
      ? state.triedIds.filter(id => id !== event.upstreamId)
      : state.triedIds;
    return transitionTo(
      {...state, step: 'asking-retry', triedIds},
      {kind: 'ask-retry'},
    );
  },
  'retry-allowed'(facts, state, event) {
    const isLate = event.nowMs + facts.policy.minServeMs > facts.deadlineAtMs;
    if (state.isHedging && state.step === 'calling') {
      return isLate || state.open.length === 0
        ? transitionTo(state)
        : pickUpstream(state);
    }
    if (state.step !== 'asking-retry') return transitionTo(state);
    if (isLate) return giveUp(state, deadlineError(facts, state));
    return state.attempts < facts.policy.maxAttempts
      ? pickUpstream(state)
      : giveUp(state, noUpstreamError(facts, state));
  },
  'retry-denied'(facts, state) {
    return state.step === 'asking-retry'
      ? giveUp(state, noUpstreamError(facts, state))
      : transitionTo(state);
  },
  'hedge-due'(facts, state) {
    const isAlone = state.step === 'calling' && state.open.length === 1;
    if (!isAlone || state.attempts >= facts.policy.maxAttempts) {
      return transitionTo(state);
    }
    return transitionTo({...state, isHedging: true}, {kind: 'ask-retry'});
  },
  'caller-gone'(_facts, state) {
    if (state.step === 'ended') return transitionTo(state);
    return giveUp(state, {
      kind: hasRun(state) ? 'deadline-passed' : 'deadline-not-run',
      detail: 'The caller hung up.',
    });
  },
  deadline(facts, state) {
    return state.step === 'ended'
      ? transitionTo(state)
      : giveUp(state, deadlineError(facts, state));
  },
};

export function stepPlain(
  facts: PlainFacts,
  state: PlainState,
  event: PlainEvent,
): PlainTransition {
  return applyHandler(handlers, facts, state, event);
}
