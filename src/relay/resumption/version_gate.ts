/**
 * Lets new streams begin at a version of their service only once the store's
 * ledger of versions has it. What the ledger lacks has begun no stream, so a
 * host that has just started can tell the version of a stream that no host
 * knows.
 *
 * A version is used without it where little else serves, or after a while: the
 * store may be away.
 */

import type {Clock, TimerHandle} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {Random} from '../../ports/random.js';
import type {Upstream} from '../../core/upstream.js';
import type {VersionLedger} from './version_ledger.js';

/**
 * By version, how many decode engines take new work; 0 for versions whose
 * engines are listed, but take none.
 */
export type EngineCounts = ReadonlyMap<string, number>;

export interface VersionGateHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly ledger: Pick<VersionLedger, 'readListed' | 'update'>;
  /** The versions in the list, by service. */
  engineCounts(): ReadonlyMap<string, EngineCounts>;
  /** Whether this host writes the ledger on behalf of all. */
  isWriter(): boolean;
  /** Whether it writes the ledger if the writer doesn't. */
  isSubstitute(): boolean;
  peerCount(): number;
  /** New streams may begin at more engines. */
  onOpen(): void;
}

export interface VersionGate {
  /** Whether new streams may begin at the engine. */
  mayBegin(engine: Pick<Upstream, 'service' | 'version'>): boolean;
  /** The list of upstreams was read. */
  noteList(): void;
  stop(): void;
}

/** The writer has usually written a new version within this time. */
const FIRST_READ_MS = 50;
const READ_INTERVAL_MS = 500;
/** Substitutes write a version that the ledger has lacked for so long. */
const SUBSTITUTE_AFTER_MS = 5_000;
/** After this time a version is used although the ledger lacks it. */
const MAX_WAIT_MS = 6_000;
/** The same where no version is in use, since the ledger can't be read. */
const MAX_UNREAD_MS = 1_000;
/** Versions with a smaller share of the decode engines can't serve for all. */
const MIN_SHARE = 1 / 3;

/** Why new streams may begin at a version. */
type Basis = 'single' | 'ledger' | 'needed' | 'late';

interface GatedVersion {
  readonly listedAtMs: number;
  isOpen: boolean;
}

type Gates = Map<string, GatedVersion>;

function sum(counts: Iterable<number>): number {
  return [...counts].reduce((total, each) => total + each, 0);
}

/** Whether the service can do with engines of the given versions for a while. */
export function canServeAlone(
  engineCounts: EngineCounts,
  versions: readonly string[],
): boolean {
  const own = sum(versions.map(each => engineCounts.get(each) ?? 0));
  return own > 0 && own >= MIN_SHARE * sum(engineCounts.values());
}

const listInUse = (gates: Gates): readonly string[] =>
  [...gates].filter(([, {isOpen}]) => isOpen).map(([version]) => version);

export function createVersionGate(host: VersionGateHost): VersionGate {
  const {clock, random, log, ledger} = host;
  const services = new Map<string, Gates>();
  let hasRead = false;
  let isReading = false;
  let isStopped = false;
  let readTimer: TimerHandle | undefined;

  const ageMs = ({listedAtMs}: GatedVersion) => clock.nowMs() - listedAtMs;

  const closedGates = () =>
    [...services.values()].flatMap(gates =>
      [...gates.values()].filter(({isOpen}) => !isOpen),
    );

  function open(
    service: string,
    gates: Gates,
    basis: Basis,
    mayOpen: (version: string, gate: GatedVersion) => boolean,
  ): void {
    for (const [version, gate] of gates) {
      if (gate.isOpen || !mayOpen(version, gate)) continue;
      gate.isOpen = true;
      const afterMs = Math.round(ageMs(gate));
      log.info('Version in use.', {service, version, basis, afterMs});
    }
  }

  function noteVersions(gates: Gates, counts: EngineCounts): void {
    for (const version of gates.keys()) {
      if (!counts.has(version)) gates.delete(version);
    }
    for (const version of counts.keys()) {
      if (gates.has(version)) continue;
      gates.set(version, {listedAtMs: clock.nowMs(), isOpen: false});
    }
  }

  /** Opens versions that the ledger may lack. */
  function openOthers(
    service: string,
    gates: Gates,
    counts: EngineCounts,
  ): void {
    if (gates.size === 1) open(service, gates, 'single', () => true);
    const inUse = listInUse(gates);
    const isUnread = inUse.length === 0 && !hasRead;
    if (!isUnread && !canServeAlone(counts, inUse)) {
      open(service, gates, 'needed', () => true);
    }
    const maxWaitMs = isUnread ? MAX_UNREAD_MS : MAX_WAIT_MS;
    open(service, gates, 'late', (_, gate) => ageMs(gate) >= maxWaitMs);
  }

  function noteList(): void {
    const counts = host.engineCounts();
    for (const service of services.keys()) {
      if (!counts.has(service)) services.delete(service);
    }
    for (const [service, ofService] of counts) {
      const gates: Gates = services.get(service) ?? new Map();
      services.set(service, gates);
      noteVersions(gates, ofService);
      openOthers(service, gates, ofService);
    }
  }

  async function readLedger(): Promise<void> {
    const isOverdue = closedGates().some(
      gate => ageMs(gate) >= SUBSTITUTE_AFTER_MS,
    );
    const isWriting = host.isWriter() || (isOverdue && host.isSubstitute());
    if (isWriting) await ledger.update();
    const listed = await ledger.readListed();
    hasRead ||= listed !== undefined;
    for (const [service, gates] of services) {
      const versions = listed?.get(service) ?? [];
      open(service, gates, 'ledger', version => versions.includes(version));
    }
    noteList();
    host.onOpen();
  }

  function readLater(delayMs: number): void {
    if (isReading || isStopped || closedGates().length === 0) return;
    isReading = true;
    readTimer = clock.setTimer(delayMs, () => {
      void readLedger().then(() => {
        isReading = false;
        readLater(READ_INTERVAL_MS);
      });
    });
  }

  return {
    mayBegin({service, version}) {
      if (version === undefined) return true;
      return services.get(service)?.get(version)?.isOpen ?? true;
    },
    noteList() {
      noteList();
      const isUrgent = [...services.values()].some(
        gates => listInUse(gates).length === 0,
      );
      // Many hosts see a new version at the same time.
      const spreadMs = random.nextInt(host.peerCount() + 1);
      readLater((isUrgent ? 0 : FIRST_READ_MS) + spreadMs);
    },
    stop() {
      isStopped = true;
      if (readTimer) clock.clearTimer(readTimer);
    },
  };
}
