/**
 * Stand-in for the platform: a transactional table, an object store and a list
 * of hosts that shows changes late. It simulates rate limits, outages, slow
 * calls, lost answers to applied writes, and writes that apply late.
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
  /** Delay until the list of hosts shows a change. */
  readonly hostListLagMs: number;
  /** One-way latency of in-process calls. */
  readonly latencyMs: number;
  /** Time to apply a write. */
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
  /** Every call is refused and has no effect. */
  readonly isDown: boolean;
  /** Additional time of each call. */
  readonly slowMs: number;
  /** Share of writes that apply but whose answer is lost. */
  readonly answerLostShare: number;
  /** Share of writes that apply `lateMs` later and whose answer is lost. */
  readonly lateShare: number;
  readonly lateMs: number;
  /** Share of reads whose answer is lost. */
  readonly readLostShare: number;
  readonly hostListLagMs: number;
}

export interface PlatformStats {
  readonly writes: number;
  readonly writesRefused: number;
  readonly reads: number;
  readonly readsRefused: number;
  readonly answersLost: number;
  readonly lateWrites: number;
  readonly rowCount: number;
  readonly objectCount: number;
  /** The most recent transactions, applied and rejected. */
  readonly log: readonly LoggedTransaction[];
}

export interface PlatformCore {
  readonly table: TablePort;
  readonly objects: ObjectStorePort;
  readonly hosts: HostListPort;
  readonly options: PlatformOptions;
  readonly gate: FaultGate;
  /** Sets the hosts that the list shows once the lag has passed. */
  setHosts(hosts: readonly ListedHost[]): void;
  setFaults(patch: Partial<PlatformFaults>): void;
  /** Stops serving; rows and objects are kept. */
  crash(): void;
  restart(): void;
  stats(): PlatformStats;
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

  function runAfter<T>(delayMs: number, action: () => T): Promise<T> {
    return new Promise(resolve => {
      if (delayMs <= 0) resolve(action());
      else {
        clock.setTimer(delayMs, () => gate.whenThawed(() => resolve(action())));
      }
    });
  }

  function applyAndLog(transaction: TableTransaction): WriteOutcome {
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

  /** Returns why a write is refused, or undefined if it may apply. */
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

  /**
   * Applies a write, subject to the faults that lose its answer or delay it.
   */
  function write<T>(apply: () => T): Promise<T> {
    const draw = random.nextFloat();
    const delayMs = options.writeMs + faults.slowMs;
    if (draw < faults.answerLostShare) {
      counts.answersLost++;
      void runAfter(delayMs, apply);
      return NEVER;
    }
    if (draw < faults.answerLostShare + faults.lateShare) {
      counts.lateWrites++;
      void runAfter(delayMs + faults.lateMs, apply);
      return NEVER;
    }
    return runAfter(delayMs, apply);
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
        return runAfter(faults.slowMs, () => ({kind: 'read', value: value()}));
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
          if (!refused) return write(() => applyAndLog(transaction));
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
    const visibleUntilMs = clock.nowMs() - faults.hostListLagMs;
    const visible = hostLists.filter(list => list.atMs <= visibleUntilMs);
    return visible.at(-1)!.hosts;
  }

  return {
    table,
    objects: objectStore,
    hosts: {list: timeoutMs => read(timeoutMs, listedHosts)},
    options,
    gate,
    setHosts(hosts) {
      // The first list shows at once, as on a platform that already runs.
      const isFirst = hostLists.length === 1;
      const atMs = isFirst ? Number.NEGATIVE_INFINITY : clock.nowMs();
      hostLists.push({atMs, hosts});
    },
    setFaults(next) {
      faults = {...faults, ...next};
    },
    crash: gate.crash,
    restart: gate.restart,
    stats: () => ({
      ...counts,
      rowCount: store.rowCount(),
      objectCount: objects.size,
      log: [...log],
    }),
  };
}
