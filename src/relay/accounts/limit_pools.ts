/**
 * The buckets of the accounts that this host owns, filled with the parts of the
 * limits that hosts cede to it (see `limit_parts.ts`).
 *
 * A bucket gains a host's part of the rate for the time that the host reports,
 * and holds the parts of the burst of the hosts that reported recently. It
 * gains nothing for hosts that this host can't hear: they may be serving.
 */

import type {AccountQuota} from '../../core/routing_types.js';
import type {Clock} from '../../ports/clock.js';
import type {Random} from '../../ports/random.js';
import {createBoundedMap} from '../../core/bounded_map.js';
import {rankOwners} from '../fleet/owners.js';
import type {CededTimes} from './limit_parts.js';

/** One run of a host's process. */
export interface HostIncarnation {
  readonly hostId: string;
  readonly incarnation: string;
  /** Time since this process started. */
  readonly aliveMs: number;
}

export interface LimitPoolsHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly hostId: string;
  quotaOf(account: string): AccountQuota | undefined;
  /**
   * Returns the number of hosts that share the limits, including this one and
   * those out of reach. Infinite if unknown.
   */
  hostCount(): number;
  /**
   * Units by which hosts that reach less than half of all hosts may together
   * exceed the burst of an account.
   */
  toleranceUnits(): number;
}

export interface LimitPools {
  /**
   * Records how long the host has ceded its parts. Hosts of earlier builds,
   * without `ceded`, leave them to all owners.
   */
  record(host: HostIncarnation, ceded: CededTimes | undefined): void;
  /** Returns false if the bucket does not hold the cost and the reserve. */
  grant(account: string, costUnits: number, reserveUnits: number): boolean;
  /** Adds units that were granted and not used. */
  add(account: string, units: number): void;
  /** Returns undefined for an account without a limit. */
  levelUnits(account: string): number | undefined;
  /** Returns the part of the account's limit that this host may grant. */
  quotaHere(account: string): AccountQuota | undefined;
  /** Returns the share of the account's limit that was ceded, from 0 to 1. */
  share(account: string): number;
}

/** A bucket holds at least what it gains between two reports. */
const REPORT_INTERVAL_MS = 600;
/** A host that reported nothing for this time no longer cedes its part. */
const REPORT_VALID_MS = 2_500;
/** Share of a full bucket at a new owner, which may not know all grants. */
const INITIAL_LEVEL_SHARE = 0.5;
/** A host brings a share of the burst with its part only this often. */
const BRING_INTERVAL_MS = 10_000;
/** Reports that were held up may count more than the time between them. */
const MAX_EXTRA_GAIN_MS = 1_000;
const COUNT_INTERVAL_MS = 100;
const MAX_VIEWS = 64;
const MAX_CHANGES = 256;
const MS_PER_SECOND = 1_000;
const NO_TOTALS: Totals = {gainedMs: 0, broughtCount: 0};

/** The owners that some hosts report. */
interface OwnersView {
  readonly ownerByAccount: Map<string, string | undefined>;
  /** Undefined for hosts of earlier builds, which leave all to each owner. */
  readonly ownerIds?: readonly string[];
  freshCount: number;
}

interface ReportingHost {
  readonly incarnation: string;
  readonly viewKey: string;
  readonly cededMs: number;
  readonly heardAtMs: number;
  readonly broughtAtMs: number;
}

interface Totals {
  readonly gainedMs: number;
  readonly broughtCount: number;
}

/** Of all hosts whose reports went from one view to another, or kept one. */
interface ViewChange {
  readonly before: OwnersView | undefined;
  readonly after: OwnersView;
  totals: Totals;
}

interface Pool {
  levelUnits: number;
  /** Rounds grants that the bucket can't hold, see `grantLarge`. */
  roundedUp: number;
  /** The totals that the level includes. */
  readonly included: WeakMap<ViewChange, Totals>;
}

