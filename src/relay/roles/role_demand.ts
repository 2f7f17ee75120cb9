/**
 * Computes how the engines of a model service should be divided between prefill
 * and decode, from the statistics of all hosts. Does no I/O.
 *
 * A prompt occupies a prefill engine for as long as its prefill takes. A run
 * occupies part of a decode engine's memory for as long as it lasts; that part
 * multiplied by that time is its share of the engine. The best division has the
 * ratio of these two times, at any load.
 */

import type {RoleDemand} from '../../core/scheduling/role_plan.js';
import type {SharedStatistics} from '../placement/shared_statistics.js';

/**
 * The best number of engines of each role, out of `engineCount`. The statistics
 * are means over the engines of a role, so these are engines of mean speed.
 */
export function divideEngines(
  statistics: SharedStatistics,
  engineCount: number,
): RoleDemand {
  const prefillMs = statistics.meanPromptTokens() / statistics.tokensPerMs();
  const prefillShare = prefillMs / (prefillMs + statistics.meanDecodeMs());
  const prefillEngines = engineCount * prefillShare;
  return {prefillEngines, decodeEngines: engineCount - prefillEngines};
}
