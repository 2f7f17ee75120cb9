/**
 * Stand-in for the platform: a transactional table, an object store and a
 * lagging list of hosts, with rate limits, outages, slowness, answers lost
 * after the write took effect, and writes that take effect late.
 */

import type {Clock} from '../src/ports/clock.js';
import type {Random} from '../src/ports/random.js';
import type {
  HostListPort,
  ListedHost,
  ObjectStorePort,
  ReadOutcome,
  TablePort,
  TableTransaction,
  WriteOutcome,
} from '../src/ports/table.js';
import {createFaultGate, type FaultGate} from './fault_gate.js';
import {createRateLimit} from './rate_limit.js';
import {createTableStore, type LoggedTransaction} from './table_store.js';

export interface PlatformHost {
  readonly clock: Clock;
  readonly random: Random;
}

export interface PlatformOptions {
  readonly writesPerSecond: number;
  readonly readsPerSecond: number;
  /** How late the list of hosts shows a change. */
  readonly hostListLagMs: number;
  /** One way, for calls in process. */
  readonly latencyMs: number;
  /** Time that the platform takes for a write. */
  readonly writeMs: number;
}

export const defaultPlatformOptions: PlatformOptions = {
  writesPerSecond: 300,
  readsPerSecond: 2_000,
  hostListLagMs: 3_000,
  latencyMs: 0,
  writeMs: 2,
};

export interface PlatformFaults {
  /** Everything is refused, before it is tried. */
  readonly isDown: boolean;
  /** Each call takes this much longer. */
  readonly slowMs: number;
  /** Share of writes that apply and whose answer is lost. */
  readonly answerLostShare: number;
  /** Share of writes whose answer is lost and that apply `lateMs` later. */
  readonly lateShare: number;
  readonly lateMs: number;
  /** Share of reads whose answer is lost. */
  readonly readLostShare: number;
  readonly hostListLagMs: number;
}

export interface PlatformBooks {
  readonly writes: number;
  readonly writesRefused: number;
  readonly reads: number;
  readonly readsRefused: number;
  readonly answersLost: number;
  readonly lateWrites: number;
  readonly rowCount: number;
  readonly objectCount: number;
  /** The most recent transactions that were decided. */
  readonly log: readonly LoggedTransaction[];
}

export interface PlatformCore {
  readonly table: TablePort;
  readonly objects: ObjectStorePort;
  readonly hosts: HostListPort;
  readonly options: PlatformOptions;
  readonly gate: FaultGate;
  /** What the list of hosts will show once the lag has passed. */
  setHosts(hosts: readonly ListedHost[]): void;
  setFaults(patch: Partial<PlatformFaults>): void;
  /** Ends the process's service; rows and objects are kept. */
  crash(): void;
  restart(): void;
  books(): PlatformBooks;
}

const MAX_LOG = 50_000;
const RETRY_AFTER_MS = 100;
const NEVER = new Promise<never>(() => {});

