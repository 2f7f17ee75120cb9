/** Transitions within a run of a model request and between its runs. */

import type {EngineFailure} from '../../ports/engine.js';
import type {Grant, GrantRefusal} from '../../ports/grants.js';
import type {RequestError} from '../error_kinds.js';
import {finalError, refusalKinds} from './model_errors.js';
import {
  reportGrantEnd,
  getEngineReleases,
  getReleaseEffects,
  isPrefillWasted,
} from './model_held.js';
import type {
  ModelEffect,
  ModelEvent,
  ModelFacts,
  ModelState,
  RunFailure,
} from './model_types.js';
import type {Transition} from './transition.js';

export type ModelTransition = Transition<ModelState, ModelEffect>;
type Frame = Extract<ModelEvent, {kind: 'frame'}>;

/** Failures after which the engine neither ran the call nor holds resources. */
export const notRunReasons: ReadonlySet<EngineFailure['reason']> = new Set([
  'refused',
  'no-capacity',
  'leaving',
  'unreachable',
]);

/** Failures that a failed engine and a failed connection can both cause. */
export const ambiguousReasons: ReadonlySet<EngineFailure['reason']> = new Set([
  'broken',
  'timeout',
  'unreachable',
]);

export function transitionTo(
  state: ModelState,
  ...effects: ModelEffect[]
): ModelTransition {
  return {state, effects};
}

export function ended(state: ModelState): ModelState {
  return {
    ...state,
    step: 'ended',
    grant: undefined,
    failure: undefined,
    held: undefined,
  };
}

export function giveUp(
  state: ModelState,
  error: RequestError,
): ModelTransition {
  return transitionTo(ended(state), ...getReleaseEffects(state, 'cancelled'), {
    kind: 'fail',
    error,
  });
}

export function requestGrant(state: ModelState): ModelTransition {
  const next: ModelState = {
    ...state,
    step: 'awaiting-grant',
    attempt: state.lastAttempt + 1,
    lastAttempt: state.lastAttempt + 1,
    runStartTokens: state.deliveredTokens,
    grant: undefined,
    failure: undefined,
  };
  return transitionTo(next, {
    kind: 'request-grant',
    attempt: next.attempt,
    resumeOffset: next.deliveredTokens,
  });
}

