/**
 * Runs whose engine fell silent. Most engines that are silent for a few seconds
 * go on, and the next run may find no room. A silent run is therefore held while
 * another is prepared, and ends once that one is ready to decode. If it goes on
 * before, what was prepared is released.
 */

import {getEngineReleases, getHeldEnd, reportGrantEnd} from './model_held.js';
import {
  handleFrame,
  requestRetry,
  transitionTo,
  type ModelTransition,
} from './model_runs.js';
import type {
  HeldRun,
  ModelEffect,
  ModelEvent,
  ModelFacts,
  ModelState,
} from './model_types.js';

/**
 * Frames of an engine that answers again arrive within this time; otherwise
 * only the connection of its stream is dead.
 */
const FRAME_GRACE_MS = 500;

function probeHeld(state: ModelState, {grant}: HeldRun): ModelTransition {
  const {decodeEngineId: engineId, decodeAddress: address} = grant;
  return transitionTo(
    {
      ...state,
      step: 'probing',
      grant: undefined,
      failure: {engineId, address, reason: 'timeout', wasPrefillWasted: false},
    },
    {kind: 'probe', attempt: state.attempt, address},
  );
}

/** Holds the current run, and finds out whether its engine is alive. */
export function holdRun(state: ModelState): ModelTransition {
  const {attempt, runStartTokens, failedEngineIds} = state;
  const grant = state.grant!;
  const held: HeldRun = {
    attempt,
    grant,
    runStartTokens,
    failedEngineIds,
    engine: 'silent',
  };
  const next: ModelState = {
    ...state,
    held,
    mayHaveRun: true,
    failedEngineIds: [...failedEngineIds, grant.decodeEngineId],
  };
  return probeHeld(next, held);
}

/** The engine of the held run answered a probe on a new connection, or not. */
export function heldProbed(
  state: ModelState,
  held: HeldRun,
  isAlive: boolean,
): ModelTransition {
  const lost: ModelState = {...state, held: {...held, engine: 'unreachable'}};
  if (!isAlive) return requestRetry(lost, [], false);
  return transitionTo(
    {...state, step: 'holding', held: {...held, engine: 'alive'}},
    {kind: 'set-timer', timer: 'retry', delayMs: FRAME_GRACE_MS},
  );
}

/** Waits for the held run, as no other can be prepared now. */
export function keepHolding(
  {policy}: ModelFacts,
  state: ModelState,
): ModelTransition {
  return transitionTo(
    {...state, step: 'holding', grant: undefined, failedGrantRequests: 0},
    {kind: 'set-timer', timer: 'retry', delayMs: policy.defaultRetryAfterMs},
  );
}

/** The held run has been silent for another while. */
export function retryHeld(state: ModelState, held: HeldRun): ModelTransition {
  return held.engine === 'alive'
    ? requestRetry({...state, held: undefined}, getHeldEnd(state), false)
    : probeHeld(state, held);
}

/** Releases what was prepared, and continues with the held run. */
function returnToHeld(state: ModelState, held: HeldRun): ModelTransition {
  const waiting: readonly ModelEffect[] =
    state.step === 'awaiting-grant' ? [{kind: 'abandon-grant-request'}] : [];
  const {attempt, grant, runStartTokens, failedEngineIds} = held;
  return transitionTo(
    {
      ...state,
      ...{attempt, grant, runStartTokens, failedEngineIds},
      step: 'decoding',
      held: undefined,
      failure: undefined,
      failedGrantRequests: 0,
    },
    {kind: 'clear-timer', timer: 'retry'},
    {kind: 'clear-timer', timer: 'start'},
    ...waiting,
    ...getEngineReleases(state),
    ...reportGrantEnd(state, 'cancelled', {
      isWasted: state.step === 'importing',
    }),
  );
}

/** A frame of the held run, which goes on or ends. */
export function heldFrame(
  facts: ModelFacts,
  state: ModelState,
  held: HeldRun,
  event: Extract<ModelEvent, {kind: 'frame'}>,
): ModelTransition {
  if (event.frame.kind === 'cut') {
    const next: ModelState = {...state, held: undefined};
    const effects = getHeldEnd(state);
    return state.step === 'holding'
      ? requestRetry(next, effects, false)
      : transitionTo(next, ...effects);
  }
  const returned = returnToHeld(state, held);
  const handled = handleFrame(facts, returned.state, event);
  return transitionTo(handled.state, ...returned.effects, ...handled.effects);
}
