/**
 * Deliberate defects, each of which the fault harness must detect. They change
 * the effects of a state machine or the calls to a port.
 */

import {stepModel} from '../../src/core/request/model_machine.js';
import type {
  ModelEffect,
  ModelEvent,
  ModelState,
} from '../../src/core/request/model_types.js';
import {
  stepSingleRun,
  type SingleRunEffect,
} from '../../src/core/request/single_run_machine.js';
import type {EnginePort} from '../../src/ports/engine.js';
import type {JournalPort} from '../../src/ports/journal.js';
import type {TablePort} from '../../src/ports/table.js';
import type {Mutant} from './site_entry.js';

/** Removes or replaces effects of the model machine. */
function mutateModelEffects(
  change: (
    effect: ModelEffect,
    before: ModelState,
    event: ModelEvent,
  ) => readonly ModelEffect[],
): Pick<Mutant, 'machines'> {
  return {
    machines: {
      stepModel(facts, state, event) {
        const result = stepModel(facts, state, event);
        return {
          state: result.state,
          effects: result.effects.flatMap(effect =>
            change(effect, state, event),
          ),
        };
      },
    },
  };
}

function mutateSingleRunEffects(
  change: (effect: SingleRunEffect) => readonly SingleRunEffect[],
): Pick<Mutant, 'machines'> {
  return {
    machines: {
      stepSingleRun(facts, state, event) {
        const result = stepSingleRun(facts, state, event);
        return {state: result.state, effects: result.effects.flatMap(change)};
      },
    },
  };
}

/** Removes conditions from the journal's transactions. */
function dropConditions(
  isDropped: (key: string) => boolean,
): (table: TablePort) => TablePort {
  return table => ({
    read: (keys, timeoutMs) => table.read(keys, timeoutMs),
    scan: (prefix, options, timeoutMs) =>
      table.scan(prefix, options, timeoutMs),
    transact: (transaction, timeoutMs) =>
      table.transact(
        {
          ...transaction,
          conditions: transaction.conditions.filter(({key}) => !isDropped(key)),
        },
        timeoutMs,
      ),
  });
}

function mutateEnginePorts(
  change: (engine: EnginePort) => Partial<EnginePort>,
): Pick<Mutant, 'wrapEngines'> {
  return {
    wrapEngines: engines => address => {
      const engine = engines(address);
      return {...engine, ...change(engine)};
    },
  };
}

const isReleaseFrom =
  (effect: ModelEffect, from: ModelState['step']) => (state: ModelState) =>
    state.step === from && effect.kind === 'release';

export const mutants: readonly Mutant[] = [
  {
    name: 'dispatch before the intent is durable',
    wrapJournal: (journal: JournalPort): JournalPort => ({
      begin(request) {
        void journal.begin(request);
        return Promise.resolve({kind: 'proceed'});
      },
      end: (request, end) => journal.end(request, end),
    }),
  },
  {
    name: 'release forgotten when a request ends during the import',
    hasNoSweep: true,
    needsLivingEntries: true,
    ...mutateModelEffects((effect, before) =>
      isReleaseFrom(effect, 'importing')(before) ? [] : [effect],
    ),
  },
  {
    name: 'release forgotten when a request ends during the decode',
    hasNoSweep: true,
    needsLivingEntries: true,
    ...mutateModelEffects((effect, before) =>
      before.step === 'decoding' &&
      (effect.kind === 'release' || effect.kind === 'stop-stream')
        ? []
        : [effect],
    ),
  },
  {
    name: 'no sweep, so what a dead entry held stays',
    hasNoSweep: true,
  },
  {
    name: 'grant not given back on failure',
    ...mutateModelEffects(effect =>
      effect.kind === 'report' &&
      effect.progress.kind === 'ended' &&
      effect.progress.result === 'failed'
        ? []
        : [effect],
    ),
  },
  {
    name: 'late grant not given back',
    ...mutateModelEffects((effect, before, event) =>
      event.kind === 'grant-given' &&
      before.step === 'ended' &&
      effect.kind === 'report'
        ? []
        : [effect],
    ),
  },
  {
    name: 'refusal after dispatch called not run',
    ...mutateSingleRunEffects(effect =>
      effect.kind === 'fail' && effect.error.kind === 'outcome-unknown'
        ? [{...effect, error: {...effect.error, kind: 'no-upstream'}}]
        : [effect],
    ),
  },
  {
    name: 'failed prefill called not run',
    ...mutateModelEffects(effect =>
      effect.kind === 'fail' && effect.error.kind === 'upstream-failed'
        ? [{...effect, error: {...effect.error, kind: 'overloaded'}}]
        : [effect],
    ),
  },
  {
    name: 'retry after the first byte starts the answer anew',
    machines: {
      stepModel(facts, state, event) {
        const isRestarted =
          event.kind === 'retry-due' && state.deliveredTokens > 0;
        const from = isRestarted ? {...state, deliveredTokens: 0} : state;
        return stepModel(facts, from, event);
      },
    },
  },
  {
    name: 'repeated frames not dropped',
    machines: {
      stepModel(facts, state, event) {
        const isRepeated =
          event.kind === 'frame' &&
          event.frame.kind === 'tokens' &&
          state.step === 'decoding' &&
          event.frame.offset < state.deliveredTokens;
        if (!isRepeated) return stepModel(facts, state, event);
        const offset = state.deliveredTokens;
        const frame = {...event.frame, offset};
        return stepModel(facts, state, {...event, frame});
      },
    },
  },
  {
    name: 'a call that may not be repeated is sent again when it broke',
    machines: {
      stepSingleRun(facts, state, event) {
        const isBroken =
          event.kind === 'call-failed' && event.failure.mayHaveRun;
        if (!isBroken) return stepSingleRun(facts, state, event);
        const failure = {...event.failure, mayHaveRun: false};
        return stepSingleRun(facts, state, {...event, failure});
      },
    },
  },
  {
    name: 'journal writes not conditional on the epoch and the head',
    wrapTable: dropConditions(() => true),
  },
  {
    name: 'journal writes conditional on the epoch only',
    wrapTable: dropConditions(key => key.startsWith('journal')),
  },
  {
    name: 'an unknown write taken for applied',
    wrapTable: table => ({
      read: (keys, timeoutMs) => table.read(keys, timeoutMs),
      scan: (prefix, options, timeoutMs) =>
        table.scan(prefix, options, timeoutMs),
      async transact(transaction, timeoutMs) {
        const outcome = await table.transact(transaction, timeoutMs);
        return outcome.kind === 'unknown' ? {kind: 'applied'} : outcome;
      },
    }),
  },
  {
    name: 'the end of a call never recorded',
    ...mutateSingleRunEffects(effect =>
      effect.kind === 'end-intent' ? [] : [effect],
    ),
  },
  {
    name: 'key not set free when nothing was sent',
    ...mutateSingleRunEffects(effect =>
      effect.kind === 'end-intent' && effect.end.kind === 'released'
        ? []
        : [effect],
    ),
  },
  {
    name: 'cancel never sent to engines',
    hasNoSweep: true,
    needsLivingEntries: true,
    ...mutateEnginePorts(() => ({
      cancel: () => Promise.resolve('released' as const),
    })),
  },
];
