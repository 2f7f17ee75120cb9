/**
 * The lifecycle of one model request as a pure state machine. It maps a state
 * and an event to the next state and the effects that its caller must perform.
 */

import {callerGoneError, finalError, deadlineError} from './model_errors.js';
import {getHeldEnd, getRenewals, reportGrantEnd} from './model_held.js';
import {
  requestGrant,
  requestRetry,
  notRunReasons,
  decodeFailed,
  deliver,
  ended,
  giveUp,
  grantRefused,
  restartAfterLostAdoption,
  handleFrame,
  runFailed,
  startPrefill,
  transitionTo,
  type ModelTransition,
} from './model_runs.js';
import {
  heldFrame,
  heldProbed,
  holdRun,
  keepHolding,
  retryHeld,
} from './model_silence.js';
import type {
  ModelEffect,
  ModelEvent,
  ModelFacts,
  ModelState,
} from './model_types.js';
import {applyHandler, type Handlers} from './transition.js';

export const initialModelState: ModelState = {
  step: 'new',
  attempt: 0,
  lastAttempt: 0,
  runs: 0,
  failedEngineIds: [],
  failedGrantRequests: 0,
  deliveredTokens: 0,
  runStartTokens: 0,
  mayHaveRun: false,
  isAbandoned: false,
};

function isCurrent(
  state: ModelState,
  attempt: number,
  step: ModelState['step'],
): boolean {
  return state.step === step && state.attempt === attempt;
}

function hasTimeToServe(facts: ModelFacts, state: ModelState, nowMs: number) {
  if (state.isAbandoned) return true;
  return nowMs + facts.policy.minServeMs <= facts.deadlineAtMs;
}

