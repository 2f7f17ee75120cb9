/**
 * Determines which accounts use more than their share of a service, from the
 * tokens that were placed for each account in the last seconds.
 *
 * The share of an account is its weighted part of all use. Each account's need
 * is taken as at most four times its recent use; what it does not need is
 * divided among the others. Reserving the part of idle accounts would put every
 * active account over its share.
 */

import {createBoundedMap, type BoundedMap} from '../../core/bounded_map.js';
import type {Clock} from '../../ports/clock.js';
import {createRecentUse, type RecentUse} from './recent_use.js';
import {
  findShareLevel,
  isUseOverShare,
  type AccountUse,
} from './share_rules.js';

export interface ServiceSharesHost {
  readonly clock: Clock;
  /** Returns the weight of an account relative to the others. */
  weightOf(account: string): number;
}

export interface ServiceShares {
  /** Records the tokens of a request that was placed. */
  record(service: string, account: string, tokens: number): void;
  isOverShare(service: string, account: string): boolean;
  /** Returns the number of accounts over their share of a service. */
  overShareCount(): number;
}

/**
 * A result is used for this time. Far fewer requests are placed in it than make
 * up a share, and a queue is sorted many times in it.
 */
const RESULT_VALID_MS = 100;
/** The services used last are kept; a configuration has fewer. */
const MAX_SERVICES = 64;
/** The accounts of a service placed last are kept, some 200 bytes each. */
const MAX_ACCOUNTS = 1_024;

interface ServiceUse {
  readonly byAccount: BoundedMap<RecentUse>;
  over: ReadonlySet<string>;
  /** Undefined until there is a result. */
  computedAtMs?: number;
}

export function createServiceShares(host: ServiceSharesHost): ServiceShares {
  const {clock} = host;
  const services = createBoundedMap<ServiceUse>(MAX_SERVICES);

  function weightOf(account: string): number {
    const weight = host.weightOf(account);
    return Number.isFinite(weight) && weight > 0 ? weight : 1;
  }

  /** Returns the accounts with use in the window, and deletes the others. */
  function listUses({byAccount}: ServiceUse, nowMs: number): AccountUse[] {
    const uses: AccountUse[] = [];
    for (const [account, recent] of [...byAccount.entries()]) {
      const {tokens, tokensSquared} = recent.sums(nowMs);
      if (tokens <= 0) {
        byAccount.delete(account);
        continue;
      }
      const weight = weightOf(account);
      const requestTokens = tokensSquared / tokens;
      uses.push({account, tokens, requestTokens, weight});
    }
    return uses;
  }

  function findOver(service: ServiceUse): ReadonlySet<string> {
    const nowMs = clock.nowMs();
    const ageMs = nowMs - (service.computedAtMs ?? Number.NEGATIVE_INFINITY);
    if (ageMs < RESULT_VALID_MS) return service.over;
    const uses = listUses(service, nowMs);
    const level = findShareLevel(uses);
    const over = uses.filter(use =>
      isUseOverShare(use, level, service.over.has(use.account)),
    );
    service.over = new Set(over.map(({account}) => account));
    service.computedAtMs = nowMs;
    return service.over;
  }

  return {
    record(service, account, tokens) {
      if (!Number.isFinite(tokens) || tokens <= 0) return;
      const known = services.get(service) ?? {
        byAccount: createBoundedMap<RecentUse>(MAX_ACCOUNTS),
        over: new Set<string>(),
      };
      const recent = known.byAccount.get(account) ?? createRecentUse();
      recent.add(tokens, clock.nowMs());
      // Also makes both the last to be evicted.
      known.byAccount.set(account, recent);
      services.set(service, known);
    },
    isOverShare(service, account) {
      const known = services.get(service);
      return known !== undefined && findOver(known).has(account);
    },
    overShareCount() {
      let count = 0;
      for (const [, service] of services.entries()) {
        count += findOver(service).size;
      }
      return count;
    },
  };
}
