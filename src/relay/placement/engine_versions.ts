/** Which engines new streams use while several software versions serve. */

import type {RequestError} from '../../core/error_kinds.js';
import type {Upstream} from '../../core/upstream.js';

/** Whether one of the engines decodes, and is of the version. */
export function hasDecodeEngine(
  engines: readonly Upstream[],
  version: string,
): boolean {
  return engines.some(
    each => each.role === 'decode' && each.version === version,
  );
}

export type EngineFilter = (engine: Upstream) => boolean;

/** A version with at most this many decode engines is scarce. */
const MAX_SCARCE_ENGINES = 2;

/**
 * Returns which decode engines a new stream goes to first: those of versions
 * that have prefill engines, and more than a few decode engines. A stream that
 * began at one of the few can't go on elsewhere. Undefined if all are equal.
 */
export function findCommonVersions(
  engines: readonly Upstream[],
): EngineFilter | undefined {
  const decodeCounts = new Map<string | undefined, number>();
  const prefillVersions = new Set<string | undefined>();
  for (const {role, version} of engines) {
    if (role === 'prefill') prefillVersions.add(version);
    else decodeCounts.set(version, (decodeCounts.get(version) ?? 0) + 1);
  }
  if (decodeCounts.size < 2) return undefined;
  const most = Math.max(...decodeCounts.values());
  const isCommonVersion = (version: string | undefined) => {
    const count = decodeCounts.get(version) ?? 0;
    const isScarce = count <= MAX_SCARCE_ENGINES && count < most;
    const isRead = prefillVersions.size === 0 || prefillVersions.has(version);
    return isRead && !isScarce;
  };
  const hasCommon = [...decodeCounts.keys()].some(isCommonVersion);
  return hasCommon ? each => isCommonVersion(each.version) : undefined;
}

/** The caller gains nothing by waiting, so it may begin the stream anew now. */
export const VERSION_GONE: RequestError = {
  kind: 'stream-version-gone',
  detail: 'Begin the stream anew.',
  retryAfterMs: 0,
};
