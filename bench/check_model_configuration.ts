/**
 * Model of configuration changes: two operators change revision 0 and a third
 * changes revision 1, over a network that delays, loses and reorders messages.
 * After a crash an operator repeats its request with the same change id.
 *
 * Invariants checked in each state: a revision never changes, an accepted
 * change is the stored revision, a lost change is not, and a host never
 * returns to an older revision.
 */

import {
  buildApply,
  getRevisionKey,
  judgeChange,
  mayAdopt,
  parseRevisionRow,
  type ConfigurationChange,
} from '../src/coordination/configuration_rules.js';
import type {TableRow, TableTransaction} from '../src/ports/table.js';
import type {Model, Transition} from './check_model_explorer.js';
import {applyTransaction, type TableState} from './check_model_table.js';

/** Deliberate defects; the checker must detect each of them. */
export type ConfigurationDefect =
  | 'rejected-is-lost' // Reports "lost" without checking who made the stored revision.
  | 'unknown-is-lost'
  | 'unknown-is-accepted'
  | 'no-conditions'
  | 'adopt-any';

export interface ConfigurationBounds {
  readonly sends: number;
  readonly lateAnswers: number;
  readonly crashes: number;
}

type Stage = 'idle' | 'waiting' | 'must-read' | 'accepted' | 'lost';

interface Operator {
  readonly stage: Stage;
  /** Attempt id of the send whose answer is pending. */
  readonly pendingAttempt: string;
}

interface Send {
  readonly by: number;
  readonly attempt: string;
  readonly transaction: TableTransaction;
}

interface Answer {
  readonly by: number;
  readonly attempt: string;
  readonly isApplied: boolean;
}

interface State {
  readonly table: TableState;
  readonly operators: readonly Operator[];
  readonly network: readonly Send[];
  readonly answers: readonly Answer[];
  readonly sends: number;
  readonly lateAnswers: number;
  readonly crashes: number;
  readonly adoptedRevision: number;
  readonly problem?: string;
}

const NAMES = ['kati', 'mart', 'anu'];
const changes: readonly ConfigurationChange[] = NAMES.map((author, index) => ({
  author,
  basedOn: index === 2 ? 1 : 0,
  changeId: `change-${author}`,
  comment: '',
  body: `by: ${author}`,
}));
const REVISIONS = [1, 2];

