/**
 * Runs the journal partitions that this process owns and routes calls for the
 * others to their owners. The membership determines which process should own a
 * partition, and the lease in the platform's table makes it the owner. The two
 * can disagree, so every write is conditional on the epoch of the lease.
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
import type {ProcessAdapters} from './process_adapters.js';

const HOLDER_READ_OPTIONS = {priority: 'background', timeoutMs: 500} as const;
/** Time for which a partition's holder, once read, is cached. */
const HOLDER_CACHE_MS = 300;
/**
 * Share of the platform's writes that journals may use. With fewer writes, each
 * contains more intents: 20 with this share at 2,000 calls per second.
 */
const JOURNAL_WRITE_SHARE = 0.32;
const DEFAULT_RETENTION_MS = 24 * 3_600_000;

interface HolderRead {
  readonly startedAtMs: number;
  readonly holder: Promise<string | undefined>;
}

export interface JournalHost {
  /** Journal for the entry, which routes each call to the owner of its key. */
  readonly journal: JournalPort;
  /** Owner of a partition in this process, for calls from peers. */
  findOwner(partition: number): JournalPort | undefined;
  partitionOf(key: AnswerKey): number;
  /** Host that should own a key's partition according to the membership. */
  getExpectedOwner(key: AnswerKey): string | undefined;
  ownedPartitions(): readonly number[];
  /** Applies a change of members or settings. */
  update(): void;
  /** Releases each partition to the host that should own it next. */
  stop(): Promise<void>;
}

function getLeaseName(partition: number): string {
  return `journal/${partition}`;
}

export function createJournalHost(
  adapters: ProcessAdapters,
  fleet: Fleet,
  getSettings: () => Settings | undefined,
): JournalHost {
  const {clock, random, objectStore, metrics, getTransport} = adapters;
  const {hostId} = adapters.host;
  const {membership, getLeases} = fleet;
  const log = adapters.createLogger('journal');
  const owners = new Map<number, JournalOwner>();
  /** Partitions of which this host is the successor if their owner fails. */
  const watched = new Set<number>();
  const peers = new Map<string, JournalPort>();
  const holderReads = new Map<number, HolderRead>();

  function getExpectedOwner(partition: number): string | undefined {
    return fleet.owners.ownerOf(getLeaseName(partition));
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
        table: adapters.table,
        objectStore,
        fence: () => getLeases()?.currentFence(getLeaseName(partition)),
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

  function releasePartition(
    partition: number,
    successor: string | undefined,
  ): void {
    owners.get(partition)?.close();
    owners.delete(partition);
    void getLeases()?.release(getLeaseName(partition), successor);
    log.info('Journal partition released to its next owner.', {
      partition,
      successor,
    });
  }

  /**
   * Watches the leases of which this host is the successor. After a failure of
   * the owner, the successor must see the lease unchanged for its whole length;
   * watching in advance avoids a wait of that length after the failure.
   */
  function updateLeaseWatch(partition: number): void {
    const name = getLeaseName(partition);
    const isNext = fleet.owners.successorOf(name) === hostId;
    if (isNext && !watched.has(partition)) {
      watched.add(partition);
      getLeases()?.watch(name);
    } else if (!isNext && watched.delete(partition)) {
      void getLeases()?.release(name);
    }
  }

  function updatePartition(partition: number): void {
    const owner = getExpectedOwner(partition);
    if (owner === hostId) {
      if (owners.has(partition)) return;
      watched.delete(partition);
      owners.set(partition, createOwner(partition));
      getLeases()?.want(getLeaseName(partition));
      return;
    }
    if (owners.has(partition)) releasePartition(partition, owner);
    updateLeaseWatch(partition);
  }

  function getPeerJournal(peerId: string): JournalPort | undefined {
    const address = membership.get(peerId)?.address;
    if (!address) return undefined;
    let peer = peers.get(address);
    if (!peer) {
      peer = createPeerJournal(getTransport(address));
      peers.set(address, peer);
    }
    return peer;
  }

  async function fetchHolder(partition: number): Promise<string | undefined> {
    const key = getLeaseKey(getLeaseName(partition));
    const outcome = await fleet.table.read([key], HOLDER_READ_OPTIONS);
    if (outcome.kind !== 'read') return undefined;
    const holder = outcome.value[0]?.value.holder;
    return typeof holder === 'string' && holder !== '' ? holder : undefined;
  }

  /**
   * Reads the holder of a partition, at most once per `HOLDER_CACHE_MS`. While
   * a partition has no owner, every call for it needs the holder. A read for
   * each call would exhaust the read budget and block the renewals of this
   * host's own leases, so that one failed owner would cost the others theirs.
   */
  function readHolder(partition: number): Promise<string | undefined> {
    const cachedRead = holderReads.get(partition);
    const nowMs = clock.nowMs();
    if (cachedRead && nowMs - cachedRead.startedAtMs < HOLDER_CACHE_MS) {
      return cachedRead.holder;
    }
    const holder = fetchHolder(partition);
    holderReads.set(partition, {startedAtMs: nowMs, holder});
    return holder;
  }

  const routerHost = {
    partitionCount,
    hash: hashText,
    getExpectedOwner,
    readHolder,
    findJournalAt: (peerId: string, partition: number) =>
      peerId === hostId ? owners.get(partition) : getPeerJournal(peerId),
  };

  return {
    journal: createJournalRouter(routerHost),
    findOwner: partition => owners.get(partition),
    partitionOf: key => partitionOf(routerHost, key),
    getExpectedOwner: key => getExpectedOwner(partitionOf(routerHost, key)),
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
          const name = getLeaseName(partition);
          return getLeases()?.release(name, getExpectedOwner(partition));
        }),
      );
    },
  };
}
