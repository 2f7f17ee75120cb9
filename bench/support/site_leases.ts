/**
 * Assigns the leases of the journal partitions in the fault harness. As in
 * production, a holder may use a lost lease for a short time after a pause.
 */

import type {Clock} from '../../src/ports/clock.js';
import type {Random} from '../../src/ports/random.js';
import type {TablePort} from '../../src/ports/table.js';
import type {SiteEntry} from './site_entry.js';

export interface SiteLeasesHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly table: TablePort;
  entries(): readonly SiteEntry[];
  isEntryAlive(tag: string): boolean;
  readonly partitionCount: number;
}

export interface SiteLeases {
  /** Tag of the process that last acquired the partition. */
  holder(partition: number): string | undefined;
  epoch(partition: number): number;
}

const ROUND_INTERVAL_MS = 250;
const TIMEOUT_MS = 200;
const ROUNDS_PER_TABLE_CHECK = 4;
/** Time until a previous holder drops its lost lease; if paused, on resume. */
const STALE_LEASE_MS = 300;

export function createSiteLeases(host: SiteLeasesHost): SiteLeases {
  const {clock} = host;
  const holders = new Map<number, string>();
  const epochs = new Map<number, number>();
  let rounds = 0;

  function recordHolder(
    partition: number,
    entry: SiteEntry,
    epoch: number,
  ): void {
    const currentEpoch = () => epochs.get(partition);
    const previousHolder = host
      .entries()
      .find(other => other.tag === holders.get(partition));
    if (previousHolder && previousHolder !== entry) {
      previousHolder.simulatedProcess.clock.setTimer(STALE_LEASE_MS, () => {
        const isStale =
          previousHolder.fences.get(partition)?.epoch !== currentEpoch();
        if (isStale) previousHolder.fences.delete(partition);
      });
    }
    holders.set(partition, entry.tag);
    epochs.set(partition, epoch);
    entry.fences.set(partition, {
      epoch,
      condition: {
        kind: 'field',
        key: `lease/${partition}`,
        field: 'epoch',
        equals: epoch,
      },
    });
  }

  async function tryAcquire(
    partition: number,
    entry: SiteEntry,
  ): Promise<void> {
    const key = `lease/${partition}`;
    const read = await host.table.read([key], TIMEOUT_MS);
    if (read.kind === 'failed') return;
    const row = read.value[0];
    const epoch = Number(row?.value['epoch'] ?? 0);
    if (row?.value['holder'] === entry.tag) {
      recordHolder(partition, entry, epoch);
      return;
    }
    const outcome = await host.table.transact(
      {
        attemptId: host.random.nextId(),
        conditions: [
          row
            ? {kind: 'version', key, version: row.version}
            : {kind: 'absent', key},
        ],
        writes: [
          {kind: 'put', key, value: {holder: entry.tag, epoch: epoch + 1}},
        ],
      },
      TIMEOUT_MS,
    );
    if (outcome.kind === 'applied') recordHolder(partition, entry, epoch + 1);
  }

  /**
   * Compares the epoch with the table. A takeover whose answer was lost may
   * still have changed the row.
   */
  async function isHeldInTable(partition: number): Promise<boolean> {
    if (rounds % ROUNDS_PER_TABLE_CHECK !== 0) return true;
    const read = await host.table.read([`lease/${partition}`], TIMEOUT_MS);
    if (read.kind === 'failed') return true;
    return read.value[0]?.value['epoch'] === epochs.get(partition);
  }

  async function runRound(): Promise<void> {
    rounds++;
    for (let partition = 0; partition < host.partitionCount; partition++) {
      const holder = holders.get(partition);
      const isHeld =
        holder !== undefined &&
        host.isEntryAlive(holder) &&
        host.entries().some(entry => entry.tag === holder);
      if (isHeld && (await isHeldInTable(partition))) continue;
      const usable = host
        .entries()
        .filter(
          entry =>
            entry.simulatedProcess.isAlive() &&
            !entry.simulatedProcess.isPaused(),
        );
      const next = usable[partition % Math.max(1, usable.length)];
      if (next) await tryAcquire(partition, next);
    }
    clock.setTimer(ROUND_INTERVAL_MS, () => void runRound());
  }

  void runRound();
  return {
    holder: partition => holders.get(partition),
    epoch: partition => epochs.get(partition) ?? 0,
  };
}
