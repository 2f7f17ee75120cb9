/**
 * The life of one model request as a pure state machine: from the state and
 * an event to the next state and the effects that a task must carry out.
 *
 * What an engine or a home holds for the request is given back on each way out
 * of a step; `heldEffects` is the one place that says what each step holds.
 */

import type {EngineFailure} from '../../ports/engine.js';
import type {Grant, GrantRefusal} from '../../ports/grants.js';
import type {ErrorKind, RequestError} from '../error_kinds.js';
import type {
  ModelEffect,
  ModelEvent,
  ModelFacts,
  ModelState,
  RunFailure,
} from './model_types.js';
import {applyHandler, type Handlers, type Transition} from './transition.js';

type Step = Transition<ModelState, ModelEffect>;
type Frame = Extract<ModelEvent, {kind: 'frame'}>;

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

/** Failures after which the engine certainly holds and ran nothing. */
const certainRefusals: ReadonlySet<EngineFailure['reason']> = new Set([
  'refused',
  'no-capacity',
  'leaving',
  'unreachable',
]);

/** Failures that may mean a dead engine, or only a dead connection. */
const doubtfulReasons: ReadonlySet<EngineFailure['reason']> = new Set([
  'broken',
  'timeout',
  'unreachable',
]);

const refusalKinds: Readonly<Record<GrantRefusal['reason'], ErrorKind>> = {
  'not-feasible': 'overloaded',
  'account-limit': 'account-limit',
  'queue-full': 'queue-full',
  'no-engine': 'no-upstream',
  'home-moved': 'overloaded',
  unreachable: 'no-upstream',
  cancelled: 'overloaded',
};

function stay(state: ModelState, ...effects: ModelEffect[]): Step {
  return {state, effects};
}

/** Whether an upstream may have computed something for this request. */
export function hasModelRun(state: ModelState): boolean {
  switch (state.step) {
    case 'prefilling':
    case 'importing':
    case 'decoding':
      return true;
    default:
      return state.mayHaveRun;
  }
}

function isWaste(state: ModelState): boolean {
  if (state.step === 'importing') return true;
  return (
    state.step === 'decoding' && state.deliveredTokens === state.runStartTokens
  );
}

/** Gives back what the current step holds at engines. */
function engineReleases(state: ModelState): readonly ModelEffect[] {
  const {step, grant, attempt} = state;
  if (!grant) return [];
  const prefill = {
    kind: 'release',
    attempt,
    address: grant.prefillAddress,
  } as const;
  const decode = {
    kind: 'release',
    attempt,
    address: grant.decodeAddress,
  } as const;
  switch (step) {
    case 'prefilling':
      return [prefill];
    case 'importing':
      return [prefill, decode];
    case 'decoding':
      return [{kind: 'stop-stream'}, decode];
    default:
      return [];
  }
}

function endGrant(
  state: ModelState,
  result: 'whole' | 'cancelled' | 'failed',
  failure?: {readonly engineId?: string; readonly isWasted: boolean},
): readonly ModelEffect[] {
  if (!state.grant) return [];
  return [
    {
      kind: 'report',
      grant: state.grant,
      progress: {
        kind: 'ended',
        result,
        failedEngineId: failure?.engineId,
        tokensDelivered: state.deliveredTokens,
        prefillWasted: failure?.isWasted ?? false,
      },
    },
  ];
}

/** Everything held in the current step: queue place, engines, grant. */
function heldEffects(
  state: ModelState,
  result: 'cancelled' | 'failed',
): readonly ModelEffect[] {
  const waiting: readonly ModelEffect[] =
    state.step === 'awaiting-grant' ? [{kind: 'abandon-grant-request'}] : [];
  const isWasted = state.failure?.wasPrefillWasted ?? isWaste(state);
  return [
    ...waiting,
    ...engineReleases(state),
    ...endGrant(state, result, {isWasted}),
  ];
}

function ended(state: ModelState): ModelState {
  return {...state, step: 'ended', grant: undefined, failure: undefined};
}

