/**
 * How the work of a model service divides between prefill and decode engines,
 * by what all hosts learned. Pure.
 *
 * A prompt takes a prefill engine for as long as it takes to read it. A run
 * takes a part of a decode engine's memory for as long as it lasts; that part
 * times that time is its share of the engine. The engines are best divided in
 * the ratio of the two, whatever the load.
 */

import type {RoleDemand} from '../../core/scheduling/role_plan.js';
import type {SharedLearning} from '../placement/shared_learning.js';

/** Engines of each role that `engineCount` engines are best divided into. */
export function divideEngines(
  learning: SharedLearning,
  engineCount: number,
): RoleDemand {
  const prefillMs = learning.meanPromptTokens() / learning.tokensPerMs();
  const share = prefillMs / (prefillMs + learning.meanDecodeMs());
  const prefillEngines = engineCount * share;
  return {prefillEngines, decodeEngines: engineCount - prefillEngines};
}
