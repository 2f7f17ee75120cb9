/** Counts the backpressure signals in the answers of upstreams. */

import type {UpstreamSignals} from '../../ports/relay.js';
import type {RelayMetrics} from '../relay_metrics.js';

const LABELS: Readonly<Record<keyof UpstreamSignals, string>> = {
  limitPerS: 'signal="limit"',
  isLeaving: 'signal="leaving"',
  restMs: 'signal="rest"',
};
const SIGNAL_KINDS = Object.keys(LABELS) as ReadonlyArray<
  keyof UpstreamSignals
>;

export function countSignals(
  metrics: Pick<RelayMetrics, 'count'>,
  signals: UpstreamSignals,
): void {
  for (const kind of SIGNAL_KINDS) {
    if (signals[kind] === undefined) continue;
    metrics.count('upstream_signals', LABELS[kind]);
  }
}
