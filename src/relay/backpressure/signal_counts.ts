/** Counts what upstreams say of themselves in their answers. */

import type {UpstreamSignals} from '../../ports/relay.js';
import type {RelayMetrics} from '../relay_metrics.js';

const LABELS: Readonly<Record<keyof UpstreamSignals, string>> = {
  limitPerS: 'signal="limit"',
  isLeaving: 'signal="leaving"',
  restMs: 'signal="rest"',
};
const KINDS = Object.keys(LABELS) as ReadonlyArray<keyof UpstreamSignals>;

export function countSignals(
  metrics: Pick<RelayMetrics, 'count'>,
  signals: UpstreamSignals,
): void {
  for (const kind of KINDS) {
    if (signals[kind] === undefined) continue;
    metrics.count('upstream_signals', LABELS[kind]);
  }
}
