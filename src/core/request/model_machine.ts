/**
 * The life of one model request as a pure state machine: from the state and
 * an event to the next state and the effects that a task must carry out.
 */

import {hungUp, lastError, waitOver} from './model_errors.js';
import {endGrant} from './model_held.js';
import {
  askGrant,
  askRetry,
  certainRefusals,
  decodeFailed,
  deliver,
  ended,
  giveUp,
  grantRefused,
  lostAdoption,
  onTokens,
  runFailed,
  startPrefill,
  stay,
  type ModelTransition,
} from './model_runs.js';
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
  runs: 0,
  failedEngineIds: [],
  grantAsks: 0,
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

function canServe(facts: ModelFacts, state: ModelState, nowMs: number) {
  if (state.isAbandoned) return true;
  return nowMs + facts.policy.minServeMs <= facts.deadlineAtMs;
}

const handlers: Handlers<ModelFacts, ModelState, ModelEvent, ModelEffect> = {
  started(facts, state) {
    return facts.isKeyed
      ? stay({...state, step: 'looking-up'}, {kind: 'look-up'})
      : askGrant(state);
  },
  'looked-up'(facts, state, event) {
    if (state.step !== 'looking-up') return stay(state);
    switch (event.outcome) {
      case 'run':
        return askGrant(state);
      case 'adopted':
        return stay(
          {...state, step: 'adopted', mayHaveRun: true},
          {
            kind: 'set-timer',
            timer: 'step',
            delayMs: facts.policy.tokenProgressMs,
          },
        );
      case 'replayed':
        return stay(ended(state));
      case 'conflict':
        return giveUp(state, {
          kind: 'key-conflict',
          detail: 'The key belongs to another request.',
        });
    }
  },
  'adopted-tokens'(facts, state, event) {
    if (state.step !== 'adopted') {
      return stay(state, {kind: 'drop', what: 'late'});
    }
    return deliver(facts, state, event.offset, event.texts);
  },
  'adopted-end'(_facts, state, event) {
    if (state.step !== 'adopted') {
      return stay(state, {kind: 'drop', what: 'late'});
    }
    if (event.tokenCount !== state.deliveredTokens) return lostAdoption(state);
    return stay(
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
    return state.step === 'adopted' ? lostAdoption(state) : stay(state);
  },
  'grant-given'(facts, state, event) {
    const {grant} = event;
    // A grant that comes after its request was given up still holds a slot at
    // the home; unreported, the slot would stay promised until it lapses.
    if (!isCurrent(state, event.attempt, 'awaiting-grant')) {
      return stay(state, ...endGrant({...state, grant}, 'cancelled'), {
        kind: 'drop',
        what: 'late',
      });
    }
    if (grant.startInMs <= 0) return startPrefill(facts, state, grant);
    return stay(
      {...state, step: 'awaiting-start', grant},
      {kind: 'set-timer', timer: 'start', delayMs: grant.startInMs},
    );
  },
  'grant-refused'(facts, state, event) {
    if (!isCurrent(state, event.attempt, 'awaiting-grant')) return stay(state);
    return grantRefused(facts, state, event.refusal);
  },
  'start-due'(facts, state, event) {
    if (!isCurrent(state, event.attempt, 'awaiting-start')) return stay(state);
    if (event.isStale) {
      const asked = askGrant(state);
      return stay(
        asked.state,
        ...endGrant(state, 'cancelled'),
        ...asked.effects,
      );
    }
    if (!canServe(facts, state, event.nowMs)) {
      return giveUp(state, waitOver(facts, state));
    }
    return startPrefill(facts, state, state.grant!);
  },
  'prefill-done'(facts, state, event) {
    const {attempt, grant} = event;
    if (!isCurrent(state, attempt, 'prefilling')) {
      return stay(
        state,
        {kind: 'release', attempt, address: grant.prefillAddress},
        {kind: 'drop', what: 'late'},
      );
    }
    return stay(
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
      return stay(
        state,
        {kind: 'release', attempt, address: grant.decodeAddress},
        {kind: 'drop', what: 'late'},
      );
    }
    return stay(
      {...state, step: 'decoding'},
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
    // The cancel may have overtaken the call, and the engine may have begun
    // after it; a second release frees what the first one could not see.
    return certainRefusals.has(failure.reason)
      ? stay(state)
      : stay(state, {kind: 'release', attempt, address});
  },
  frame(facts, state, event) {
    if (event.requestId !== facts.requestId || !event.isOwnAttempt) {
      return stay(state, {kind: 'drop', what: 'crossed'});
    }
    if (!isCurrent(state, event.attempt, 'decoding')) {
      // A cut follows each cancel and is expected.
      return event.frame.kind === 'cut'
        ? stay(state)
        : stay(state, {kind: 'drop', what: 'late'});
    }
    return onTokens(facts, state, event);
  },
  'step-timeout'(_facts, state, event) {
    if (state.attempt !== event.attempt) return stay(state);
    switch (state.step) {
      case 'adopted':
        return lostAdoption(state);
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
      case 'decoding':
        return decodeFailed(state, 'timeout');
      default:
        return stay(state);
    }
  },
  probed(_facts, state, event) {
    if (!isCurrent(state, event.attempt, 'probing')) return stay(state);
    if (event.isAlive) return askRetry(state, [], false);
    const failure = state.failure!;
    // An engine that was never reached cannot have died of this request.
    const isSuspect = failure.reason !== 'unreachable';
    const blame: readonly ModelEffect[] = isSuspect
      ? [{kind: 'blame', engineId: failure.engineId}]
      : [];
    return askRetry(state, blame, true);
  },
  'retry-allowed'(facts, state, event) {
    if (state.step !== 'asking-retry') return stay(state);
    if (state.runs >= facts.policy.maxAttempts) {
      return stay(ended(state), {
        kind: 'fail',
        error: lastError(facts, state, {
          kind: 'no-upstream',
          detail: 'Several engines refused the request.',
        }),
      });
    }
    return stay(
      {...state, step: 'backing-off', failure: undefined},
      {kind: 'set-timer', timer: 'retry', delayMs: event.delayMs},
    );
  },
  'retry-denied'(facts, state) {
    if (state.step !== 'asking-retry') return stay(state);
    return stay(ended(state), {
      kind: 'fail',
      error: lastError(facts, state, {
        kind: 'no-upstream',
        detail: 'The engine refused, and no retry is allowed now.',
      }),
    });
  },
  'retry-due'(facts, state, event) {
    if (state.step !== 'backing-off') return stay(state);
    return canServe(facts, state, event.nowMs)
      ? askGrant(state)
      : giveUp(state, waitOver(facts, state));
  },
  'caller-gone'(facts, state) {
    if (state.step === 'ended') return stay(state);
    if (facts.isKept && state.step !== 'adopted') {
      return stay(
        {...state, isAbandoned: true},
        {
          kind: 'set-timer',
          timer: 'keep',
          delayMs: facts.policy.keepRunningMs,
        },
      );
    }
    return giveUp(state, hungUp(state));
  },
  'caller-back'(_facts, state) {
    return stay(
      {...state, isAbandoned: false},
      {
        kind: 'clear-timer',
        timer: 'keep',
      },
    );
  },
  'keep-bound'(_facts, state) {
    if (state.step === 'ended' || !state.isAbandoned) return stay(state);
    return giveUp(state, hungUp(state));
  },
  'renew-due'(facts, state) {
    const isRunning =
      state.step === 'prefilling' ||
      state.step === 'importing' ||
      state.step === 'decoding';
    if (!isRunning) return stay(state);
    return stay(
      state,
      {
        kind: 'report',
        grant: state.grant!,
        progress: {kind: 'renew', tokensDelivered: state.deliveredTokens},
      },
      {
        kind: 'set-timer',
        timer: 'renew',
        delayMs: facts.policy.renewIntervalMs,
      },
    );
  },
  deadline(facts, state) {
    if (state.step === 'ended' || state.isAbandoned) return stay(state);
    const isStreaming = state.step === 'decoding' || state.step === 'adopted';
    // A caller who already reads the answer is better served by its end, a
    // little late, than by a cut one.
    if (isStreaming && state.deliveredTokens > 0) {
      return stay(state, {
        kind: 'set-timer',
        timer: 'overrun',
        delayMs: facts.policy.streamOverrunMs,
      });
    }
    return giveUp(state, waitOver(facts, state));
  },
  overrun(facts, state) {
    if (state.step === 'ended' || state.isAbandoned) return stay(state);
    return giveUp(state, waitOver(facts, state));
  },
};

export function stepModel(
  facts: ModelFacts,
  state: ModelState,
  event: ModelEvent,
): ModelTransition {
  return applyHandler(handlers, facts, state, event);
}
