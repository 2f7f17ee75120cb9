/**
 * The journal partitions that this process owns, and the way to the others.
 *
 * A partition falls to a process by its place among the members; the lease in
 * the platform's table makes it the owner. Both change without agreement, so
 * every write carries the lease's epoch as a condition.
 */

import {createPeerJournal} from '../adapters/peer_journal.js';
import type {Settings} from '../core/settings_types.js';
import {getLeaseKey} from '../coordination/lease_rules.js';
import type {JournalPort} from '../ports/journal.js';
import type {AnswerKey} from '../ports/kept_answers.js';
import {
  createJournalOwner,
  defaultJournalOwnerOptions,
  type JournalOwner,
} from '../request/journal_owner.js';
import {hashText} from '../core/hash_text.js';
import type {Fleet} from './fleet.js';
import {createJournalRouter, partitionOf} from './journal_router.js';
import type {World} from './world.js';

const HOLDER_READ = {priority: 'background', timeoutMs: 500} as const;
/** How long one look at a partition's holder serves all that ask. */
const HOLDER_FRESH_MS = 300;
/**
 * Share of the platform's writes that journals may use. Fewer writes carry more
 * intents each; this share gives 20 at 2,000 calls a second.
 */
const JOURNAL_WRITE_SHARE = 0.32;
const DEFAULT_RETENTION_MS = 24 * 3_600_000;

interface HolderRead {
  readonly startedAtMs: number;
  readonly holder: Promise<string | undefined>;
}

export interface JournalHost {
  /** The journal as an entry uses it, whoever owns the key. */
  readonly journal: JournalPort;
  /** The owner in this process, for calls of peers. */
  findOwner(partition: number): JournalPort | undefined;
  partitionOf(key: AnswerKey): number;
  /** Host that should own a key's partition, by the members in sight. */
  guessOwner(key: AnswerKey): string | undefined;
  ownedPartitions(): readonly number[];
  /** Follows a change of members or settings. */
  update(): void;
  /** Gives every partition up, to the host that should own it next. */
  stop(): Promise<void>;
}

function leaseName(partition: number): string {
  return `journal/${partition}`;
}

export function createJournalHost(
  world: World,
  fleet: Fleet,
  getSettings: () => Settings | undefined,
): JournalHost {
  const {clock, random, objectStore, metrics, getTransport} = world;
  const {hostId} = world.host;
  const {membership, getLeases} = fleet;
  const log = world.createLogger('journal');
  const owners = new Map<number, JournalOwner>();
  /** Partitions that fall to this host if their owner dies. */
  const watched = new Set<number>();
  const peers = new Map<string, JournalPort>();
  const holderReads = new Map<number, HolderRead>();

  function guessOwner(partition: number): string | undefined {
    return fleet.owners.ownerOf(leaseName(partition));
  }

  function partitionCount(): number {
    return getSettings()?.coordination.journalPartitions ?? 1;
  }

  function retentionMs(serviceName: string): number {
    const service = getSettings()?.services.find(
      item => item.name === serviceName,
    );
    return service?.keepAnswersMs ?? DEFAULT_RETENTION_MS;
  }

  function createOwner(partition: number): JournalOwner {
    const settings = getSettings()?.coordination;
    const writesPerSecond = settings?.tableWritesPerSecond ?? 0;
    const share = (writesPerSecond * JOURNAL_WRITE_SHARE) / partitionCount();
    return createJournalOwner(
      {
        clock,
        random,
        log,
        table: world.table,
        objectStore,
        fence: () => getLeases()?.currentFence(leaseName(partition)),
        isEntryAlive: fleet.liveness.isAlive,
        onTransaction: metrics.recordJournalBatch,
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

  function handOver(partition: number, successor: string | undefined): void {
    owners.get(partition)?.close();
    owners.delete(partition);
    void getLeases()?.release(leaseName(partition), successor);
    log.info('A journal partition moves on.', {partition, successor});
  }

  /**
   * Looks on at the leases that this host is next in line for. When an owner
   * dies its successor must see the lease unchanged for its whole length; one
   * that has looked on already need not wait that long again.
   */
  function updateWatch(partition: number): void {
    const name = leaseName(partition);
    const isNext = fleet.owners.successorOf(name) === hostId;
    if (isNext && !watched.has(partition)) {
      watched.add(partition);
      getLeases()?.watch(name);
    } else if (!isNext && watched.delete(partition)) {
      void getLeases()?.release(name);
    }
  }

  function updatePartition(partition: number): void {
    const owner = guessOwner(partition);
    if (owner === hostId) {
      if (owners.has(partition)) return;
      watched.delete(partition);
      owners.set(partition, createOwner(partition));
      getLeases()?.want(leaseName(partition));
      return;
    }
    if (owners.has(partition)) handOver(partition, owner);
    updateWatch(partition);
  }

  function peerJournal(peerId: string): JournalPort | undefined {
    const address = membership.get(peerId)?.address;
    if (!address) return undefined;
    let peer = peers.get(address);
    if (!peer) {
      peer = createPeerJournal(getTransport(address));
      peers.set(address, peer);
    }
    return peer;
  }

  async function readHolderRow(partition: number): Promise<string | undefined> {
    const key = getLeaseKey(leaseName(partition));
    const outcome = await fleet.table.read([key], HOLDER_READ);
    if (outcome.kind !== 'read') return undefined;
    const holder = outcome.value[0]?.value.holder;
    return typeof holder === 'string' && holder !== '' ? holder : undefined;
  }

  /**
   * While a partition has no owner, each call for it asks who holds it. One
   * read serves all that ask within a short time: reads for each call used up
   * the budget, the renewals of this host's own leases found none left, and
   * so the death of one owner cost every other one its leases too.
   */
  function readHolder(partition: number): Promise<string | undefined> {
    const known = holderReads.get(partition);
    const nowMs = clock.nowMs();
    if (known && nowMs - known.startedAtMs < HOLDER_FRESH_MS) {
      return known.holder;
    }
    const holder = readHolderRow(partition);
    holderReads.set(partition, {startedAtMs: nowMs, holder});
    return holder;
  }

  const routerHost = {
    partitionCount,
    hash: hashText,
    guessOwner,
    readHolder,
    journalAt: (peerId: string, partition: number) =>
      peerId === hostId ? owners.get(partition) : peerJournal(peerId),
  };

  return {
    journal: createJournalRouter(routerHost),
    findOwner: partition => owners.get(partition),
    partitionOf: key => partitionOf(routerHost, key),
    guessOwner: key => guessOwner(partitionOf(routerHost, key)),
    ownedPartitions: () => [...owners.keys()],
    update() {
      const count = partitionCount();
      if (!getSettings()) return;
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
          return getLeases()?.release(name, guessOwner(partition));
        }),
      );
    },
  };
}
