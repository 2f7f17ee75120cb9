/** Counts what upstreams say of themselves, and logs what is new in it. */

import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {UpstreamSignals} from '../../ports/relay.js';
import type {RelayMetrics} from '../relay_metrics.js';

export interface SignalLogHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: Pick<RelayMetrics, 'count'>;
}

export interface SignalLog {
  note(upstreamId: string, signals: UpstreamSignals): void;
  /** The upstream has left. */
  forget(upstreamId: string): void;
}

const LABELS: Readonly<Record<keyof UpstreamSignals, string>> = {
  limitPerS: 'signal="limit"',
  isLeaving: 'signal="leaving"',
  restMs: 'signal="rest"',
};
const KINDS = Object.keys(LABELS) as ReadonlyArray<keyof UpstreamSignals>;

export function createSignalLog(host: SignalLogHost): SignalLog {
  const {clock, log, metrics} = host;
  const restUntilMs = new Map<string, number>();

  /** One line for each time of rest, not for each refusal in it. */
  function noteRest(upstream: string, restMs: number): void {
    const nowMs = clock.nowMs();
    const isKnown = nowMs < (restUntilMs.get(upstream) ?? 0);
    restUntilMs.set(upstream, nowMs + restMs);
    if (!isKnown) log.info('Upstream asks for rest.', {upstream, restMs});
  }

  return {
    note(upstream, signals) {
      const {restMs} = signals;
      for (const kind of KINDS) {
        if (signals[kind] === undefined) continue;
        metrics.count('upstream_signals', LABELS[kind]);
      }
      if (restMs !== undefined) noteRest(upstream, restMs);
    },
    forget(upstream) {
      restUntilMs.delete(upstream);
    },
  };
}