function giveUp(state: ModelState, error: RequestError): Step {
  return stay(ended(state), ...heldEffects(state, 'cancelled'), {
    kind: 'fail',
    error,
  });
}

/** The honest answer for a request that will not be tried again. */
function lastError(
  facts: ModelFacts,
  state: ModelState,
  notRun: RequestError,
): RequestError {
  const retryAfterMs = notRun.retryAfterMs ?? facts.policy.defaultRetryAfterMs;
  if (state.deliveredTokens > 0) {
    return {
      kind: 'answer-cut',
      detail: 'The stream broke and could not be resumed.',
      retryAfterMs,
    };
  }
  if (hasModelRun(state)) {
    return {
      kind: 'upstream-failed',
      detail: 'The engines that ran the request failed.',
      retryAfterMs,
    };
  }
  return {...notRun, retryAfterMs};
}

function askGrant(state: ModelState): Step {
  const next: ModelState = {
    ...state,
    step: 'awaiting-grant',
    attempt: state.attempt + 1,
    runStartTokens: state.deliveredTokens,
    grant: undefined,
    failure: undefined,
  };
  return stay(next, {
    kind: 'request-grant',
    attempt: next.attempt,
    resumeOffset: next.deliveredTokens,
  });
}

function startPrefill(
  facts: ModelFacts,
  state: ModelState,
  grant: Grant,
): Step {
  const next: ModelState = {
    ...state,
    step: 'prefilling',
    grant,
    grantAsks: 0,
    runs: state.runs + 1,
  };
  return stay(
    next,
    {kind: 'report', grant, progress: {kind: 'prefill-started'}},
    {kind: 'prefill', attempt: state.attempt, grant},
    {
      kind: 'set-timer',
      timer: 'step',
      delayMs: facts.policy.prefillTimeoutMs,
    },
    {kind: 'set-timer', timer: 'renew', delayMs: facts.policy.renewIntervalMs},
  );
}

/**
 * Engines that the next run should avoid. An import that fails or stalls may
 * be the fault of the engine that exports, so that one is avoided as well.
 */
function getSuspects(
  state: ModelState,
  at: {readonly engineId: string},
): readonly string[] {
  const source = state.grant?.prefillEngineId;
  return state.step === 'importing' && source !== undefined
    ? [at.engineId, source]
    : [at.engineId];
}

/**
 * A run failed. The engines are told at once to free what they hold. When the
 * failure may be that of a connection only, a fresh one is tried before the
 * engine is blamed: a connection that a device between the hosts has forgotten
 * looks just like a dead host, and blaming the host would take good capacity
 * away.
 */
function runFailed(
  state: ModelState,
  at: {readonly engineId: string; readonly address: string},
  reason: EngineFailure['reason'],
): Step {
  const failure: RunFailure = {
    engineId: at.engineId,
    address: at.address,
    reason,
    wasPrefillWasted: isWaste(state),
  };
  const isCertain = state.step === 'prefilling' && certainRefusals.has(reason);
  const next: ModelState = {
    ...state,
    mayHaveRun: state.mayHaveRun || !isCertain,
    failure,
    failedEngineIds: [...state.failedEngineIds, ...getSuspects(state, at)],
  };
  const releases: readonly ModelEffect[] = [
    {kind: 'clear-timer', timer: 'step'},
    ...engineReleases(state),
  ];
  if (!doubtfulReasons.has(reason)) {
    return askRetry(next, releases, reason === 'leaving');
  }
  return stay({...next, step: 'probing'}, ...releases, {
    kind: 'probe',
    attempt: state.attempt,
    address: at.address,
  });
}

function askRetry(
  state: ModelState,
  before: readonly ModelEffect[],
  isEngineToBlame: boolean,
): Step {
  const failure = state.failure;
  return stay(
    {...state, step: 'asking-retry', grant: undefined},
    ...before,
    ...endGrant(state, 'failed', {
      engineId: isEngineToBlame ? failure?.engineId : undefined,
      isWasted: failure?.wasPrefillWasted ?? false,
    }),
    {kind: 'ask-retry'},
  );
}

