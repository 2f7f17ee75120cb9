/** The grants of one home that haven't ended. */

import type {PoolEngine} from '../core/scheduling/engine_pool.js';
import type {Grant, GrantRequest} from '../ports/grants.js';

export interface HeldGrant {
  readonly grant: Grant;
  readonly request: GrantRequest;
  /** Undefined if the engine isn't in the shard or is no longer used. */
  prefill: PoolEngine | undefined;
  decode: PoolEngine | undefined;
  phase: 'reserved' | 'prefilling' | 'prefilled' | 'decoding';
  readonly expectedCached: number;
  readonly kvBytes: number;
  readonly promptKvBytes: number;
  readonly prefillMs: number;
  readonly grantedAtMs: number;
  expiresAtMs: number;
  tokensDelivered: number;
  tokensAtMs: number;
  /**
   * Whether the grant will be released after a delay, since its entry failed or
   * sent no report in time.
   */
  isReleaseScheduled?: boolean;
}

export interface GrantLedger {
  add(held: HeldGrant): void;
  get(grantId: string): HeldGrant | undefined;
  remove(grantId: string): void;
  all(): IterableIterator<HeldGrant>;
  size(): number;
  countOf(account: string): number;
}

export function createGrantLedger(): GrantLedger {
  const grants = new Map<string, HeldGrant>();
  const byAccount = new Map<string, number>();

  function count(account: string, change: 1 | -1): void {
    const next = (byAccount.get(account) ?? 0) + change;
    if (next > 0) byAccount.set(account, next);
    else byAccount.delete(account);
  }

  return {
    add(held) {
      grants.set(held.grant.grantId, held);
      count(held.request.account, 1);
    },
    get: grantId => grants.get(grantId),
    remove(grantId) {
      const held = grants.get(grantId);
      if (!held) return;
      grants.delete(grantId);
      count(held.request.account, -1);
    },
    all: () => grants.values(),
    size: () => grants.size,
    countOf: account => byAccount.get(account) ?? 0,
  };
}
