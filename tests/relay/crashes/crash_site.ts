/** Hosts that watch for requests that crash upstreams, for tests. */

import type {Clock} from '../../../src/ports/clock.js';
import type {ProbeOutcome, RelayRequest} from '../../../src/ports/relay.js';
import {
  createCrashWatch,
  type CrashWatch,
  type CrashWatchHost,
} from '../../../src/relay/crashes/crash_watch.js';
import {createRelayMetrics} from '../../../src/relay/relay_metrics.js';
import {createUpstreamRegistry} from '../../../src/relay/store/upstream_registry.js';
import {silentLog} from '../../support/silent_log.js';

let nextRequest = 1;

/** Requests with the same target have the same fingerprint. */
export function makeRequest(target: string): RelayRequest {
  return {
    requestId: `r${nextRequest++}`,
    method: 'POST',
    target,
    host: 'raamatud.example',
    headers: [],
    body: Buffer.from('rida=1'),
    arrivedAtMs: 0,
    waitMs: 1_000,
  };
}

/** A watch whose probes of upstreams find that nothing listens there. */
export function makeWatch(
  clock: Clock,
  changes: Partial<CrashWatchHost> = {},
): CrashWatch {
  return createCrashWatch({
    clock,
    log: silentLog,
    metrics: createRelayMetrics(),
    upstreamPort: makeProbe(() => 'refused'),
    registry: createUpstreamRegistry({clock, log: silentLog}),
    isTrialOwner: () => false,
    onChange: () => undefined,
    ...changes,
  });
}

export function makeProbe(
  outcome: () => ProbeOutcome,
): CrashWatchHost['upstreamPort'] {
  return {probe: () => Promise.resolve(outcome())};
}

export const isRefused = (watch: CrashWatch, target: string): boolean =>
  watch.findRefusal(makeRequest(target)) !== undefined;