function decodeFailed(state: ModelState, reason: EngineFailure['reason']) {
  const grant = state.grant!;
  return runFailed(
    state,
    {engineId: grant.decodeEngineId, address: grant.decodeAddress},
    reason,
  );
}

function deliver(
  facts: ModelFacts,
  state: ModelState,
  offset: number,
  texts: readonly string[],
): Step {
  const known = state.deliveredTokens - offset;
  if (known >= texts.length && texts.length > 0) {
    return stay(state, {kind: 'drop', what: 'repeated'});
  }
  // A gap means that a frame was lost: to go on would hand over an answer
  // with a hole. The stream is cut here and resumed from what was delivered.
  if (known < 0) {
    return state.step === 'decoding'
      ? decodeFailed(state, 'broken')
      : lostAdoption(state);
  }
  const fresh = known === 0 ? texts : texts.slice(known);
  const next = {
    ...state,
    deliveredTokens: state.deliveredTokens + fresh.length,
  };
  const delivery: ModelEffect = {
    kind: 'deliver',
    offset: state.deliveredTokens,
    texts: fresh,
  };
  const timer: ModelEffect = {
    kind: 'set-timer',
    timer: 'step',
    delayMs: facts.policy.tokenProgressMs,
  };
  return stay(next, delivery, timer);
}

function lostAdoption(state: ModelState): Step {
  const asked = askGrant(state);
  return stay(
    asked.state,
    {kind: 'clear-timer', timer: 'step'},
    ...asked.effects,
  );
}

function onTokens(facts: ModelFacts, state: ModelState, event: Frame): Step {
  const frame = event.frame;
  if (frame.kind === 'tokens') {
    return deliver(facts, state, frame.offset, frame.texts);
  }
  if (frame.kind === 'cut') return decodeFailed(state, frame.failure.reason);
  // An end that names another length than was delivered hides a lost frame.
  if (frame.tokenCount !== state.deliveredTokens) {
    return decodeFailed(state, 'broken');
  }
  return stay(
    ended(state),
    {kind: 'clear-timer', timer: 'step'},
    ...endGrant(state, 'whole'),
    {
      kind: 'finish',
      finishReason: frame.finishReason,
      tokenCount: frame.tokenCount,
    },
  );
}

function grantRefused(
  facts: ModelFacts,
  state: ModelState,
  refusal: GrantRefusal,
): Step {
  const grantAsks = state.grantAsks + 1;
  const isHomeLost =
    refusal.reason === 'home-moved' || refusal.reason === 'unreachable';
  // A stream that has begun is worth waiting for a place to resume it.
  const isWorthAsking = isHomeLost || state.deliveredTokens > 0;
  if (isWorthAsking && grantAsks < facts.policy.maxGrantAsks) {
    return stay(
      {...state, step: 'backing-off', grantAsks},
      {kind: 'set-timer', timer: 'retry', delayMs: refusal.retryAfterMs},
    );
  }
  const error = lastError(facts, state, {
    kind: refusalKinds[refusal.reason],
    detail: 'No engine could be promised within the wait.',
    retryAfterMs: refusal.retryAfterMs,
  });
  return stay(ended(state), {kind: 'fail', error});
}

function waitOver(facts: ModelFacts, state: ModelState): RequestError {
  const retryAfterMs = facts.policy.defaultRetryAfterMs;
  if (state.deliveredTokens > 0) {
    return {
      kind: 'answer-cut',
      detail: 'The wait ended while the stream was broken.',
      retryAfterMs,
    };
  }
  return hasModelRun(state)
    ? {
        kind: 'deadline-passed',
        detail: 'No token came within the wait.',
        retryAfterMs,
      }
    : {
        kind: 'deadline-not-run',
        detail: 'No engine was free within the wait.',
        retryAfterMs,
      };
}

function hungUp(state: ModelState): RequestError {
  return {
    kind: hasModelRun(state) ? 'deadline-passed' : 'deadline-not-run',
    detail: 'The caller hung up.',
  };
}

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
): Step {
  return applyHandler(handlers, facts, state, event);
}