export function createConfigurationModel(
  bounds: ConfigurationBounds,
  defect?: ConfigurationDefect,
): Model<State> {
  const rowOf = (table: TableState, revision: number) =>
    table[getRevisionKey(revision)] as TableRow | undefined;
  const ownerOf = (table: TableState, revision: number) => {
    const row = rowOf(table, revision);
    return row && parseRevisionRow(row)?.changeId;
  };

  function withOperator(state: State, by: number, operator: Operator): State {
    const operators = state.operators.map((o, i) => (i === by ? operator : o));
    return {...state, operators};
  }

  const setStage = (state: State, by: number, stage: Stage) =>
    withOperator(state, by, {stage, pendingAttempt: ''});

  function send(state: State, by: number): State {
    const attempt = `${NAMES[by]}${state.sends}`;
    const built = buildApply(changes[by], undefined, attempt, 0);
    const transaction =
      defect === 'no-conditions' ? {...built, conditions: []} : built;
    const network = [...state.network, {by, attempt, transaction}];
    const next = {...state, network, sends: state.sends + 1};
    return withOperator(next, by, {stage: 'waiting', pendingAttempt: attempt});
  }

  function deliver(state: State, index: number, isLate: boolean): State {
    const {by, attempt, transaction} = state.network[index];
    const network = state.network.filter((_, i) => i !== index);
    const applied = applyTransaction(state.table, transaction);
    const table = applied ?? state.table;
    const isChanged = REVISIONS.some(
      n =>
        rowOf(state.table, n) && ownerOf(state.table, n) !== ownerOf(table, n),
    );
    const problem = isChanged ? 'a revision was overwritten' : state.problem;
    const next = {...state, network, table, problem};
    const answer = {by, attempt, isApplied: applied !== undefined};
    if (!isLate) return receive(next, answer);
    const answers = [...state.answers, answer];
    return {...next, answers, lateAnswers: state.lateAnswers + 1};
  }

  function receive(state: State, {by, attempt, isApplied}: Answer): State {
    const {stage, pendingAttempt} = state.operators[by];
    if (stage !== 'waiting' || pendingAttempt !== attempt) return state;
    if (isApplied) return setStage(state, by, 'accepted');
    const isTreatedAsLost = defect === 'rejected-is-lost';
    return setStage(state, by, isTreatedAsLost ? 'lost' : 'must-read');
  }

  function stopWaiting(state: State, by: number): State {
    if (defect === 'unknown-is-lost') return setStage(state, by, 'lost');
    if (defect === 'unknown-is-accepted') {
      return setStage(state, by, 'accepted');
    }
    return setStage(state, by, 'must-read');
  }

  function readBack(state: State, by: number): State {
    const row = rowOf(state.table, changes[by].basedOn + 1);
    const verdict = judgeChange(changes[by], row);
    const stage = verdict.kind === 'undecided' ? 'idle' : verdict.kind;
    return setStage(state, by, stage);
  }

  function operatorSteps(state: State, by: number): Transition<State>[] {
    const name = NAMES[by];
    const {stage} = state.operators[by];
    const {basedOn} = changes[by];
    const steps: Transition<State>[] = [];
    const add = (label: string, next: State) =>
      steps.push({label: `${name} ${label}`, next});
    const hasBase = basedOn === 0 || rowOf(state.table, basedOn);
    if (stage === 'idle' && hasBase && state.sends < bounds.sends) {
      add('sends its change', send(state, by));
    }
    if (stage === 'waiting') add('stops waiting', stopWaiting(state, by));
    if (stage === 'must-read') add('reads back', readBack(state, by));
    const isOpen = stage === 'waiting' || stage === 'must-read';
    if (isOpen && state.crashes < bounds.crashes) {
      const crashed = {...state, crashes: state.crashes + 1};
      add('crashes and asks again', setStage(crashed, by, 'idle'));
    }
    return steps;
  }

  function networkSteps(state: State): Transition<State>[] {
    const steps: Transition<State>[] = [];
    state.network.forEach(({attempt}, index) => {
      const label = `${attempt} arrives`;
      steps.push({label, next: deliver(state, index, false)});
      if (state.lateAnswers >= bounds.lateAnswers) return;
      const late = `${label}, its answer is late`;
      steps.push({label: late, next: deliver(state, index, true)});
    });
    state.answers.forEach((answer, index) => {
      const answers = state.answers.filter((_, i) => i !== index);
      const next = receive({...state, answers}, answer);
      steps.push({label: `answer to ${answer.attempt} arrives`, next});
    });
    return steps;
  }

  /** Announced revisions reach a host in any order, possibly repeatedly. */
  function hostSteps(state: State): Transition<State>[] {
    return REVISIONS.filter(n => rowOf(state.table, n))
      .filter(n => defect === 'adopt-any' || mayAdopt(state.adoptedRevision, n))
      .map(n => {
        const problem =
          n < state.adoptedRevision
            ? `a host went back to ${n}`
            : state.problem;
        return {
          label: `the host adopts ${n}`,
          next: {...state, adoptedRevision: n, problem},
        };
      });
  }

  function findWrongOutcome(state: State): string | undefined {
    for (const [by, {stage}] of state.operators.entries()) {
      const {changeId, basedOn} = changes[by];
      const isThere = ownerOf(state.table, basedOn + 1) === changeId;
      if (stage === 'accepted' && !isThere) return `${NAMES[by]} not accepted`;
      if (stage === 'lost' && isThere) return `${NAMES[by]} did not lose`;
    }
    return undefined;
  }

  const idle: Operator = {stage: 'idle', pendingAttempt: ''};
  return {
    initial: {
      table: {},
      operators: NAMES.map(() => idle),
      network: [],
      answers: [],
      sends: 0,
      lateAnswers: 0,
      crashes: 0,
      adoptedRevision: 0,
    },
    getKey: state =>
      [
        REVISIONS.map(n => ownerOf(state.table, n)).join(),
        ...state.operators.map(o => o.stage + o.pendingAttempt),
        state.network
          .map(sent => sent.attempt)
          .sort()
          .join(),
        state.answers
          .map(a => a.attempt + String(a.isApplied))
          .sort()
          .join(),
        state.sends,
        state.lateAnswers,
        state.crashes,
        state.adoptedRevision,
        state.problem,
      ].join('|'),
    transitions: state => [
      ...NAMES.flatMap((_, by) => operatorSteps(state, by)),
      ...networkSteps(state),
      ...hostSteps(state),
    ],
    findViolation: state => state.problem ?? findWrongOutcome(state),
  };
}
