/**
 * Decides whether a request may be sent once more: from this host's own part of
 * the retries, else by a grant of the host that owns the service's retries.
 */

import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import {createRetryBudget} from '../../request/retry_budget.js';
import type {PeerRequestClient} from '../fleet/peer_request_client.js';
import type {RelayMetrics} from '../relay_metrics.js';
import {
  toOwnerTag,
  type RetryReply,
  type RetryRequest,
  type UnusedRetries,
} from './retry_messages.js';
import {
  isShared,
  ownPart,
  refusedHoldMs,
  type RetryLimits,
} from './retry_rules.js';
import {GRANT_VALID_MS} from './retry_window.js';

/** The retries as the code that sends requests uses them. */
export interface RetryAllowance {
  /** Records the first attempt of a request. */
  requestStarted(service: string): void;
  /** Takes one retry; resolves to whether one was left. */
  tryTake(service: string, requestId?: string): boolean | Promise<boolean>;
  /** Returns a retry that was taken but not used. */
  giveBack(service: string): void;
  /** Whether `count` retries are probably left. */
  hasLeft(service: string, count: number): boolean;
}

export interface SharedRetries extends RetryAllowance {
  /** What this host's requests allowed and its own part had no room for. */
  unused(): readonly UnusedRetries[];
}

export interface SharedRetriesHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: Pick<RelayMetrics, 'count'>;
  /** May change while the process runs. */
  limits(): RetryLimits;
  readonly client: Pick<PeerRequestClient<RetryRequest, RetryReply>, 'ask'>;
  /** Hosts ever seen, including this one. */
  knownCount(): number;
  /** The host that owns the service's retries, if one is known. */
  ownerOf(service: string): string | undefined;
}

/** Who allowed or denied a retry. */
type Decider = 'own-part' | 'owner' | 'returned';
type Denial = 'refused' | 'no-answer' | 'held';

/**
 * After an owner did not answer, requests do not wait for it again within this
 * time; a new owner is known 1 to 3 s after the death of one.
 */
const SILENT_HOLD_MS = 250;

export function createSharedRetries(host: SharedRetriesHost): SharedRetries {
  const {clock, log, metrics} = host;
  const unused = new Map<string, number>();
  const heldUntilMs = new Map<string, number>();
  const refusalsInARow = new Map<string, number>();
  /** By service: until when retries that were not used may be used. */
  const returnedUntilMs = new Map<string, number[]>();
  const hosts = () => ({
    knownCount: host.knownCount(),
    windowMs: host.limits().retryWindowMs,
  });
  const ownPartNow = () => ownPart(host.limits().retrySlack, hosts());
  const hasOwner = () => isShared(host.limits().retrySlack, hosts());
  const own = createRetryBudget({
    burst: ownPartNow,
    ratioOf: () => host.limits().retryRatio,
    onOverflow: (service, count) =>
      void unused.set(service, (unused.get(service) ?? 0) + count),
  });

  const isHeld = (service: string) =>
    clock.nowMs() < (heldUntilMs.get(service) ?? 0);

  function takeReturned(service: string): boolean {
    const nowMs = clock.nowMs();
    const valid = (returnedUntilMs.get(service) ?? []).filter(
      untilMs => nowMs < untilMs,
    );
    const isTaken = valid.pop() !== undefined;
    returnedUntilMs.set(service, valid);
    return isTaken;
  }

  function allow(service: string, by: Decider): true {
    metrics.count('retries', `service="${service}",by="${by}"`);
    return true;
  }

  function deny(service: string, denial: Denial): false {
    metrics.count('retries_denied', `service="${service}",by="${denial}"`);
    return false;
  }

  /** Denies, and asks no more for a while. */
  function hold(
    service: string,
    denial: Denial,
    holdMs: number,
    fields: Readonly<Record<string, unknown>>,
  ): false {
    heldUntilMs.set(service, clock.nowMs() + holdMs);
    log.info('Retry denied.', {service, by: denial, holdMs, ...fields});
    return deny(service, denial);
  }

  async function askOwner(
    owner: string,
    service: string,
    request: string | undefined,
  ): Promise<boolean> {
    const answer = await host.client.ask(owner, {kind: 'retry-ask', service});
    const fields = {request, owner};
    if (!answer) return hold(service, 'no-answer', SILENT_HOLD_MS, fields);
    if (answer.isGranted) {
      refusalsInARow.delete(service);
      return allow(service, 'owner');
    }
    // Requests of one burst are refused together and count once.
    if (isHeld(service)) return deny(service, 'refused');
    const refusals = (refusalsInARow.get(service) ?? 0) + 1;
    refusalsInARow.set(service, refusals);
    return hold(service, 'refused', refusedHoldMs(hosts(), refusals), fields);
  }

  return {
    requestStarted: own.requestStarted,
    hasLeft: (service, count) =>
      own.hasLeft(service, count) || (hasOwner() && !isHeld(service)),
    giveBack(service) {
      if (ownPartNow() >= 1) return own.giveBack(service);
      const untilMs = clock.nowMs() + GRANT_VALID_MS;
      const valid = returnedUntilMs.get(service) ?? [];
      returnedUntilMs.set(service, [...valid, untilMs]);
    },
    tryTake(service, requestId) {
      if (own.tryTake(service)) return allow(service, 'own-part');
      if (takeReturned(service)) return allow(service, 'returned');
      if (!hasOwner() || isHeld(service)) return deny(service, 'held');
      const owner = host.ownerOf(service);
      if (owner === undefined) return deny(service, 'no-answer');
      return askOwner(owner, service, requestId);
    },
    unused: () =>
      [...unused].map(([service, count]) => [
        service,
        Math.floor(count),
        toOwnerTag(host.ownerOf(service) ?? ''),
      ]),
  };
}
