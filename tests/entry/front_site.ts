/** The HTTP front over loopback, with a runner that a test provides. */

import type {AddressInfo} from 'node:net';
import {Registry} from 'prom-client';
import {createMetrics} from '../../src/adapters/metrics.js';
import {createSystemClock} from '../../src/adapters/system_clock.js';
import {createAccountLimits} from '../../src/core/account_limits.js';
import {digestCallerKey} from '../../src/core/caller_key.js';
import {createSeededRandom} from '../../src/core/seeded_random.js';
import type {ServiceSettings, Settings} from '../../src/core/settings_types.js';
import {createCallerAuth} from '../../src/entry/caller_auth.js';
import {createHttpFront} from '../../src/entry/http_front.js';
import type {RequestRunner} from '../../src/ports/answer_sink.js';
import {silentLog} from '../support/silent_log.js';

export const KEY = 'caller-key';
export const OPERATOR_KEY = 'operator-key';

export interface FrontSite {
  /** `http://ip:port`. */
  readonly origin: string;
  close(): Promise<void>;
}

function makeSettings(
  service: ServiceSettings,
  maxBodyBytes: number,
): Settings {
  return {
    site: 'tartu-piirkond',
    failureDomains: [{name: 'ylikool-saal'}],
    services: [service],
    accounts: [
      {
        name: 'raamatupidajad',
        keySha256: [digestCallerKey(KEY)],
        services: [service.name],
        requestsPerSecond: 100,
        maxConcurrent: 10,
        weight: 1,
        requestClass: 'interactive',
      },
    ],
    limits: {
      maxBodyBytes,
      maxHeaderBytes: 8192,
      maxConnections: 100,
      maxStreams: 100,
      bodyTimeoutMs: 5000,
    },
    coordination: {
      leaseMs: 5000,
      clockRateError: 0.01,
      probeIntervalMs: 1000,
      suspicionMs: 2000,
      journalPartitions: 1,
      journalFlushMs: 5,
      tableWritesPerSecond: 300,
      tableReadsPerSecond: 2000,
      directoryTtlMs: 10_000,
    },
  };
}

export async function startFrontSite(
  runner: Partial<RequestRunner>,
  service: ServiceSettings,
  maxBodyBytes: number,
): Promise<FrontSite> {
  const settings = makeSettings(service, maxBodyBytes);
  const clock = createSystemClock();
  const ignored = {callerGone: () => undefined};
  const front = createHttpFront({
    clock,
    random: createSeededRandom(1),
    log: silentLog,
    runner: {
      runModel: () => ignored,
      runPlain: () => ignored,
      activeCount: () => 0,
      ...runner,
    },
    limits: createAccountLimits({clock, entryCount: () => 1}),
    metrics: createMetrics(new Registry()),
    getSettings: () => ({settings, auth: createCallerAuth(settings)}),
    getEntries: () => ({entries: [], ttlMs: 1000}),
    isOperator: authorization => authorization === `Bearer ${OPERATOR_KEY}`,
    isLeaving: () => false,
  });
  await front.listen('127.0.0.1:0');
  const {port} = front.server.address() as AddressInfo;
  return {
    origin: `http://127.0.0.1:${port}`,
    async close() {
      front.server.closeAllConnections();
      await front.close();
    },
  };
}
