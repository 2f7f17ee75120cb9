/**
 * Sends journal calls to the owner of a key's partition.
 *
 * The expected owner is derived from the membership. If it is wrong (during a
 * takeover, or while the views of members differ), the call is retried once at
 * the holder that the lease row in the table names. The retry is safe because
 * a refused `begin` has dispatched nothing.
 */

import type {IntentRequest, JournalPort} from '../ports/journal.js';

export interface JournalRouterHost {
  /** Number of partitions in the settings in force. */
  partitionCount(): number;
  hash(text: string): number;
  /** Member that should own the partition; undefined without members. */
  getExpectedOwner(partition: number): string | undefined;
  /** Holder of the partition's lease according to the table. */
  readHolder(partition: number): Promise<string | undefined>;
  /** Journal of a partition at a member, which may be this process. */
  findJournalAt(hostId: string, partition: number): JournalPort | undefined;
}

const NO_OWNER_RETRY_MS = 1000;

/** The partition that stores a request's key. */
export function partitionOf(
  host: Pick<JournalRouterHost, 'hash' | 'partitionCount'>,
  request: Pick<IntentRequest, 'account' | 'service' | 'idempotencyKey'>,
): number {
  const {account, service, idempotencyKey} = request;
  const text = JSON.stringify([account, service, idempotencyKey]);
  return host.hash(text) % host.partitionCount();
}

export function createJournalRouter(host: JournalRouterHost): JournalPort {
  function findExpectedJournal(partition: number): JournalPort | undefined {
    const owner = host.getExpectedOwner(partition);
    return owner === undefined
      ? undefined
      : host.findJournalAt(owner, partition);
  }

  async function findHolderJournal(
    partition: number,
  ): Promise<JournalPort | undefined> {
    const holder = await host.readHolder(partition);
    if (holder === undefined || holder === host.getExpectedOwner(partition)) {
      return undefined;
    }
    return host.findJournalAt(holder, partition);
  }

  return {
    async begin(request) {
      const partition = partitionOf(host, request);
      const reply = await findExpectedJournal(partition)?.begin(request);
      if (reply && (reply.kind !== 'refused' || reply.reason !== 'not-owner')) {
        return reply;
      }
      const holder = await findHolderJournal(partition);
      if (holder) return holder.begin(request);
      return (
        reply ?? {
          kind: 'refused',
          reason: 'not-owner',
          retryAfterMs: NO_OWNER_RETRY_MS,
        }
      );
    },
    async end(request, end) {
      const partition = partitionOf(host, request);
      const isDurable = await findExpectedJournal(partition)?.end(request, end);
      if (isDurable) return true;
      const holder = await findHolderJournal(partition);
      return holder ? holder.end(request, end) : false;
    },
  };
}
