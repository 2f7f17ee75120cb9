/**
 * Keeps the list of upstreams: reads the platform's list of hosts, follows the
 * settings, and
 * collects signs that an upstream is leaving.
 */

import type {Settings} from '../core/settings_types.js';
import {createUpstreamList, type Upstream} from '../core/upstream_list.js';
import type {Clock, TimerHandle} from '../ports/clock.js';
import type {Logger} from '../ports/log.js';
import type {HostListPort, ListedHost} from '../ports/table.js';

const READ_TIMEOUT_MS = 2000;
/** A sign of leaving is forgotten when the host list no longer backs it. */
const LEAVING_SIGN_LIFE_MS = 60_000;

export interface UpstreamWatchHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly hostList: HostListPort;
  getSettings(): Settings | undefined;
  /** Told of each list that was read; the members are seeded from it. */
  onHostsRead(hosts: readonly ListedHost[]): void;
}

export interface UpstreamWatchOptions {
  /** Time between reads of the host list; grows with the fleet. */
  readIntervalMs(): number;
}

export interface UpstreamWatch {
  start(): void;
  stop(): void;
  /** Works the list out again, after a change of settings. */
  refresh(): void;
  /** A sign from a source other than the host list. */
  markLeaving(upstreamId: string): void;
  upstreams(): readonly Upstream[];
  onChange(listener: (upstreams: readonly Upstream[]) => void): void;
}

export function createUpstreamWatch(
  host: UpstreamWatchHost,
  options: UpstreamWatchOptions,
): UpstreamWatch {
  const listeners: ((upstreams: readonly Upstream[]) => void)[] = [];
  const leavingSinceMs = new Map<string, number>();
  let hosts: readonly ListedHost[] = [];
  let current: readonly Upstream[] = [];
  let currentText = '[]';
  let timer: TimerHandle | undefined;
  let isStopped = false;

  function hasLeavingSign(upstreamId: string): boolean {
    const sinceMs = leavingSinceMs.get(upstreamId);
    if (sinceMs === undefined) return false;
    if (host.clock.nowMs() - sinceMs < LEAVING_SIGN_LIFE_MS) return true;
    leavingSinceMs.delete(upstreamId);
    return false;
  }

  function refresh(): void {
    const settings = host.getSettings();
    if (!settings) return;
    const next = createUpstreamList(settings, hosts).map(upstream => ({
      ...upstream,
      isLeaving: upstream.isLeaving || hasLeavingSign(upstream.id),
    }));
    const text = JSON.stringify(next);
    if (text === currentText) return;
    current = next;
    currentText = text;
    host.log.info('The list of upstreams changed.', {count: next.length});
    for (const listener of listeners) listener(next);
  }

  async function readHosts(): Promise<void> {
    const outcome = await host.hostList.list(READ_TIMEOUT_MS);
    if (isStopped) return;
    if (outcome.kind === 'read') {
      hosts = outcome.value;
      host.onHostsRead(hosts);
    } else {
      // The last list stands: an outage of the platform takes no upstream away.
      host.log.debug('The host list could not be read.', {
        reason: outcome.reason,
      });
    }
    refresh();
  }

  async function run(): Promise<void> {
    await readHosts();
    if (isStopped) return;
    timer = host.clock.setTimer(options.readIntervalMs(), () => void run());
  }

  return {
    start: () => void run(),
    stop() {
      isStopped = true;
      if (timer) host.clock.clearTimer(timer);
    },
    refresh,
    markLeaving(upstreamId) {
      if (!hasLeavingSign(upstreamId)) {
        leavingSinceMs.set(upstreamId, host.clock.nowMs());
      }
      refresh();
    },
    upstreams: () => current,
    onChange: listener => listeners.push(listener),
  };
}