const handlers: Handlers<ModelFacts, ModelState, ModelEvent, ModelEffect> = {
  started(facts, state) {
    return facts.isKeyed
      ? transitionTo({...state, step: 'looking-up'}, {kind: 'look-up'})
      : requestGrant(state);
  },
  'looked-up'(facts, state, event) {
    if (state.step !== 'looking-up') return transitionTo(state);
    switch (event.outcome) {
      case 'run':
        return requestGrant(state);
      case 'adopted':
        return transitionTo(
          {...state, step: 'adopted', mayHaveRun: true},
          {
            kind: 'set-timer',
            timer: 'step',
            delayMs: facts.policy.tokenProgressMs,
          },
        );
      case 'replayed':
        return transitionTo(ended(state));
      case 'conflict':
        return giveUp(state, {
          kind: 'key-conflict',
          detail: 'The key belongs to another request.',
        });
    }
  },
  'adopted-tokens'(facts, state, event) {
    if (state.step !== 'adopted') {
      return transitionTo(state, {kind: 'drop', what: 'late'});
    }
    return deliver(facts, state, event.offset, event.texts);
  },
  'adopted-end'(_facts, state, event) {
    if (state.step !== 'adopted') {
      return transitionTo(state, {kind: 'drop', what: 'late'});
    }
    if (event.tokenCount !== state.deliveredTokens)
      return restartAfterLostAdoption(state);
    return transitionTo(
      ended(state),
      {kind: 'clear-timer', timer: 'step'},
      {
        kind: 'finish',
        finishReason: event.finishReason,
        tokenCount: event.tokenCount,
      },
    );
  },
  'adoption-lost'(_facts, state) {
    return state.step === 'adopted'
      ? restartAfterLostAdoption(state)
      : transitionTo(state);
  },
  'grant-given'(facts, state, event) {
    const {grant} = event;
    // A grant that arrives after its request was cancelled still reserves a
    // slot at the home, the host that grants the slots of these engines.
    // Without a report the slot stays reserved until the grant expires.
    if (!isCurrent(state, event.attempt, 'awaiting-grant')) {
      return transitionTo(
        state,
        ...reportGrantEnd({...state, grant}, 'cancelled'),
        {
          kind: 'drop',
          what: 'late',
        },
      );
    }
    if (grant.startInMs <= 0) return startPrefill(facts, state, grant);
    return transitionTo(
      {...state, step: 'awaiting-start', grant},
      {kind: 'set-timer', timer: 'start', delayMs: grant.startInMs},
    );
  },
  'grant-refused'(facts, state, event) {
    if (!isCurrent(state, event.attempt, 'awaiting-grant'))
      return transitionTo(state);
    const refused = grantRefused(facts, state, event.refusal);
    const isFinal = refused.state.step === 'ended';
    return state.held && isFinal ? keepHolding(facts, state) : refused;
  },
  'start-due'(facts, state, event) {
    if (!isCurrent(state, event.attempt, 'awaiting-start'))
      return transitionTo(state);
    if (event.isStale) {
      const retried = requestGrant(state);
      return transitionTo(
        retried.state,
        ...reportGrantEnd(state, 'cancelled'),
        ...retried.effects,
      );
    }
    if (!hasTimeToServe(facts, state, event.nowMs)) {
      return giveUp(state, deadlineError(facts, state));
    }
    return startPrefill(facts, state, state.grant!);
  },
  'prefill-done'(facts, state, event) {
    const {attempt, grant} = event;
    if (!isCurrent(state, attempt, 'prefilling')) {
      return transitionTo(
        state,
        {kind: 'release', attempt, address: grant.prefillAddress},
        {kind: 'drop', what: 'late'},
      );
    }
    return transitionTo(
      {...state, step: 'importing'},
      {
        kind: 'report',
        grant,
        progress: {
          kind: 'prefill-done',
          kvSizeBytes: event.kvSizeBytes,
          cachedTokens: event.cachedTokens,
        },
      },
      {
        kind: 'import',
        attempt,
        grant,
        kvHandle: event.kvHandle,
        kvSizeBytes: event.kvSizeBytes,
      },
      {
        kind: 'set-timer',
        timer: 'step',
        delayMs: facts.policy.importTimeoutMs,
      },
    );
  },
  'import-done'(facts, state, event) {
    const {attempt, grant} = event;
    if (!isCurrent(state, attempt, 'importing')) {
      return transitionTo(
        state,
        {kind: 'release', attempt, address: grant.decodeAddress},
        {kind: 'drop', what: 'late'},
      );
    }
    return transitionTo(
      {...state, step: 'decoding', held: undefined},
      ...getHeldEnd(state),
      {kind: 'report', grant, progress: {kind: 'decode-started'}},
      {kind: 'release', attempt, address: grant.prefillAddress},
      {
        kind: 'decode',
        attempt,
        grant,
        sessionId: event.sessionId,
        fromOffset: state.deliveredTokens,
      },
      {
        kind: 'set-timer',
        timer: 'step',
        delayMs: facts.policy.tokenProgressMs,
      },
    );
  },
  'engine-failed'(_facts, state, event) {
    const {attempt, grant, during, failure} = event;
    const isPrefill = during === 'prefill';
    const address = isPrefill ? grant.prefillAddress : grant.decodeAddress;
    const engineId = isPrefill ? grant.prefillEngineId : grant.decodeEngineId;
    const step = isPrefill ? 'prefilling' : 'importing';
    if (isCurrent(state, attempt, step)) {
      return runFailed(state, {engineId, address}, failure.reason);
    }
    // The release sent when the step ended may have reached the engine before
    // the prefill or import did. A second one frees what the engine allocated
    // after the first.
    return notRunReasons.has(failure.reason)
      ? transitionTo(state)
      : transitionTo(state, {kind: 'release', attempt, address});
  },
  frame(facts, state, event) {
    if (event.requestId !== facts.requestId || !event.isOwnAttempt) {
      return transitionTo(state, {kind: 'drop', what: 'crossed'});
    }
    if (!isCurrent(state, event.attempt, 'decoding')) {
      const {held} = state;
      if (held?.attempt === event.attempt) {
        return heldFrame(facts, state, held, event);
      }
      // A `cut` frame is expected after each cancellation.
      return event.frame.kind === 'cut'
        ? transitionTo(state)
        : transitionTo(state, {kind: 'drop', what: 'late'});
    }
    return handleFrame(facts, state, event);
  },
  'step-timeout'(_facts, state, event) {
    if (state.attempt !== event.attempt) return transitionTo(state);
    switch (state.step) {
      case 'adopted':
        return restartAfterLostAdoption(state);
      case 'prefilling':
        return runFailed(
          state,
          {
            engineId: state.grant!.prefillEngineId,
            address: state.grant!.prefillAddress,
          },
          'timeout',
        );
      case 'importing':
        return decodeFailed(state, 'timeout');
      case 'decoding':
        return holdRun(state);
      default:
        return transitionTo(state);
    }
  },
  probed(_facts, state, event) {
    if (!isCurrent(state, event.attempt, 'probing')) return transitionTo(state);
    if (state.held && !state.grant) {
      return heldProbed(state, state.held, event.isAlive);
    }
    if (event.isAlive) return requestRetry(state, [], false);
    const failure = state.failure!;
    // A request that never reached the engine cannot have crashed it.
    const mayHaveCrashed = failure.reason !== 'unreachable';
    const blame: readonly ModelEffect[] = mayHaveCrashed
      ? [{kind: 'blame', engineId: failure.engineId}]
      : [];
    return requestRetry(state, blame, true);
  },
  'retry-allowed'(facts, state, event) {
    if (state.step !== 'asking-retry') return transitionTo(state);
    if (state.runs >= facts.policy.maxAttempts) {
      if (state.held) return keepHolding(facts, state);
      return transitionTo(ended(state), {
        kind: 'fail',
        error: finalError(facts, state, {
          kind: 'no-upstream',
          detail: 'Several engines refused the request.',
        }),
      });
    }
    return transitionTo(
      {...state, step: 'backing-off', failure: undefined},
      {kind: 'set-timer', timer: 'retry', delayMs: event.delayMs},
    );
  },
  'retry-denied'(facts, state) {
    if (state.step !== 'asking-retry') return transitionTo(state);
    if (state.held) return keepHolding(facts, state);
    return transitionTo(ended(state), {
      kind: 'fail',
      error: finalError(facts, state, {
        kind: 'no-upstream',
        detail: 'The engine refused, and no retry is allowed now.',
      }),
    });
  },
  'retry-due'(facts, state, event) {
    if (state.step === 'holding') return retryHeld(state, state.held!);
    if (state.step !== 'backing-off') return transitionTo(state);
    if (hasTimeToServe(facts, state, event.nowMs)) return requestGrant(state);
    return state.held
      ? keepHolding(facts, state)
      : giveUp(state, deadlineError(facts, state));
  },
  'caller-gone'(facts, state) {
    if (state.step === 'ended') return transitionTo(state);
    if (facts.isKept && state.step !== 'adopted') {
      return transitionTo(
        {...state, isAbandoned: true},
        {
          kind: 'set-timer',
          timer: 'keep',
          delayMs: facts.policy.keepRunningMs,
        },
      );
    }
    return giveUp(state, callerGoneError(state));
  },
  'caller-back'(_facts, state) {
    return transitionTo(
      {...state, isAbandoned: false},
      {
        kind: 'clear-timer',
        timer: 'keep',
      },
    );
  },
  'keep-bound'(_facts, state) {
    if (state.step === 'ended' || !state.isAbandoned)
      return transitionTo(state);
    return giveUp(state, callerGoneError(state));
  },
  'renew-due'(facts, state) {
    const renewals = getRenewals(state);
    if (renewals.length === 0) return transitionTo(state);
    const delayMs = facts.policy.renewIntervalMs;
    return transitionTo(state, ...renewals, {
      kind: 'set-timer',
      timer: 'renew',
      delayMs,
    });
  },
  deadline(facts, state) {
    if (state.step === 'ended' || state.isAbandoned) return transitionTo(state);
    const isStreaming = state.step === 'decoding' || state.step === 'adopted';
    // A stream that has started may finish a little late, which is better for
    // the caller than a truncated answer.
    if (isStreaming && state.deliveredTokens > 0) {
      return transitionTo(state, {
        kind: 'set-timer',
        timer: 'overrun',
        delayMs: facts.policy.streamOverrunMs,
      });
    }
    return giveUp(state, deadlineError(facts, state));
  },
  overrun(facts, state) {
    if (state.step === 'ended' || state.isAbandoned) return transitionTo(state);
    return giveUp(state, deadlineError(facts, state));
  },
};

export function stepModel(
  facts: ModelFacts,
  state: ModelState,
  event: ModelEvent,
): ModelTransition {
  return applyHandler(handlers, facts, state, event);
}
