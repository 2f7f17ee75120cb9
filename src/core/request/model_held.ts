/**
 * The resources that each step of a model request holds at engines, and at the
 * homes that granted them, and the effects that release them. All code that
 * ends a step uses these functions.
 */

import type {ModelEffect, ModelState} from './model_types.js';

/** Returns the effects that renew the grants of the current and held run. */
export function getRenewals({
  step,
  grant,
  held,
  deliveredTokens: tokensDelivered,
}: ModelState): readonly ModelEffect[] {
  const isRunning =
    step === 'prefilling' || step === 'importing' || step === 'decoding';
  return [isRunning ? grant : undefined, held?.grant]
    .filter(each => each !== undefined)
    .map(each => ({
      kind: 'report',
      grant: each,
      progress: {kind: 'renew', tokensDelivered},
    }));
}

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

/** Returns the effects that end the held run, if there is one. */
export function getHeldEnd(
  {held, deliveredTokens}: ModelState,
  result: 'cancelled' | 'failed' = 'failed',
): readonly ModelEffect[] {
  if (!held) return [];
  const {attempt, grant, engine, runStartTokens} = held;
  const {decodeEngineId, decodeAddress} = grant;
  const isLost = result === 'failed' && engine === 'unreachable';
  const blame: readonly ModelEffect[] = isLost
    ? [{kind: 'blame', engineId: decodeEngineId}]
    : [];
  return [
    {kind: 'stop-stream'},
    {kind: 'release', attempt, address: decodeAddress},
    {
      kind: 'report',
      grant,
      progress: {
        kind: 'ended',
        result,
        failedEngineId: isLost ? decodeEngineId : undefined,
        tokensDelivered: deliveredTokens,
        prefillWasted: deliveredTokens === runStartTokens,
      },
    },
    ...blame,
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
    ...getHeldEnd(state, 'cancelled'),
  ];
}
