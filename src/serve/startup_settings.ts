/**
 * What a process must know before it has read a configuration, and the small
 * loops that begin with it.
 */

import type {CoordinationSettings} from '../core/settings_types.js';
import type {Membership} from '../coordination/membership.js';
import type {Clock, TimerHandle} from '../ports/clock.js';
import type {Logger} from '../ports/log.js';
import type {HostListPort} from '../ports/table.js';
import type {Drain} from './drain.js';

const SEED_READ_TIMEOUT_MS = 2000;
const MIN_LIST_INTERVAL_MS = 1000;
/** Reads of the host list a second by the whole fleet. */
const FLEET_LIST_READS_PER_SECOND = 200;
const MS_PER_SECOND = 1000;

function getHostListIntervalMs(hostCount: number): number {
  const perHostMs = (hostCount * MS_PER_SECOND) / FLEET_LIST_READS_PER_SECOND;
  return Math.max(MIN_LIST_INTERVAL_MS, perHostMs);
}

/** Gives the membership the platform's list of routers, again and again. */
function startSeeding(
  clock: Clock,
  hostList: HostListPort,
  membership: Membership,
): () => void {
  let timer: TimerHandle | undefined;
  let isStopped = false;
  async function run(): Promise<void> {
    const outcome = await hostList.list(SEED_READ_TIMEOUT_MS);
    if (isStopped) return;
    if (outcome.kind === 'read') {
      const routers = outcome.value.filter(host => host.role === 'router');
      membership.applyHostList(routers);
    }
    const intervalMs = getHostListIntervalMs(membership.members().length);
    timer = clock.setTimer(intervalMs, () => void run());
  }
  void run();
  return () => {
    isStopped = true;
    if (timer) clock.clearTimer(timer);
  };
}

/** SIGTERM or SIGINT drains; a second one ends the drain. */
function listenToSignals(
  log: Logger,
  drain: Drain,
  boundMs: number,
): () => void {
  function onSignal(signal: NodeJS.Signals): void {
    if (drain.isLeaving()) {
      log.warn('A second signal ends the drain.', {signal});
      drain.abort();
    } else {
      drain.start(boundMs);
    }
  }
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
  return () => {
    process.off('SIGTERM', onSignal);
    process.off('SIGINT', onSignal);
  };
}

export type StartupCoordination = Pick<
  CoordinationSettings,
  | 'probeIntervalMs'
  | 'suspicionMs'
  | 'tableWritesPerSecond'
  | 'tableReadsPerSecond'
>;

/** Used until a configuration has been read. */
const coordination: StartupCoordination = {
  probeIntervalMs: 500,
  suspicionMs: 2000,
  tableWritesPerSecond: 300,
  tableReadsPerSecond: 1500,
};

export const startup = {
  coordination,
  tableCallTimeoutMs: 500,
  retryBurst: 20,
  maxPrefixBlocks: 64,
  keptAnswers: {
    maxLocalBytes: 32 * 1024 * 1024,
    indexTimeoutMs: 300,
    storeTimeoutMs: 1000,
    announceIntervalMs: 5000,
    storeRetryMs: 1000,
  },
  getHostListIntervalMs,
  startSeeding,
  listenToSignals,
} as const;
