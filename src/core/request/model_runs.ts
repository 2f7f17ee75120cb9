/** The steps of one run of a model request, and from one run to the next. */

import type {EngineFailure} from '../../ports/engine.js';
import type {Grant, GrantRefusal} from '../../ports/grants.js';
import type {RequestError} from '../error_kinds.js';
import {lastError, refusalKinds} from './model_errors.js';
import {endGrant, engineReleases, heldEffects, isWaste} from './model_held.js';
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

/** Failures after which the engine certainly holds and ran nothing. */
export const certainRefusals: ReadonlySet<EngineFailure['reason']> = new Set([
  'refused',
  'no-capacity',
  'leaving',
  'unreachable',
]);

/** Failures that may mean a dead engine, or only a dead connection. */
export const doubtfulReasons: ReadonlySet<EngineFailure['reason']> = new Set([
  'broken',
  'timeout',
  'unreachable',
]);

export function stay(
  state: ModelState,
  ...effects: ModelEffect[]
): ModelTransition {
  return {state, effects};
}

export function ended(state: ModelState): ModelState {
  return {...state, step: 'ended', grant: undefined, failure: undefined};
}

export function giveUp(
  state: ModelState,
  error: RequestError,
): ModelTransition {
  return stay(ended(state), ...heldEffects(state, 'cancelled'), {
    kind: 'fail',
    error,
  });
}

export function askGrant(state: ModelState): ModelTransition {
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

export function startPrefill(
  facts: ModelFacts,
  state: ModelState,
  grant: Grant,
): ModelTransition {
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
export function runFailed(
  state: ModelState,
  at: {readonly engineId: string; readonly address: string},
  reason: EngineFailure['reason'],
): ModelTransition {
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

export function askRetry(
  state: ModelState,
  before: readonly ModelEffect[],
  isEngineToBlame: boolean,
): ModelTransition {
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

export function lostAdoption(state: ModelState): ModelTransition {
  const asked = askGrant(state);
  return stay(
    asked.state,
    {kind: 'clear-timer', timer: 'step'},
    ...asked.effects,
  );
}

export function onTokens(
  facts: ModelFacts,
  state: ModelState,
  event: Frame,
): ModelTransition {
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

export function grantRefused(
  facts: ModelFacts,
  state: ModelState,
  refusal: GrantRefusal,
): ModelTransition {
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
