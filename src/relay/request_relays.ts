/** The path of requests: to plain services, and as streams to engines. */

import type {Clock} from '../ports/clock.js';
import type {Logger} from '../ports/log.js';
import type {UpstreamPort} from '../ports/relay.js';
import type {Backpressure} from './backpressure/backpressure.js';
import type {MemoryBudget} from './limits/memory_budget.js';
import type {RelayPlacement} from './placement/relay_placement.js';
import type {PlainPlacement} from './plain/plain_placement.js';
import {createPlainRelay} from './plain/plain_relay.js';
import {createRelay, type Relay, type RelayHost} from './relay.js';
import type {Resumption} from './resumption/resumption.js';
import type {RetryAllowance} from './retries/shared_retries.js';
import {createEngineProbes} from './silence/engine_probes.js';
import {createEngineSilence} from './silence/engine_silence.js';
import {createRunReports} from './silence/run_reports.js';
import type {UpstreamRegistry} from './store/upstream_registry.js';
import {createStreamRelay} from './streams/stream_relay.js';

export interface RequestRelaysHost extends Omit<
  RelayHost,
  'log' | 'plain' | 'streams'
> {
  readonly clock: Clock;
  readonly createLogger: (part: string) => Logger;
  readonly upstreamPort: UpstreamPort;
  readonly registry: UpstreamRegistry;
  readonly retryBudget: RetryAllowance;
  readonly memory: MemoryBudget;
  readonly placement: RelayPlacement;
  readonly plainPlaces: Pick<PlainPlacement, 'slots'>;
  readonly backpressure: Pick<Backpressure, 'gate'>;
  readonly resumption: Resumption;
}

export function createRequestRelays(host: RequestRelaysHost): Relay {
  const {clock, createLogger, upstreamPort, registry, crashes} = host;
  const {placement, memory, retryBudget} = host;
  const shared = {clock, upstreamPort, registry, retryBudget, memory};
  const probes = createEngineProbes({clock, upstreamPort});
  const silence = createEngineSilence({
    clock,
    probes,
    reports: createRunReports({clock, upstreamPort}),
    registry,
    runs: crashes.runs,
  });
  return createRelay({
    ...host,
    log: createLogger('request'),
    plain: createPlainRelay({
      ...shared,
      priorities: placement.priorities,
      slots: host.plainPlaces.slots,
      log: createLogger('plain'),
      pausedMs: host.backpressure.gate.blockedForMs,
      silence,
    }),
    streams: createStreamRelay({
      ...placement,
      ...shared,
      metrics: host.metrics,
      probes,
      silence,
      resumption: host.resumption,
      log: createLogger('stream'),
    }),
  });
}
