/**
 * Acquires, renews and releases named leases in the platform's table.
 *
 * A host renews all its leases in one write and reads all watched rows in one
 * read, so the load on the platform grows with hosts, not with leases.
 */

import type {Clock, TimerHandle} from '../ports/clock.js';
import type {Logger} from '../ports/log.js';
import type {Random} from '../ports/random.js';
import type {TableRow, WriteOutcome} from '../ports/table.js';
import {createChangeChannel, type ChangeChannel} from './change_channel.js';
import {
  buildRelease,
  buildRenewal,
  buildTake,
  createFence,
  getHeldUntilMs,
  getLeaseKey,
  getTakeableAtMs,
  observe,
  parseLeaseRow,
  type Fence,
  type HeldRow,
  type LeaseObservation,
  type LeaseTiming,
} from './lease_rules.js';
import {toRowMap, type TableClient} from './table_client.js';

export type {Fence} from './lease_rules.js';

export interface LeaseKeeperHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly table: TableClient;
  readonly log?: Logger;
}

export interface LeaseKeeperOptions extends LeaseTiming {
  readonly hostId: string;
}

export type LeaseChange =
  | {readonly kind: 'taken'; readonly name: string; readonly fence: Fence}
  | {
      readonly kind: 'lost';
      readonly name: string;
      readonly reason: 'expired' | 'taken-over' | 'released';
    };

export interface HeldLease {
  readonly name: string;
  readonly fence: Fence;
  /** Remaining time during which this host may use the fence. */
  readonly leftMs: number;
}

export interface LeaseKeeper {
  start(): void;
  /** Acquires the lease as soon as the rules allow it, and renews it. */
  want(name: string): void;
  /**
   * Observes a lease without acquiring it, so that a later `want` does not
   * have to wait for a whole lease duration.
   */
  watch(name: string): void;
  /** Stops watching the lease and releases it if held; resolves afterwards. */
  release(name: string, successor?: string): Promise<void>;
  /** Reads the lease now, for example after its holder was reported dead. */
  nudge(name: string): void;
  /** Returns the fence while the lease is held according to this host's clock. */
  currentFence(name: string): Fence | undefined;
  held(): readonly HeldLease[];
  readonly changes: ChangeChannel<LeaseChange>;
  /** Releases all leases and stops. */
  stop(): Promise<void>;
}

interface LeaseState {
  readonly name: string;
  isWanted: boolean;
  observation: LeaseObservation | undefined;
  held: HeldRow | undefined;
  heldUntilMs: number;
  expiry: TimerHandle | undefined;
  /** A write to this lease is in progress, so renewals and checks skip it. */
  isWriting: boolean;
}

/** Renewals and checks per lease duration; two in a row may fail. */
const TICKS_PER_LEASE = 3;
const TICK_JITTER = 0.2;
const RELEASE_ATTEMPTS = 3;