export function createLimitPools(host: LimitPoolsHost): LimitPools {
  const {clock, random, hostId: ownId} = host;
  const hosts = new Map<string, ReportingHost>();
  const views = createBoundedMap<OwnersView>(MAX_VIEWS);
  const changes = createBoundedMap<ViewChange>(MAX_CHANGES);
  const pools = new Map<string, Pool>();
  let countedAtMs = Number.NEGATIVE_INFINITY;

  function viewOf(key: string, ownerIds?: readonly string[]): OwnersView {
    const view = views.get(key) ?? {
      ownerByAccount: new Map<string, string | undefined>(),
      ownerIds,
      freshCount: 0,
    };
    // Setting it again keeps it from eviction.
    views.set(key, view);
    return view;
  }

  function isOwned(view: OwnersView | undefined, account: string): boolean {
    if (!view) return false;
    const {ownerIds, ownerByAccount} = view;
    if (!ownerIds) return true;
    if (!ownerByAccount.has(account)) {
      const owner = rankOwners('quota', account, ownerIds).at(0);
      ownerByAccount.set(account, owner);
    }
    return ownerByAccount.get(account) === ownId;
  }

  function countHosts(): void {
    const nowMs = clock.nowMs();
    if (nowMs - countedAtMs < COUNT_INTERVAL_MS) return;
    countedAtMs = nowMs;
    for (const [, view] of views.entries()) view.freshCount = 0;
    for (const {viewKey, heardAtMs} of hosts.values()) {
      const view = views.get(viewKey);
      if (view && nowMs - heardAtMs < REPORT_VALID_MS) view.freshCount++;
    }
  }

  function share(account: string): number {
    countHosts();
    let count = 0;
    for (const [, view] of views.entries()) {
      if (view.freshCount > 0 && isOwned(view, account)) {
        count += view.freshCount;
      }
    }
    return Math.min(1, count / host.hostCount());
  }

  const toleranceAt = (partShare: number) =>
    partShare <= 1 / 2 ? host.toleranceUnits() : 0;

  function toCapacity(quota: AccountQuota, partShare: number): number {
    const minBurstUnits =
      (quota.unitsPerS * REPORT_INTERVAL_MS) / MS_PER_SECOND;
    const burstUnits = Math.max(quota.burstUnits, minBurstUnits);
    return (burstUnits + toleranceAt(partShare)) * partShare;
  }

  function refill(account: string, quota: AccountQuota): Pool {
    const pool = pools.get(account) ?? {
      levelUnits: 0,
      roundedUp: random.nextFloat(),
      included: new WeakMap(),
    };
    pools.set(account, pool);
    if (!Number.isFinite(host.hostCount())) return pool;
    const partShare = share(account);
    const initialUnits =
      quota.burstUnits * INITIAL_LEVEL_SHARE + toleranceAt(partShare);
    for (const [, change] of changes.entries()) {
      const {before, after, totals} = change;
      const included = pool.included.get(change) ?? NO_TOTALS;
      if (included === totals) continue;
      pool.included.set(change, totals);
      if (!isOwned(after, account)) continue;
      const gainedMs = totals.gainedMs - included.gainedMs;
      const broughtCount = totals.broughtCount - included.broughtCount;
      const units = isOwned(before, account)
        ? (quota.unitsPerS * gainedMs) / MS_PER_SECOND
        : initialUnits * broughtCount;
      pool.levelUnits += units / host.hostCount();
    }
    pool.levelUnits = Math.min(pool.levelUnits, toCapacity(quota, partShare));
    return pool;
  }

  /**
   * A bucket that can't hold the cost grants the share of such requests that
   * its units allow, rounded so that the sum stays correct.
   */
  function grantLarge(
    pool: Pool,
    costUnits: number,
    freeUnits: number,
  ): boolean {
    const chance = Math.max(0, freeUnits) / costUnits;
    pool.levelUnits -= chance * costUnits;
    pool.roundedUp += chance;
    const isGranted = pool.roundedUp >= 1;
    if (isGranted) pool.roundedUp -= 1;
    return isGranted;
  }

  return {
    record({hostId, incarnation, aliveMs}, ceded) {
      const nowMs = clock.nowMs();
      const ownerIds = ceded && Object.keys(ceded).sort();
      const viewKey = ownerIds ? ownerIds.join(' ') : '';
      const after = viewOf(viewKey, ownerIds);
      const cededMs = ceded ? (ceded[ownId] ?? 0) : aliveMs;
      const last = hosts.get(hostId);
      const isKnown = last?.incarnation === incarnation;
      const before = isKnown ? views.get(last.viewKey) : undefined;
      const changeKey = `${isKnown ? last.viewKey : '-'}>${viewKey}`;
      const known = changes.get(changeKey);
      const isCurrent = known?.before === before && known?.after === after;
      const change: ViewChange = isCurrent
        ? known
        : {before, after, totals: NO_TOTALS};
      changes.set(changeKey, change);
      const maxGainMs = nowMs - (last?.heardAtMs ?? nowMs) + MAX_EXTRA_GAIN_MS;
      const gainedMs = isKnown
        ? Math.min(maxGainMs, Math.max(0, cededMs - last.cededMs))
        : 0;
      const broughtAtMs = last?.broughtAtMs ?? Number.NEGATIVE_INFINITY;
      const isBringing =
        before !== after && nowMs - broughtAtMs >= BRING_INTERVAL_MS;
      change.totals = {
        gainedMs: change.totals.gainedMs + gainedMs,
        broughtCount: change.totals.broughtCount + (isBringing ? 1 : 0),
      };
      hosts.set(hostId, {
        incarnation,
        viewKey,
        cededMs,
        heardAtMs: nowMs,
        broughtAtMs: isBringing ? nowMs : broughtAtMs,
      });
      if (before !== after) countedAtMs = Number.NEGATIVE_INFINITY;
    },
    grant(account, costUnits, reserveUnits) {
      const quota = host.quotaOf(account);
      if (!quota) return true;
      const pool = refill(account, quota);
      const freeUnits = pool.levelUnits - reserveUnits;
      if (freeUnits >= costUnits) {
        pool.levelUnits -= costUnits;
        return true;
      }
      const isLarge = costUnits > toCapacity(quota, share(account));
      return isLarge && grantLarge(pool, costUnits, freeUnits);
    },
    add(account, units) {
      const quota = host.quotaOf(account);
      if (quota) refill(account, quota).levelUnits += units;
    },
    levelUnits(account) {
      const quota = host.quotaOf(account);
      return quota && refill(account, quota).levelUnits;
    },
    quotaHere(account) {
      const quota = host.quotaOf(account);
      const partShare = share(account);
      return (
        quota && {
          ...quota,
          unitsPerS: quota.unitsPerS * partShare,
          burstUnits: toCapacity(quota, partShare),
        }
      );
    },
    share,
  };
}
