/**
 * What each step of a model request holds at engines and homes, and how it is
 * given back. Each way out of a step goes through here.
 */

import type {ModelEffect, ModelState} from './model_types.js';

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

export function isWaste(state: ModelState): boolean {
  if (state.step === 'importing') return true;
  return (
    state.step === 'decoding' && state.deliveredTokens === state.runStartTokens
  );
}

/** Gives back what the current step holds at engines. */
export function engineReleases(state: ModelState): readonly ModelEffect[] {
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

export function endGrant(
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
export function heldEffects(
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