export function createLeaseKeeper(
  host: LeaseKeeperHost,
  options: LeaseKeeperOptions,
): LeaseKeeper {
  const {clock, random, table, log} = host;
  const {hostId, leaseMs} = options;
  const tickMs = leaseMs / TICKS_PER_LEASE;
  const use = {priority: 'lease', timeoutMs: tickMs} as const;
  const states = new Map<string, LeaseState>();
  const changes = createChangeChannel<LeaseChange>();
  let tickTimer: TimerHandle | undefined;
  let isStopped = false;
  let isRenewing = false;
  let isChecking = false;

  function lose(
    state: LeaseState,
    reason: 'expired' | 'taken-over' | 'released',
  ): void {
    if (!state.held) return;
    state.held = undefined;
    if (state.expiry) clock.clearTimer(state.expiry);
    state.expiry = undefined;
    log?.info(`Lease ${state.name} lost.`, {reason});
    changes.emit({kind: 'lost', name: state.name, reason});
  }

  function extend(state: LeaseState, row: HeldRow, sentAtMs: number): void {
    state.held = row;
    state.heldUntilMs = getHeldUntilMs(sentAtMs, options);
    state.observation = undefined;
    if (state.expiry) clock.clearTimer(state.expiry);
    const leftMs = state.heldUntilMs - clock.nowMs();
    state.expiry = clock.setTimer(leftMs, () => lose(state, 'expired'));
  }

  // The expiry timer may run late after a pause of the process, so each use
  // checks the clock as well.
  const isHeldNow = (state: LeaseState) =>
    state.held !== undefined && clock.nowMs() < state.heldUntilMs;

  async function take(
    state: LeaseState,
    row: TableRow | undefined,
  ): Promise<void> {
    const key = getLeaseKey(state.name);
    const attemptId = random.nextId();
    const transaction = buildTake(
      state.name,
      row,
      hostId,
      attemptId,
      clock.wallMs(),
    );
    const version = (row?.version ?? 0) + 1;
    const sentAtMs = clock.nowMs();
    state.isWriting = true;
    const outcome = await table.transactSettled(
      transaction,
      {
        keys: [key],
        judge(rows) {
          const found = rows.get(key);
          if (found?.value.attemptId === attemptId) return 'applied';
          return found?.version === row?.version ? 'undecided' : 'not-applied';
        },
      },
      use,
    );
    state.isWriting = false;
    if (outcome.kind !== 'applied') return;
    const written = transaction.writes[0];
    if (written.kind !== 'put') return;
    const record = parseLeaseRow({key, version, value: written.value});
    // The row may have been written as early as the send.
    extend(state, {name: state.name, version, record}, sentAtMs);
    if (!isHeldNow(state)) {
      lose(state, 'expired');
      return;
    }
    const fence = createFence(state.name, record.epoch);
    log?.info(`Lease ${state.name} taken.`, {epoch: record.epoch});
    changes.emit({kind: 'taken', name: state.name, fence});
  }

  async function renewAll(): Promise<void> {
    const due = [...states.values()].filter(
      state => isHeldNow(state) && !state.isWriting,
    );
    if (due.length === 0 || isRenewing) return;
    isRenewing = true;
    const rows = due.map(state => state.held!);
    const sentAtMs = clock.nowMs();
    const attemptId = random.nextId();
    const transaction = buildRenewal(rows, attemptId);
    const outcome = await table.transact(transaction, use);
    isRenewing = false;
    await handleRenewalOutcome(due, rows, outcome, attemptId, sentAtMs);
  }

  async function handleRenewalOutcome(
    due: readonly LeaseState[],
    rows: readonly HeldRow[],
    outcome: WriteOutcome,
    attemptId: string,
    sentAtMs: number,
  ): Promise<void> {
    switch (outcome.kind) {
      case 'applied':
        due.forEach((state, index) => {
          // The lease was released or lost while the renewal was in flight.
          if (state.held !== rows[index]) return;
          const {name, version, record} = rows[index];
          const next = {name, version: version + 1, record};
          extend(state, {...next, record: {...record, attemptId}}, sentAtMs);
        });
        return;
      case 'rejected':
      case 'unknown':
        await rereadRows(due, rows, sentAtMs, attemptId);
        return;
      case 'refused':
        return;
    }
  }

  /** Checks which rows this host still holds, and at which version. */
  async function rereadRows(
    due: readonly LeaseState[],
    rows: readonly HeldRow[],
    sentAtMs: number,
    attemptId: string,
  ): Promise<void> {
    const outcome = await table.read(
      rows.map(row => getLeaseKey(row.name)),
      use,
    );
    if (outcome.kind === 'failed') return;
    const found = toRowMap(outcome.value);
    due.forEach((state, index) => {
      const held = rows[index];
      if (state.held !== held) return;
      const row = found.get(getLeaseKey(state.name));
      const record = row && parseLeaseRow(row);
      if (!row || record?.epoch !== held.record.epoch) {
        lose(state, 'taken-over');
      } else if (record.attemptId === attemptId) {
        extend(state, {...held, version: row.version, record}, sentAtMs);
      } else {
        // An earlier renewal was applied late. The lease is still held, but its
        // expiry cannot be extended.
        state.held = {...held, version: row.version, record};
      }
    });
  }

  async function checkLeases(names: readonly string[]): Promise<void> {
    const wanted = names
      .map(name => states.get(name))
      .filter(state => state && !state.held && !state.isWriting);
    if (wanted.length === 0) return;
    const keys = wanted.map(state => getLeaseKey(state!.name));
    const outcome = await table.read(keys, use);
    if (outcome.kind === 'failed' || isStopped) return;
    const rows = toRowMap(outcome.value);
    await Promise.all(
      wanted.map(state =>
        takeIfAllowed(state!, rows.get(getLeaseKey(state!.name))),
      ),
    );
  }

  async function takeIfAllowed(
    state: LeaseState,
    row: TableRow | undefined,
  ): Promise<void> {
    if (state.held || state.isWriting || states.get(state.name) !== state)
      return;
    if (!row) {
      if (state.isWanted) await take(state, undefined);
      return;
    }
    const nowMs = clock.nowMs();
    state.observation = observe(state.observation, row.version, nowMs);
    if (!state.isWanted) return;
    const record = parseLeaseRow(row);
    const atMs = getTakeableAtMs(record, state.observation, hostId, options);
    if (nowMs >= atMs) {
      await take(state, row);
    } else if (atMs - nowMs < tickMs) {
      clock.setTimer(atMs - nowMs, () => void checkLeases([state.name]));
    }
  }

  async function checkAllLeases(): Promise<void> {
    if (isChecking) return;
    isChecking = true;
    await checkLeases([...states.keys()]);
    isChecking = false;
  }

  function scheduleTick(): void {
    if (isStopped) return;
    const jitter = 1 - TICK_JITTER * random.nextFloat();
    tickTimer = clock.setTimer(tickMs * jitter, () => {
      scheduleTick();
      void renewAll();
      void checkAllLeases();
    });
  }

  async function releaseHeld(
    state: LeaseState,
    successor: string,
  ): Promise<void> {
    let held = state.held;
    // This host must stop using the lease before another may acquire it.
    lose(state, 'released');
    for (let attempt = 0; held && attempt < RELEASE_ATTEMPTS; attempt++) {
      const transaction = buildRelease(held, successor, random.nextId());
      const outcome = await table.transact(transaction, use);
      if (outcome.kind === 'applied') return;
      // A concurrent renewal changed the version, or the answer was lost; the
      // epoch read back shows whether the release was applied.
      held = await readOwnRow(state.name, held.record.epoch);
    }
    if (held) log?.warn(`Lease ${state.name} not released; it will expire.`);
  }

  async function readOwnRow(
    name: string,
    epoch: number,
  ): Promise<HeldRow | undefined> {
    const outcome = await table.read([getLeaseKey(name)], use);
    if (outcome.kind === 'failed') return undefined;
    const row = outcome.value.at(0);
    const record = row && parseLeaseRow(row);
    if (!row || record?.epoch !== epoch) return undefined;
    return {name, version: row.version, record};
  }

  function getState(name: string): LeaseState {
    const known = states.get(name);
    if (known) return known;
    const state: LeaseState = {
      name,
      isWanted: false,
      observation: undefined,
      held: undefined,
      heldUntilMs: 0,
      expiry: undefined,
      isWriting: false,
    };
    states.set(name, state);
    return state;
  }

  async function release(name: string, successor = ''): Promise<void> {
    const state = states.get(name);
    if (!state) return;
    states.delete(name);
    await releaseHeld(state, successor);
  }

  return {
    start: scheduleTick,
    want(name) {
      if (isStopped || states.get(name)?.isWanted) return;
      getState(name).isWanted = true;
      void checkLeases([name]);
    },
    watch(name) {
      if (!isStopped) getState(name);
    },
    release,
    nudge(name) {
      void checkLeases([name]);
    },
    currentFence(name) {
      const state = states.get(name);
      if (!state?.held || !isHeldNow(state)) return undefined;
      return createFence(name, state.held.record.epoch);
    },
    held() {
      return [...states.values()].filter(isHeldNow).map(state => ({
        name: state.name,
        fence: createFence(state.name, state.held!.record.epoch),
        leftMs: state.heldUntilMs - clock.nowMs(),
      }));
    },
    changes,
    async stop() {
      isStopped = true;
      if (tickTimer) clock.clearTimer(tickTimer);
      await Promise.all([...states.keys()].map(name => release(name)));
    },
  };
}
