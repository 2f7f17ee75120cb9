/**
 * Keeps in the store which software versions each service has had, so that
 * hosts that have all started anew can tell whether a stream may have begun at
 * another version. Written only when the versions in the list change; read when
 * a caller takes up a stream that no host knows, and before a version is used
 * that may not be in it.
 */

import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {Random} from '../../ports/random.js';
import type {JsonRecord, TablePort, TableRow} from '../../ports/table.js';
import {leftMs} from '../relay_types.js';
import {KEPT_MS, type SeenVersions} from './version_history.js';

export type ServiceVersions = ReadonlyMap<string, readonly string[]>;

export interface VersionLedgerHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly table: TablePort;
  /** Sorted versions in the list, by service; undefined if not all are known. */
  listed(): ServiceVersions | undefined;
  /** Whether the service can do without its other versions for a while. */
  canServeAlone(service: string, versions: readonly string[]): boolean;
  /** How often the store came back from an older copy. */
  storeEra(): number;
}

export interface VersionLedger {
  /**
   * What the store knows of a service, by a read that begins after the call;
   * undefined if it can't be read.
   */
  read(service: string, windowMs: number): Promise<SeenVersions | undefined>;
  /** The versions that it has as listed; undefined if it can't be read. */
  readListed(): Promise<ServiceVersions | undefined>;
  /** Writes the versions in the list unless the store has them. */
  update(): Promise<void>;
}

const ROW_KEY = 'versions';
const CALL_TIMEOUT_MS = 600;
/** Take-ups come in groups, and share one read. */
const READ_INTERVAL_MS = 100;
/**
 * A host that has just started writes a further version only after this time:
 * all hosts may have been killed, and until then callers come back whose
 * streams began before it.
 */
const HOLD_MS = 4_000;
/** A version that is listed has no end. */
const LISTED = -1;

/** Times are those of the store's clock, in its era. */
interface ServiceRecord {
  readonly sinceMs: number;
  /** When each version was last listed. */
  readonly lastMs: Readonly<Record<string, number>>;
}

interface Ledger {
  /** Whether no host has written it, so that no stream can be older. */
  readonly isNew: boolean;
  readonly era: number;
  readonly nowMs: number;
  readonly readAtMs: number;
  readonly rowVersion: number;
  readonly services: Readonly<Record<string, ServiceRecord>>;
}

const isNumber = (value: unknown): value is number => Number.isFinite(value);

function toRecord(value: unknown): ServiceRecord | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  const {sinceMs, lastMs} = value as Partial<ServiceRecord>;
  if (!isNumber(sinceMs)) return undefined;
  if (typeof lastMs !== 'object' || lastMs === null) return undefined;
  return Object.values(lastMs).every(isNumber) ? {sinceMs, lastMs} : undefined;
}

/** Another era's clock and contents say nothing about this one. */
function readServices(
  row: TableRow | undefined,
  era: number,
): Readonly<Record<string, ServiceRecord>> {
  if (row?.value['era'] !== era) return {};
  const services: Record<string, ServiceRecord> = {};
  for (const [name, value] of Object.entries(row.value['services'] ?? {})) {
    const record = toRecord(value);
    if (record) services[name] = record;
  }
  return services;
}

function merge(
  {isNew, nowMs, services}: Ledger,
  service: string,
  versions: readonly string[],
): ServiceRecord {
  const before = services[service];
  const lastMs: Record<string, number> = {};
  for (const [version, atMs] of Object.entries(before?.lastMs ?? {})) {
    const endedAtMs = atMs === LISTED ? nowMs : atMs;
    if (nowMs - endedAtMs < KEPT_MS) lastMs[version] = endedAtMs;
  }
  for (const version of versions) lastMs[version] = LISTED;
  const sinceMs = isNew ? nowMs - KEPT_MS : nowMs;
  return {sinceMs: before?.sinceMs ?? sinceMs, lastMs};
}

/** Sorted. */
const listedOf = (record: ServiceRecord | undefined): readonly string[] =>
  Object.entries(record?.lastMs ?? {})
    .filter(([, atMs]) => atMs === LISTED)
    .map(([version]) => version)
    .sort();

const isCurrent = (
  services: Ledger['services'],
  listed: ServiceVersions,
): boolean =>
  [...listed].every(
    ([service, versions]) =>
      listedOf(services[service]).join('|') === versions.join('|'),
  );

