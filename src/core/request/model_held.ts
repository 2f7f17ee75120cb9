/**
 * The resources that each step of a model request holds at engines, and at the
 * homes that granted them, and the effects that release them. All code that
 * ends a step uses these functions.
 */

import type {ModelEffect, ModelState} from './model_types.js';

/** Whether an engine may have executed a part of this request. */
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

export function isPrefillWasted(state: ModelState): boolean {
  if (state.step === 'importing') return true;
  return (
    state.step === 'decoding' && state.deliveredTokens === state.runStartTokens
  );
}

/** Returns the effects that release the current step's engine resources. */
export function getEngineReleases(state: ModelState): readonly ModelEffect[] {
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

export function reportGrantEnd(
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

/**
 * Returns the effects that withdraw a waiting grant request, release the
 * resources at the engines and report the end of the grant.
 */
export function getReleaseEffects(
  state: ModelState,
  result: 'cancelled' | 'failed',
): readonly ModelEffect[] {
  const waiting: readonly ModelEffect[] =
    state.step === 'awaiting-grant' ? [{kind: 'abandon-grant-request'}] : [];
  const isWasted = state.failure?.wasPrefillWasted ?? isPrefillWasted(state);
  return [
    ...waiting,
    ...getEngineReleases(state),
    ...reportGrantEnd(state, result, {isWasted}),
  ];
}
