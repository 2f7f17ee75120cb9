/**
 * Leases of the journal's partitions in the fault harness. A holder that was
 * paused goes on believing in its lease for a while, as a real one does.
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
  /** Tag of the process that took the partition last. */
  holder(partition: number): string | undefined;
  epoch(partition: number): number;
}

const ROUND_MS = 250;
const TIMEOUT_MS = 200;
const ROUNDS_A_CHECK = 4;
/** How long a paused holder believes in its lease after it wakes. */
const STALE_BELIEF_MS = 300;

export function createSiteLeases(host: SiteLeasesHost): SiteLeases {
  const {clock} = host;
  const holders = new Map<number, string>();
  const epochs = new Map<number, number>();
  let rounds = 0;

  function note(partition: number, entry: SiteEntry, epoch: number): void {
    const epochNow = () => epochs.get(partition);
    const before = host
      .entries()
      .find(other => other.tag === holders.get(partition));
    if (before && before !== entry) {
      before.shell.clock.setTimer(STALE_BELIEF_MS, () => {
        const isStale = before.fences.get(partition)?.epoch !== epochNow();
        if (isStale) before.fences.delete(partition);
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

  async function take(partition: number, entry: SiteEntry): Promise<void> {
    const key = `lease/${partition}`;
    const read = await host.table.read([key], TIMEOUT_MS);
    if (read.kind === 'failed') return;
    const row = read.value[0];
    const epoch = Number(row?.value['epoch'] ?? 0);
    if (row?.value['holder'] === entry.tag) {
      note(partition, entry, epoch);
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
    if (outcome.kind === 'applied') note(partition, entry, epoch + 1);
  }

  /** A takeover whose answer was lost has moved the row all the same. */
  async function isHeldInTable(partition: number): Promise<boolean> {
    if (rounds % ROUNDS_A_CHECK !== 0) return true;
    const read = await host.table.read([`lease/${partition}`], TIMEOUT_MS);
    if (read.kind === 'failed') return true;
    return read.value[0]?.value['epoch'] === epochs.get(partition);
  }

  async function round(): Promise<void> {
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
        .filter(entry => entry.shell.isAlive() && !entry.shell.isPaused());
      const next = usable[partition % Math.max(1, usable.length)];
      if (next) await take(partition, next);
    }
    clock.setTimer(ROUND_MS, () => void round());
  }

  void round();
  return {
    holder: partition => holders.get(partition),
    epoch: partition => epochs.get(partition) ?? 0,
  };
}
