/**
 * Model of leases with fencing and release to a successor: three processes, a
 * table, and a network that delays, loses and reorders messages. A paused
 * process takes no step while the others and the clocks proceed.
 *
 * Two invariants are checked in each state: at most one process holds the
 * lease by its own clock, and a fenced write applies only while the table
 * names its writer as the holder.
 */

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
  type HeldRow,
  type LeaseObservation,
  type LeaseTiming,
} from '../src/coordination/lease_rules.js';
import type {TableRow, TableTransaction} from '../src/ports/table.js';
import type {Model, Transition} from './check_model_explorer.js';
import {applyTransaction, type TableState} from './check_model_table.js';

/** Deliberate defects; the checker must detect each of them. */
export type LeaseDefect =
  | 'seen-at-request' // Observations are timed from the request for the row.
  | 'held-from-answer' // The lease is timed from the arrival of the answer.
  | 'no-fence' // Writes have no condition on the epoch.
  | 'release-keeps-epoch'
  | 'take-unconditional'
  | 'unknown-is-applied' // A lost answer is treated as success.
  | 'no-rate-error'; // Clock rates are assumed to be equal.

export interface LeaseBounds {
  readonly ticks: number;
  readonly sends: number;
  /** Answers that are delayed or lost. */
  readonly lateAnswers: number;
  /** Reads during which others take steps. */
  readonly slowReads: number;
  readonly crashes: number;
}

interface Send {
  readonly kind: 'take' | 'renew' | 'release' | 'work';
  readonly by: number;
  /** Distinguishes answers to an earlier incarnation of the process. */
  readonly incarnation: number;
  readonly sentAtMs: number;
  readonly name: string;
  readonly transaction: TableTransaction;
}

interface Answer {
  readonly to: Send;
  readonly isApplied: boolean;
}

interface Process {
  readonly incarnation: number;
  readonly held?: HeldRow;
  readonly heldUntilMs: number;
  readonly observation?: LeaseObservation;
  /** Row of the last read; null: read and absent. */
  readonly row?: TableRow | null;
  /** A slow read; without a row, the table hasn't served it yet. */
  readonly slowRead?: {
    readonly row?: TableRow | null;
    readonly askedAtMs: number;
  };
  /** The write whose answer is pending. */
  readonly pendingSend?: Send;
}

interface State {
  readonly tick: number;
  readonly table: TableState;
  readonly processes: readonly Process[];
  readonly network: readonly Send[];
  readonly answers: readonly Answer[];
  readonly sends: number;
  readonly lateAnswers: number;
  readonly slowReads: number;
  readonly crashes: number;
  /** Describes a write that applied although its writer was not the holder. */
  readonly badWrite?: string;
}

const NAME = 'p';
const KEY = getLeaseKey(NAME);
const WORK_KEY = 'work';
const HOSTS = ['a', 'b', 'c'];
/** Rates of the processes' clocks, within the rate error of true time. */
const RATES = [0.75, 1.25, 1];
const TIMING: LeaseTiming = {leaseMs: 2, clockRateError: 0.25};

function describeRow(row: TableRow | null | undefined): string {
  if (!row) return row === null ? '0' : '';
  const {holder, epoch, successor, attemptId} = parseLeaseRow(row);
  return `${row.version}${holder}${epoch}${successor}${attemptId}`;
}

function describeSent(sent: Send): string {
  const condition = sent.transaction.conditions.at(0);
  const on =
    condition?.kind === 'version'
      ? condition.version
      : condition?.kind === 'field'
        ? `=${condition.equals}`
        : 0;
  const write = sent.transaction.writes[0];
  const epoch = write.kind === 'put' ? write.value.epoch : '';
  return `${sent.kind}${sent.name}.${sent.incarnation}@${sent.sentAtMs}/${on}/${epoch}`;
}

