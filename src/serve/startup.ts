/** Small loops that begin with the process. */

import type {Membership} from '../coordination/membership.js';
import type {Logger} from '../ports/log.js';
import type {TimerHandle} from '../ports/clock.js';
import type {Drain} from './drain.js';
import type {World} from './world.js';

const READ_TIMEOUT_MS = 2000;
const MIN_READ_INTERVAL_MS = 1000;
/** Reads of the host list a second by the whole fleet. */
const FLEET_READS_PER_SECOND = 200;
const MS_PER_SECOND = 1000;

/** Time between reads of the host list, so that the fleet's rate is bounded. */
export function getHostListIntervalMs(hostCount: number): number {
  const perHostMs = (hostCount * MS_PER_SECOND) / FLEET_READS_PER_SECOND;
  return Math.max(MIN_READ_INTERVAL_MS, perHostMs);
}

/** Gives the membership the platform's list of routers, again and again. */
export function startHostListReads(
  {clock, hostList}: Pick<World, 'clock' | 'hostList'>,
  membership: Membership,
): () => void {
  let timer: TimerHandle | undefined;
  let isStopped = false;

  async function run(): Promise<void> {
    const outcome = await hostList.list(READ_TIMEOUT_MS);
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
export function listenToSignals(
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
