/**
 * Maintains the list of upstreams from the platform's host list, the settings
 * and reports that an upstream is leaving.
 */

import type {Settings} from '../core/settings_types.js';
import {createUpstreamList, type Upstream} from '../core/upstream_list.js';
import type {Clock, TimerHandle} from '../ports/clock.js';
import type {Logger} from '../ports/log.js';
import type {HostListPort, ListedHost} from '../ports/table.js';

const READ_TIMEOUT_MS = 2000;
/** Lifetime of a leaving mark that the host list does not confirm. */
const LEAVING_MARK_TTL_MS = 60_000;

export interface UpstreamWatchHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly hostList: HostListPort;
  getSettings(): Settings | undefined;
  /** Called with each list that was read, to seed the membership from it. */
  onHostsRead(hosts: readonly ListedHost[]): void;
}

export interface UpstreamWatchOptions {
  /** Time between reads of the host list; grows with the fleet. */
  readIntervalMs(): number;
}

export interface UpstreamWatch {
  start(): void;
  stop(): void;
  /** Recomputes the list after a change of settings. */
  refresh(): void;
  /** Marks an upstream as leaving, for sources other than the host list. */
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
  let currentJson = '[]';
  let timer: TimerHandle | undefined;
  let isStopped = false;

  function isMarkedLeaving(upstreamId: string): boolean {
    const sinceMs = leavingSinceMs.get(upstreamId);
    if (sinceMs === undefined) return false;
    if (host.clock.nowMs() - sinceMs < LEAVING_MARK_TTL_MS) return true;
    leavingSinceMs.delete(upstreamId);
    return false;
  }

  function refresh(): void {
    const settings = host.getSettings();
    if (!settings) return;
    const next = createUpstreamList(settings, hosts).map(upstream => ({
      ...upstream,
      isLeaving: upstream.isLeaving || isMarkedLeaving(upstream.id),
    }));
    const json = JSON.stringify(next);
    if (json === currentJson) return;
    current = next;
    currentJson = json;
    host.log.info('Upstream list changed.', {count: next.length});
    for (const listener of listeners) listener(next);
  }

  async function readHosts(): Promise<void> {
    const outcome = await host.hostList.list(READ_TIMEOUT_MS);
    if (isStopped) return;
    if (outcome.kind === 'read') {
      hosts = outcome.value;
      host.onHostsRead(hosts);
    } else {
      // The last list stays in use: an outage of the platform must not remove
      // upstreams.
      host.log.debug('Failed to read the host list.', {
        reason: outcome.reason,
      });
    }
    refresh();
  }

  async function readRepeatedly(): Promise<void> {
    await readHosts();
    if (isStopped) return;
    timer = host.clock.setTimer(
      options.readIntervalMs(),
      () => void readRepeatedly(),
    );
  }

  return {
    start: () => void readRepeatedly(),
    stop() {
      isStopped = true;
      if (timer) host.clock.clearTimer(timer);
    },
    refresh,
    markLeaving(upstreamId) {
      if (!isMarkedLeaving(upstreamId)) {
        leavingSinceMs.set(upstreamId, host.clock.nowMs());
      }
      refresh();
    },
    upstreams: () => current,
    onChange: listener => listeners.push(listener),
  };
}