function describeProcess(process: Process): string {
  const {
    incarnation,
    held,
    heldUntilMs,
    observation,
    row,
    slowRead,
    pendingSend,
  } = process;
  return [
    incarnation,
    held && `${held.version}${held.record.epoch}${held.record.holder}`,
    held && heldUntilMs,
    observation && `${observation.version}@${observation.firstSeenMs}`,
    describeRow(row),
    slowRead && `${describeRow(slowRead.row)}@${slowRead.askedAtMs}`,
    pendingSend?.name,
  ].join();
}

function getKey(state: State): string {
  return [
    state.tick,
    state.sends,
    state.lateAnswers,
    state.slowReads,
    state.crashes,
    state.badWrite,
    describeRow(state.table[KEY]),
    ...state.processes.map(describeProcess),
    state.network.map(describeSent).sort().join(),
    state.answers
      .map(({to, isApplied}) => `${describeSent(to)}${isApplied}`)
      .join(),
  ].join('|');
}

export function createLeaseModel(
  bounds: LeaseBounds,
  startsHeld: boolean,
  defect?: LeaseDefect,
): Model<State> {
  const timing =
    defect === 'no-rate-error' ? {...TIMING, clockRateError: 0} : TIMING;
  const nowOf = (state: State, by: number) => state.tick * RATES[by];
  const isHeldNow = (state: State, by: number) => {
    const {held, heldUntilMs} = state.processes[by];
    return held !== undefined && nowOf(state, by) < heldUntilMs;
  };

  function withProcess(state: State, by: number, change: Partial<Process>) {
    const processes = state.processes.map((process, index) =>
      index === by ? {...process, ...change} : process,
    );
    return {...state, processes};
  }

  function send(
    state: State,
    by: number,
    kind: Send['kind'],
    transaction: TableTransaction,
  ): State {
    const {incarnation} = state.processes[by];
    const sentAtMs = nowOf(state, by);
    const name = `${HOSTS[by]}${state.sends}`;
    const sent: Send = {kind, by, incarnation, sentAtMs, name, transaction};
    const network = [...state.network, sent];
    const next = {...state, network, sends: state.sends + 1};
    if (kind === 'work') return next;
    const change: Partial<Process> = {pendingSend: sent};
    // The holder gives up the lease before it sends the release.
    if (kind === 'release') Object.assign(change, {held: undefined});
    return withProcess(next, by, change);
  }

  function getTake(row: TableRow | null, by: number, attemptId: string) {
    const host = HOSTS[by];
    const take = buildTake(NAME, row ?? undefined, host, attemptId, 0);
    if (defect !== 'take-unconditional') return take;
    return {...take, conditions: []};
  }

  function getRelease(held: HeldRow, successor: string, attemptId: string) {
    const release = buildRelease(held, successor, attemptId);
    if (defect !== 'release-keeps-epoch') return release;
    const {epoch} = held.record;
    const writes = release.writes.map(write =>
      write.kind === 'put' ? {...write, value: {...write.value, epoch}} : write,
    );
    return {...release, writes};
  }

  function getWork(held: HeldRow, attemptId: string): TableTransaction {
    const {condition} = createFence(NAME, held.record.epoch);
    const conditions = defect === 'no-fence' ? [] : [condition];
    const value = {writer: held.record.holder};
    return {
      attemptId,
      conditions,
      writes: [{kind: 'put', key: WORK_KEY, value}],
    };
  }

  /** Updates the process after the answer that its write was applied. */
  function applySuccess(state: State, sent: Send): State {
    const process = state.processes[sent.by];
    const isAnswerToNow =
      process.incarnation === sent.incarnation &&
      process.pendingSend?.name === sent.name;
    if (!isAnswerToNow) return state;
    const answered = {pendingSend: undefined, row: undefined};
    if (sent.kind === 'release') return withProcess(state, sent.by, answered);
    const write = sent.transaction.writes[0];
    const condition = sent.transaction.conditions.at(0);
    if (write.kind !== 'put') return state;
    const before = condition?.kind === 'version' ? condition.version : 0;
    const row = {key: KEY, version: before + 1, value: write.value};
    const fromMs =
      defect === 'held-from-answer' ? nowOf(state, sent.by) : sent.sentAtMs;
    const {version} = row;
    const held = {name: NAME, version, record: parseLeaseRow(row)};
    const heldUntilMs = getHeldUntilMs(fromMs, timing);
    return withProcess(state, sent.by, {...answered, held, heldUntilMs});
  }

  function applyRejection(state: State, sent: Send): State {
    const process = state.processes[sent.by];
    if (
      process.incarnation !== sent.incarnation ||
      process.pendingSend?.name !== sent.name
    ) {
      return state;
    }
    const change = {pendingSend: undefined, row: undefined, held: undefined};
    return withProcess(state, sent.by, change);
  }

  function checkWorkWrite(state: State, sent: Send): State {
    const row = state.table[KEY] as TableRow | undefined;
    const holder = row && parseLeaseRow(row).holder;
    if (holder === HOSTS[sent.by]) return state;
    const badWrite = `${HOSTS[sent.by]} wrote while ${holder || 'none'} held`;
    return {...state, badWrite};
  }

  function deliver(state: State, index: number, isAnswered: boolean): State {
    const sent = state.network[index];
    const network = state.network.filter((_, i) => i !== index);
    const table = applyTransaction(state.table, sent.transaction);
    let next: State = {...state, network, table: table ?? state.table};
    if (sent.kind === 'work') return table ? checkWorkWrite(next, sent) : next;
    const answer = {to: sent, isApplied: table !== undefined};
    if (isAnswered) return receiveAnswer(next, answer);
    const answers = [...next.answers, answer];
    next = {...next, answers, lateAnswers: next.lateAnswers + 1};
    return next;
  }

  const receiveAnswer = (state: State, {to, isApplied}: Answer): State =>
    isApplied ? applySuccess(state, to) : applyRejection(state, to);

  function stopWaiting(state: State, by: number): State {
    const {pendingSend} = state.processes[by];
    if (defect === 'unknown-is-applied' && pendingSend) {
      return applySuccess(state, pendingSend);
    }
    return withProcess(state, by, {pendingSend: undefined, row: undefined});
  }

  const readTable = (state: State): TableRow | null =>
    (state.table[KEY] as TableRow | undefined) ?? null;

  function receiveRead(
    state: State,
    by: number,
    row: TableRow | null,
    askedAtMs: number,
  ): State {
    const {observation} = state.processes[by];
    const seenAtMs =
      defect === 'seen-at-request' ? askedAtMs : nowOf(state, by);
    const seen = row ? observe(observation, row.version, seenAtMs) : undefined;
    return withProcess(state, by, {
      slowRead: undefined,
      row,
      observation: seen,
    });
  }

  function readSteps(state: State, by: number): Transition<State>[] {
    const {slowRead, held, pendingSend} = state.processes[by];
    const host = HOSTS[by];
    if (slowRead) {
      const row = slowRead.row === undefined ? readTable(state) : slowRead.row;
      const next = receiveRead(state, by, row, slowRead.askedAtMs);
      return [{label: `${host} receives its read`, next}];
    }
    if (held || pendingSend) return [];
    const nowMs = nowOf(state, by);
    const row = readTable(state);
    const steps = [
      {label: `${host} reads`, next: receiveRead(state, by, row, nowMs)},
    ];
    if (state.slowReads >= bounds.slowReads) return steps;
    const slow = {...state, slowReads: state.slowReads + 1};
    steps.push(
      {
        label: `${host} asks; the table answers late`,
        next: withProcess(slow, by, {slowRead: {row, askedAtMs: nowMs}}),
      },
      {
        label: `${host} asks; the table serves late`,
        next: withProcess(slow, by, {slowRead: {askedAtMs: nowMs}}),
      },
    );
    return steps;
  }

  function canTake(state: State, by: number): boolean {
    const {row, observation, held, pendingSend} = state.processes[by];
    if (row === undefined || pendingSend) return false;
    if (held && isHeldNow(state, by)) return false;
    if (row === null) return true;
    const record = parseLeaseRow(row);
    const atMs = getTakeableAtMs(record, observation!, HOSTS[by], timing);
    return nowOf(state, by) >= atMs;
  }

  function processSteps(state: State, by: number): Transition<State>[] {
    const host = HOSTS[by];
    const process = state.processes[by];
    const steps = readSteps(state, by);
    const add = (label: string, next: State) =>
      steps.push({label: `${host} ${label}`, next});
    const canSend = state.sends < bounds.sends;
    const attemptId = `${host}${state.sends}`;
    if (canSend && canTake(state, by)) {
      const take = getTake(process.row ?? null, by, attemptId);
      add('sends a take', send(state, by, 'take', take));
    }
    if (canSend && process.held && isHeldNow(state, by)) {
      const {held} = process;
      add('sends a write', send(state, by, 'work', getWork(held, attemptId)));
      if (!process.pendingSend) {
        const renewal = buildRenewal([held], attemptId);
        add('sends a renewal', send(state, by, 'renew', renewal));
        const successor = HOSTS[(by + 1) % HOSTS.length];
        const release = getRelease(held, successor, attemptId);
        add('sends a release', send(state, by, 'release', release));
      }
    }
    if (process.pendingSend) add('stops waiting', stopWaiting(state, by));
    if (state.crashes < bounds.crashes) {
      const crashed = {incarnation: process.incarnation + 1, heldUntilMs: 0};
      const processes = state.processes.map((p, i) => (i === by ? crashed : p));
      add('crashes', {...state, processes, crashes: state.crashes + 1});
    }
    return steps;
  }

  function networkSteps(state: State): Transition<State>[] {
    return state.network.flatMap((sent, index) => {
      const steps = [
        {
          label: `${sent.name} ${sent.kind} arrives`,
          next: deliver(state, index, true),
        },
      ];
      if (state.lateAnswers < bounds.lateAnswers && sent.kind !== 'work') {
        steps.push({
          label: `${sent.name} ${sent.kind} arrives, its answer is late`,
          next: deliver(state, index, false),
        });
      }
      return steps;
    });
  }

  /** Advances time; processes drop leases that expired by their own clock. */
  function tick(state: State): State {
    const next = {...state, tick: state.tick + 1};
    const processes = next.processes.map((process, by) =>
      process.held && !process.pendingSend && !isHeldNow(next, by)
        ? {...process, held: undefined}
        : process,
    );
    return {...next, processes};
  }

  function getInitial(): State {
    const idle: Process = {incarnation: 0, heldUntilMs: 0};
    const empty: State = {
      tick: 0,
      table: {},
      processes: [idle, idle, idle],
      network: [],
      answers: [],
      sends: 0,
      lateAnswers: 0,
      slowReads: 0,
      crashes: 0,
    };
    if (!startsHeld) return empty;
    const take = buildTake(NAME, undefined, HOSTS[0], 'start', 0);
    const table = applyTransaction({}, take)!;
    const record = parseLeaseRow(table[KEY]);
    const held = {name: NAME, version: 1, record};
    const heldUntilMs = getHeldUntilMs(0, timing);
    return withProcess({...empty, table}, 0, {held, heldUntilMs});
  }

  return {
    initial: getInitial(),
    getKey,
    transitions(state) {
      const steps = HOSTS.flatMap((_, by) => processSteps(state, by));
      steps.push(...networkSteps(state));
      state.answers.forEach((answer, index) => {
        const answers = state.answers.filter((_, i) => i !== index);
        const next = receiveAnswer({...state, answers}, answer);
        steps.push({label: `answer to ${answer.to.name} arrives`, next});
      });
      if (state.tick < bounds.ticks)
        steps.push({label: 'tick', next: tick(state)});
      return steps;
    },
    findViolation(state) {
      if (state.badWrite) return state.badWrite;
      const holders = HOSTS.filter((_, by) => isHeldNow(state, by));
      if (holders.length > 1) return `${holders.join(' and ')} both hold`;
      return undefined;
    },
  };
}