export function createPlatformCore(
  host: PlatformHost,
  patch: Partial<PlatformOptions> = {},
): PlatformCore {
  const options: PlatformOptions = {...defaultPlatformOptions, ...patch};
  const {clock, random} = host;
  const gate = createFaultGate(host, options);
  const store = createTableStore();
  const objects = new Map<string, Uint8Array>();
  const log: LoggedTransaction[] = [];
  const writeLimit = createRateLimit(clock, options.writesPerSecond);
  const readLimit = createRateLimit(clock, options.readsPerSecond);
  const hostLists: {
    readonly atMs: number;
    readonly hosts: readonly ListedHost[];
  }[] = [{atMs: Number.NEGATIVE_INFINITY, hosts: []}];
  const counts = {
    writes: 0,
    writesRefused: 0,
    reads: 0,
    readsRefused: 0,
    answersLost: 0,
    lateWrites: 0,
  };
  let faults: PlatformFaults = {
    isDown: false,
    slowMs: 0,
    answerLostShare: 0,
    lateShare: 0,
    lateMs: 0,
    readLostShare: 0,
    hostListLagMs: options.hostListLagMs,
  };

  function after<T>(delayMs: number, action: () => T): Promise<T> {
    return new Promise(resolve => {
      if (delayMs <= 0) resolve(action());
      else {
        clock.setTimer(delayMs, () => gate.whenThawed(() => resolve(action())));
      }
    });
  }

  function decide(transaction: TableTransaction): WriteOutcome {
    const outcome = store.apply(transaction);
    log.push({
      atMs: clock.nowMs(),
      attemptId: transaction.attemptId,
      outcome: outcome.kind === 'applied' ? 'applied' : 'rejected',
      keys: transaction.writes.map(write => write.key),
    });
    if (log.length > MAX_LOG) log.shift();
    return outcome;
  }

  /** Why a write is refused before it is tried, if it is. */
  function refuseWrite(): 'unavailable' | 'rate-limited' | undefined {
    counts.writes++;
    const reason = faults.isDown
      ? 'unavailable'
      : writeLimit.take()
        ? undefined
        : 'rate-limited';
    if (reason) counts.writesRefused++;
    return reason;
  }

  /** Carries out a write, with what may befall it and its answer. */
  function write<T>(apply: () => T): Promise<T> {
    const dice = random.nextFloat();
    const delayMs = options.writeMs + faults.slowMs;
    if (dice < faults.answerLostShare) {
      counts.answersLost++;
      void after(delayMs, apply);
      return NEVER;
    }
    if (dice < faults.answerLostShare + faults.lateShare) {
      counts.lateWrites++;
      void after(delayMs + faults.lateMs, apply);
      return NEVER;
    }
    return after(delayMs, apply);
  }

  function read<T>(timeoutMs: number, value: () => T): Promise<ReadOutcome<T>> {
    return gate.call<ReadOutcome<T>, ReadOutcome<T>>({
      timeoutMs,
      failed: reason => ({kind: 'failed', reason}),
      run() {
        counts.reads++;
        if (faults.isDown || !readLimit.take()) {
          counts.readsRefused++;
          const reason = faults.isDown ? 'unavailable' : 'rate-limited';
          return {kind: 'failed', reason};
        }
        if (random.nextFloat() < faults.readLostShare) return NEVER;
        return after(faults.slowMs, () => ({kind: 'read', value: value()}));
      },
    });
  }

  const table: TablePort = {
    read: (keys, timeoutMs) => read(timeoutMs, () => store.read(keys)),
    scan: (prefix, {afterKey, limit}, timeoutMs) =>
      read(timeoutMs, () => store.scan(prefix, afterKey ?? '', limit)),
    transact: (transaction, timeoutMs) =>
      gate.call<WriteOutcome, WriteOutcome>({
        timeoutMs,
        failed: reason =>
          reason === 'unreachable'
            ? {
                kind: 'refused',
                reason: 'unavailable',
                retryAfterMs: RETRY_AFTER_MS,
              }
            : {kind: 'unknown', reason},
        run() {
          const refused = refuseWrite();
          if (!refused) return write(() => decide(transaction));
          return {
            kind: 'refused',
            reason: refused,
            retryAfterMs: RETRY_AFTER_MS,
          };
        },
      }),
  };

  const objectStore: ObjectStorePort = {
    put: (key, body, timeoutMs) =>
      gate.call<'stored' | 'refused', 'refused' | 'unknown'>({
        timeoutMs,
        failed: reason => (reason === 'unreachable' ? 'refused' : 'unknown'),
        run() {
          if (refuseWrite()) return 'refused';
          return write(() => {
            objects.set(key, body.slice());
            return 'stored';
          });
        },
      }),
    get: (key, timeoutMs) => read(timeoutMs, () => objects.get(key)?.slice()),
    remove: (key, timeoutMs) =>
      gate.call<void, void>({
        timeoutMs,
        failed: () => undefined,
        run() {
          if (refuseWrite()) return undefined;
          return write(() => void objects.delete(key));
        },
      }),
  };

  function listedHosts(): readonly ListedHost[] {
    const seenUntilMs = clock.nowMs() - faults.hostListLagMs;
    const seen = hostLists.filter(list => list.atMs <= seenUntilMs);
    return seen.at(-1)!.hosts;
  }

  return {
    table,
    objects: objectStore,
    hosts: {list: timeoutMs => read(timeoutMs, listedHosts)},
    options,
    gate,
    setHosts(hosts) {
      // The first list is there from the start, as on a running platform.
      const isFirst = hostLists.length === 1;
      const atMs = isFirst ? Number.NEGATIVE_INFINITY : clock.nowMs();
      hostLists.push({atMs, hosts});
    },
    setFaults(next) {
      faults = {...faults, ...next};
    },
    crash: gate.crash,
    restart: gate.restart,
    books: () => ({
      ...counts,
      rowCount: store.rowCount(),
      objectCount: objects.size,
      log: [...log],
    }),
  };
}
