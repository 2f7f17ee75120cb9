/**
 * Sends journal calls to the owner of a key's partition.
 *
 * The owner is guessed from the members in sight. When the guess is wrong (a
 * takeover is under way, or views differ), the lease row in the table names
 * the holder, and the call is tried there once. A refused `begin` has
 * dispatched nothing, so trying elsewhere is safe.
 */

import type {IntentRequest, JournalPort} from '../ports/journal.js';

export interface JournalRouterHost {
  /** Number of partitions in the settings in force. */
  partitionCount(): number;
  hash(text: string): number;
  /** Member that should own the partition; undefined without members. */
  guessOwner(partition: number): string | undefined;
  /** Holder of the partition's lease as the table has it. */
  readHolder(partition: number): Promise<string | undefined>;
  /** Journal of the owner at a member, maybe this process. */
  journalAt(hostId: string, partition: number): JournalPort | undefined;
}

const NO_OWNER_RETRY_MS = 1000;

/** The partition that keeps a request's key. */
export function partitionOf(
  host: Pick<JournalRouterHost, 'hash' | 'partitionCount'>,
  request: Pick<IntentRequest, 'account' | 'service' | 'idempotencyKey'>,
): number {
  const {account, service, idempotencyKey} = request;
  const text = JSON.stringify([account, service, idempotencyKey]);
  return host.hash(text) % host.partitionCount();
}

export function createJournalRouter(host: JournalRouterHost): JournalPort {
  function guess(partition: number): JournalPort | undefined {
    const owner = host.guessOwner(partition);
    return owner === undefined ? undefined : host.journalAt(owner, partition);
  }

  async function lookUp(partition: number): Promise<JournalPort | undefined> {
    const holder = await host.readHolder(partition);
    if (holder === undefined || holder === host.guessOwner(partition)) {
      return undefined;
    }
    return host.journalAt(holder, partition);
  }

  return {
    async begin(request) {
      const partition = partitionOf(host, request);
      const first = await guess(partition)?.begin(request);
      if (first && (first.kind !== 'refused' || first.reason !== 'not-owner')) {
        return first;
      }
      const holder = await lookUp(partition);
      if (holder) return holder.begin(request);
      return (
        first ?? {
          kind: 'refused',
          reason: 'not-owner',
          retryAfterMs: NO_OWNER_RETRY_MS,
        }
      );
    },
    async end(request, end) {
      const partition = partitionOf(host, request);
      const isDurable = await guess(partition)?.end(request, end);
      if (isDurable) return true;
      const holder = await lookUp(partition);
      return holder ? holder.end(request, end) : false;
    },
  };
}