export function startPrefill(
  facts: ModelFacts,
  state: ModelState,
  grant: Grant,
): ModelTransition {
  const next: ModelState = {
    ...state,
    step: 'prefilling',
    grant,
    failedGrantRequests: 0,
    runs: state.runs + 1,
  };
  return transitionTo(
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
 * Returns the engines that the next run should avoid. A failed import may be
 * caused by the exporting engine, so that engine is avoided as well.
 */
function getEnginesToAvoid(
  state: ModelState,
  at: {readonly engineId: string},
): readonly string[] {
  const source = state.grant?.prefillEngineId;
  return state.step === 'importing' && source !== undefined
    ? [at.engineId, source]
    : [at.engineId];
}

/**
 * Handles a failed run and releases its resources at the engines. If only the
 * connection may have failed, a new connection probes the engine before the
 * failure is attributed to it: a connection dropped by a network device looks
 * like a failed host, and excluding a healthy host would waste capacity.
 */
export function runFailed(
  state: ModelState,
  at: {readonly engineId: string; readonly address: string},
  reason: EngineFailure['reason'],
): ModelTransition {
  const failure: RunFailure = {
    engineId: at.engineId,
    address: at.address,
    reason,
    wasPrefillWasted: isPrefillWasted(state),
  };
  const hasCertainlyNotRun =
    state.step === 'prefilling' && notRunReasons.has(reason);
  const next: ModelState = {
    ...state,
    mayHaveRun: state.mayHaveRun || !hasCertainlyNotRun,
    failure,
    failedEngineIds: [
      ...state.failedEngineIds,
      ...getEnginesToAvoid(state, at),
    ],
  };
  const releases: readonly ModelEffect[] = [
    {kind: 'clear-timer', timer: 'step'},
    ...getEngineReleases(state),
  ];
  if (!ambiguousReasons.has(reason)) {
    return requestRetry(next, releases, reason === 'leaving');
  }
  return transitionTo({...next, step: 'probing'}, ...releases, {
    kind: 'probe',
    attempt: state.attempt,
    address: at.address,
  });
}

export function requestRetry(
  state: ModelState,
  before: readonly ModelEffect[],
  isEngineToBlame: boolean,
): ModelTransition {
  const failure = state.failure;
  return transitionTo(
    {...state, step: 'asking-retry', grant: undefined},
    ...before,
    ...reportGrantEnd(state, 'failed', {
      engineId: isEngineToBlame ? failure?.engineId : undefined,
      isWasted: failure?.wasPrefillWasted ?? false,
    }),
    {kind: 'ask-retry'},
  );
}

export function decodeFailed(
  state: ModelState,
  reason: EngineFailure['reason'],
): ModelTransition {
  const grant = state.grant!;
  return runFailed(
    state,
    {engineId: grant.decodeEngineId, address: grant.decodeAddress},
    reason,
  );
}

export function deliver(
  facts: ModelFacts,
  state: ModelState,
  offset: number,
  texts: readonly string[],
): ModelTransition {
  const repeatedTokens = state.deliveredTokens - offset;
  if (repeatedTokens >= texts.length && texts.length > 0) {
    return transitionTo(state, {kind: 'drop', what: 'repeated'});
  }
  // A gap means that a frame was lost. The stream is stopped and resumed after
  // the last delivered token, so that the answer has no gap.
  if (repeatedTokens < 0) {
    return state.step === 'decoding'
      ? decodeFailed(state, 'broken')
      : restartAfterLostAdoption(state);
  }
  const newTexts = repeatedTokens === 0 ? texts : texts.slice(repeatedTokens);
  const next = {
    ...state,
    deliveredTokens: state.deliveredTokens + newTexts.length,
  };
  const delivery: ModelEffect = {
    kind: 'deliver',
    offset: state.deliveredTokens,
    texts: newTexts,
  };
  const timer: ModelEffect = {
    kind: 'set-timer',
    timer: 'step',
    delayMs: facts.policy.tokenProgressMs,
  };
  return transitionTo(next, delivery, timer);
}

export function restartAfterLostAdoption(state: ModelState): ModelTransition {
  const restarted = requestGrant(state);
  return transitionTo(
    restarted.state,
    {kind: 'clear-timer', timer: 'step'},
    ...restarted.effects,
  );
}

export function handleFrame(
  facts: ModelFacts,
  state: ModelState,
  event: Frame,
): ModelTransition {
  const frame = event.frame;
  if (frame.kind === 'tokens') {
    return deliver(facts, state, frame.offset, frame.texts);
  }
  if (frame.kind === 'cut') return decodeFailed(state, frame.failure.reason);
  // If the engine counts other tokens than were delivered, a frame was lost.
  if (frame.tokenCount !== state.deliveredTokens) {
    return decodeFailed(state, 'broken');
  }
  return transitionTo(
    ended(state),
    {kind: 'clear-timer', timer: 'step'},
    ...reportGrantEnd(state, 'whole'),
    {
      kind: 'finish',
      finishReason: frame.finishReason,
      tokenCount: frame.tokenCount,
    },
  );
}

export function grantRefused(
  facts: ModelFacts,
  state: ModelState,
  refusal: GrantRefusal,
): ModelTransition {
  const failedGrantRequests = state.failedGrantRequests + 1;
  const isHomeLost =
    refusal.reason === 'home-moved' || refusal.reason === 'unreachable';
  // If the caller already has tokens, engines are requested again, so that the
  // stream can be resumed.
  const shouldRetry = isHomeLost || state.deliveredTokens > 0;
  if (shouldRetry && failedGrantRequests < facts.policy.maxGrantRequests) {
    return transitionTo(
      {...state, step: 'backing-off', failedGrantRequests},
      {kind: 'set-timer', timer: 'retry', delayMs: refusal.retryAfterMs},
    );
  }
  const error = finalError(facts, state, {
    kind: refusalKinds[refusal.reason],
    detail: 'No engine could be promised within the wait.',
    retryAfterMs: refusal.retryAfterMs,
  });
  return transitionTo(ended(state), {kind: 'fail', error});
}