export function createVersionLedger(host: VersionLedgerHost): VersionLedger {
  const {clock, random, table} = host;
  const startedAtMs = clock.nowMs();
  let nextRead: Promise<Ledger | undefined> | undefined;
  let lastReadAtMs = Number.NEGATIVE_INFINITY;
  /** The list that the store is known to have. */
  let writtenText: string | undefined;
  let isUpdating = false;

  async function readLedger(): Promise<Ledger | undefined> {
    const read = await table.read([ROW_KEY], CALL_TIMEOUT_MS);
    if (read.kind !== 'read' || read.tableNowMs === undefined) return undefined;
    const row = read.value.find(({key}) => key === ROW_KEY);
    const era = read.tableEra ?? 0;
    return {
      isNew: row === undefined && era === 0,
      era,
      nowMs: read.tableNowMs,
      readAtMs: clock.nowMs(),
      rowVersion: row?.version ?? 0,
      services: readServices(row, era),
    };
  }

  /** The next read, which has not begun. */
  function readNext(): Promise<Ledger | undefined> {
    nextRead ??= new Promise(resolve => {
      const dueInMs = leftMs(lastReadAtMs + READ_INTERVAL_MS, clock.nowMs());
      clock.setTimer(dueInMs, () => {
        nextRead = undefined;
        lastReadAtMs = clock.nowMs();
        resolve(readLedger());
      });
    });
    return nextRead;
  }

  const toText = (listed: ServiceVersions) =>
    JSON.stringify([host.storeEra(), ...listed]);

  /** Leaves out versions that are to be written later. */
  function selectDue(
    {services}: Ledger,
    all: ServiceVersions,
  ): ServiceVersions {
    if (clock.nowMs() - startedAtMs >= HOLD_MS) return all;
    return new Map(
      [...all].map(([service, versions]) => {
        const known = listedOf(services[service]);
        const inUse = versions.filter(each => known.includes(each));
        const canWait = host.canServeAlone(service, inUse);
        return [service, canWait ? inUse : versions] as const;
      }),
    );
  }

  async function write(
    ledger: Ledger,
    listed: ServiceVersions,
  ): Promise<boolean> {
    const {era, rowVersion} = ledger;
    const next: Record<string, JsonRecord> = {};
    for (const [service, versions] of listed) {
      next[service] = {...merge(ledger, service, versions)};
    }
    const outcome = await table.transact(
      {
        attemptId: random.nextId(),
        conditions: [
          rowVersion === 0
            ? {kind: 'absent', key: ROW_KEY}
            : {kind: 'version', key: ROW_KEY, version: rowVersion},
        ],
        writes: [{kind: 'put', key: ROW_KEY, value: {era, services: next}}],
      },
      CALL_TIMEOUT_MS,
    );
    host.log.info('Versions of engines noted in the store.', {
      outcome: outcome.kind,
      versions: [...listed].map(each => each.join(' ')).join('; '),
    });
    return outcome.kind === 'applied';
  }

  return {
    async read(service, windowMs) {
      const ledger = await readNext();
      const known = ledger?.services[service];
      if (!ledger || !known) return undefined;
      const nowMs = ledger.nowMs + clock.nowMs() - ledger.readAtMs;
      const versions = Object.entries(known.lastMs)
        .filter(([, atMs]) => atMs === LISTED || nowMs - atMs < windowMs)
        .map(([version]) => version);
      return {versions, observedMs: Math.min(nowMs - known.sinceMs, windowMs)};
    },
    async readListed() {
      const ledger = await readNext();
      if (!ledger) return undefined;
      const services = Object.entries(ledger.services);
      return new Map(
        services.map(([service, record]) => [service, listedOf(record)]),
      );
    },
    async update() {
      const listed = host.listed();
      if (!listed || isUpdating) return;
      const text = toText(listed);
      if (text === writtenText) return;
      isUpdating = true;
      const ledger = await readLedger();
      const due = ledger && selectDue(ledger, listed);
      const isWritten =
        due && (isCurrent(ledger.services, due) || (await write(ledger, due)));
      isUpdating = false;
      if (isWritten && toText(due) === text) writtenText = text;
    },
  };
}
