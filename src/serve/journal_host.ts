/**
 * The journal partitions that this process owns, and the way to the others.
 *
 * A partition falls to a process by its place among the members; the lease in
 * the platform's table makes it the owner. Both change without agreement, so
 * every write carries the lease's epoch as a condition.
 */

import type {Transport} from '@connectrpc/connect';
import {createPeerJournal} from '../adapters/peer_journal.js';
import type {Settings} from '../core/settings_types.js';
import type {LeaseKeeper} from '../coordination/lease.js';
import {getLeaseKey} from '../coordination/lease_rules.js';
import type {Membership} from '../coordination/membership.js';
import type {TableClient} from '../coordination/table_client.js';
import type {Clock} from '../ports/clock.js';
import type {JournalPort} from '../ports/journal.js';
import type {Logger} from '../ports/log.js';
import type {Random} from '../ports/random.js';
import type {ObjectStorePort, TablePort} from '../ports/table.js';
import {
  createJournalOwner,
  defaultJournalOwnerOptions,
  type JournalOwner,
} from '../request/journal_owner.js';
import {hashText} from '../coordination/member_records.js';
import {createJournalRouter, partitionOf} from './journal_router.js';

const HOLDER_READ = {priority: 'lease', timeoutMs: 500} as const;
/** Share of the platform's writes that journals may use. */
const JOURNAL_WRITE_SHARE = 0.7;
const DEFAULT_RETENTION_MS = 24 * 3_600_000;

export interface JournalHostPorts {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly tablePort: TablePort;
  readonly tableClient: TableClient;
  readonly objectStore: ObjectStorePort;
  /** Undefined until a configuration says how long leases are. */
  getLeases(): LeaseKeeper | undefined;
  readonly membership: Membership;
  readonly hostId: string;
  getSettings(): Settings | undefined;
  /** Host that should own a partition, by the members in sight. */
  guessOwner(key: string): string | undefined;
  isEntryAlive(entry: string): boolean;
  getTransport(address: string): Transport;
  onTransaction(opCount: number): void;
}

export interface JournalHost {
  /** The journal as an entry uses it, whoever owns the key. */
  readonly journal: JournalPort;
  /** The owner in this process, for calls of peers. */
  findOwner(partition: number): JournalPort | undefined;
  partitionOf(key: {
    readonly account: string;
    readonly service: string;
    readonly idempotencyKey: string;
  }): number;
  ownedPartitions(): readonly number[];
  /** Follows a change of members or settings. */
  update(): void;
  /** Gives every partition up, to the host that should own it next. */
  stop(): Promise<void>;
}

function leaseName(partition: number): string {
  return `journal/${partition}`;
}

export function createJournalHost(ports: JournalHostPorts): JournalHost {
  const {clock, random, log, getLeases, membership, hostId} = ports;
  const owners = new Map<number, JournalOwner>();
  const peers = new Map<string, JournalPort>();

  function partitionCount(): number {
    return ports.getSettings()?.coordination.journalPartitions ?? 1;
  }

  function retentionMs(serviceName: string): number {
    const service = ports
      .getSettings()
      ?.services.find(item => item.name === serviceName);
    return service?.keepAnswersMs ?? DEFAULT_RETENTION_MS;
  }

  function createOwner(partition: number): JournalOwner {
    const settings = ports.getSettings()?.coordination;
    const writesPerSecond = settings?.tableWritesPerSecond ?? 0;
    const share = (writesPerSecond * JOURNAL_WRITE_SHARE) / partitionCount();
    return createJournalOwner(
      {
        clock,
        random,
        log,
        table: ports.tablePort,
        objectStore: ports.objectStore,
        fence: () => getLeases()?.currentFence(leaseName(partition)),
        isEntryAlive: ports.isEntryAlive,
        onTransaction: ports.onTransaction,
      },
      {
        ...defaultJournalOwnerOptions,
        partition,
        retentionMs,
        flushMs: settings?.journalFlushMs ?? defaultJournalOwnerOptions.flushMs,
        maxWritesPerSecond: Math.max(1, share),
      },
    );
  }

  function updatePartition(partition: number): void {
    const successor = ports.guessOwner(leaseName(partition));
    const isOwn = successor === hostId;
    if (isOwn && !owners.has(partition)) {
      owners.set(partition, createOwner(partition));
      getLeases()?.want(leaseName(partition));
    } else if (!isOwn && owners.has(partition)) {
      owners.get(partition)?.close();
      owners.delete(partition);
      void getLeases()?.release(leaseName(partition), successor);
      log.info('A journal partition moves on.', {partition, successor});
    }
  }

  function peerJournal(peerId: string): JournalPort | undefined {
    const address = membership.get(peerId)?.address;
    if (!address) return undefined;
    let peer = peers.get(address);
    if (!peer) {
      peer = createPeerJournal(ports.getTransport(address));
      peers.set(address, peer);
    }
    return peer;
  }

  async function readHolder(partition: number): Promise<string | undefined> {
    const key = getLeaseKey(leaseName(partition));
    const outcome = await ports.tableClient.read([key], HOLDER_READ);
    if (outcome.kind !== 'read') return undefined;
    const holder = outcome.value[0]?.value.holder;
    return typeof holder === 'string' && holder !== '' ? holder : undefined;
  }

  const routerHost = {
    partitionCount,
    hash: hashText,
    guessOwner: (partition: number) => ports.guessOwner(leaseName(partition)),
    readHolder,
    journalAt: (peerId: string, partition: number) =>
      peerId === hostId ? owners.get(partition) : peerJournal(peerId),
  };

  return {
    journal: createJournalRouter(routerHost),
    findOwner: partition => owners.get(partition),
    partitionOf: key => partitionOf(routerHost, key),
    ownedPartitions: () => [...owners.keys()],
    update() {
      const count = partitionCount();
      if (!ports.getSettings()) return;
      for (let partition = 0; partition < count; partition++) {
        updatePartition(partition);
      }
    },
    async stop() {
      const partitions = [...owners.keys()];
      for (const owner of owners.values()) owner.close();
      owners.clear();
      await Promise.all(
        partitions.map(partition => {
          const name = leaseName(partition);
          return getLeases()?.release(name, ports.guessOwner(name));
        }),
      );
    },
  };
}
