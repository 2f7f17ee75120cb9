/**
 * Grants retries of the services that this host owns, from what all hosts
 * report that they leave unused.
 */

import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import {toOwnerTag, type UnusedRetries} from './retry_messages.js';
import {
  MAX_ON_WAY_SHARE,
  MAX_OWNERS,
  ownedShare,
  ownersPart,
  reportDelayMs,
  reportValidMs,
  type RetryLimits,
} from './retry_rules.js';
import {createRetryWindow, type RetryWindow} from './retry_window.js';

/** One start of a host. */
export interface ReportingHost {
  readonly hostId: string;
  readonly incarnation: string;
}

export interface RetryOwnerHost {
  readonly hostId: string;
  readonly clock: Clock;
  readonly log: Logger;
  /** May change while the process runs. */
  limits(): RetryLimits;
  /** Hosts ever seen, including this one. */
  knownCount(): number;
  /** Whether the configuration has the service. */
  hasService(service: string): boolean;
  /** Whether this host owns the service's retries, as it knows the hosts. */
  isOwner(service: string): boolean;
}

export interface RetryOwner {
  /** Records what a host left unused, this one included. */
  record(from: ReportingHost, unused: readonly UnusedRetries[]): void;
  /** Grants the host one retry, unless none is left. */
  grant(toHostId: string, service: string): boolean;
}

interface Report {
  readonly incarnation: string;
  readonly heardAtMs: number;
  readonly entries: ReadonlyMap<string, UnusedRetries>;
}

interface OwnedService {
  readonly window: RetryWindow;
  /** Undefined while another host owns it. */
  ownedSinceMs?: number;
}

export function createRetryOwner(host: RetryOwnerHost): RetryOwner {
  const {clock, log} = host;
  const reports = new Map<string, Report>();
  const services = new Map<string, OwnedService>();
  const ownTag = toOwnerTag(host.hostId);
  const windowMs = () => host.limits().retryWindowMs;
  const hosts = () => ({knownCount: host.knownCount(), windowMs: windowMs()});
  const delayMs = () => reportDelayMs(hosts());
  const part = () =>
    ownersPart(host.limits().retrySlack, hosts(), reports.size);

  /** Begins without credits when this host becomes the owner. */
  function find(service: string): OwnedService {
    const owned = services.get(service) ?? {
      window: createRetryWindow({clock, windowMs, delayMs}),
    };
    services.set(service, owned);
    if (!host.isOwner(service)) {
      owned.ownedSinceMs = undefined;
    } else if (owned.ownedSinceMs === undefined) {
      owned.ownedSinceMs = clock.nowMs();
      owned.window.clearCredits();
    }
    return owned;
  }

  function dropOldReports(): void {
    const validMs = reportValidMs(hosts());
    for (const [hostId, {heardAtMs}] of reports) {
      if (clock.nowMs() - heardAtMs >= validMs) reports.delete(hostId);
    }
  }

  /** Adds what the host left to this owner between its last two reports. */
  function recordService(
    [service, total, tag]: UnusedRetries,
    before: Report | undefined,
  ): void {
    if (!host.hasService(service)) return;
    const {window, ownedSinceMs} = find(service);
    // The first report to this owner shows only where the total begins.
    if (!before || ownedSinceMs === undefined || tag !== ownTag) return;
    const [, totalBefore = 0, tagBefore = ownTag] =
      before.entries.get(service) ?? [];
    if (tagBefore !== ownTag) return;
    const added = total - totalBefore;
    // After a lost report it is not known what belongs to the window.
    const isLate = clock.nowMs() - before.heardAtMs > delayMs();
    if (added > 0 && !isLate) window.credit(added, part() * MAX_ON_WAY_SHARE);
  }

  return {
    record({hostId, incarnation}, unused) {
      dropOldReports();
      const last = reports.get(hostId);
      const before = last?.incarnation === incarnation ? last : undefined;
      for (const entry of unused) recordService(entry, before);
      reports.set(hostId, {
        incarnation,
        heardAtMs: clock.nowMs(),
        entries: new Map(unused.map(entry => [entry[0], entry])),
      });
    },
    grant(toHostId, service) {
      dropOldReports();
      if (!host.hasService(service)) return false;
      const {window, ownedSinceMs} = find(service);
      if (ownedSinceMs === undefined) return false;
      const limit = {
        restRetries: part(),
        ownerCount: MAX_OWNERS,
        ownedShare: ownedShare(clock.nowMs() - ownedSinceMs, hosts()),
      };
      if (window.tryGrant(limit)) return true;
      log.info('No retry is left to grant.', {
        service,
        peer: toHostId,
        reportingCount: reports.size,
        ...limit,
        ...window.counts(),
      });
      return false;
    },
  };
}
