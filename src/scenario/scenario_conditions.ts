/** The conditions of `until`, checked on the state of the stand-ins. */

import type {EngineCore} from '../../stand_ins/engine_core.js';
import type {StatementArguments} from './scenario_parser.js';
import type {World} from './scenario_world.js';

export interface ConditionDefinition {
  readonly pattern: string;
  holds(args: StatementArguments, world: World): boolean;
}

function getEngine(args: StatementArguments, world: World): EngineCore {
  return world.engines.get(args.getText(0))!;
}

function holdsSession(
  kind: 'prefill-result' | 'import' | 'decode',
): ConditionDefinition['holds'] {
  return (args, world) =>
    getEngine(args, world)
      .stats()
      .sessions.some(session => session.kind === kind);
}

export const conditionDefinitions: readonly ConditionDefinition[] = [
  {
    pattern: '<request> has <count> tokens',
    holds: (args, world) =>
      world.requests.get(args.getText(0))!.tokens.length >= args.getCount(1),
  },
  {
    pattern: '<request> has ended',
    holds: (args, world) =>
      world.requests.get(args.getText(0))!.outcome !== undefined,
  },
  {
    pattern: '<engine> computes a prefill',
    holds: (args, world) =>
      getEngine(args, world)
        .stats()
        .runs.some(run => run.prefillsStarted > run.prefillsFinished),
  },
  {
    pattern: '<engine> holds a prefill',
    holds: (args, world) =>
      getEngine(args, world).stats().prefillsFinished > 0 &&
      holdsSession('prefill-result')(args, world),
  },
  {pattern: '<engine> holds an import', holds: holdsSession('import')},
  {pattern: '<engine> holds a decode', holds: holdsSession('decode')},
  {
    pattern: '<engine> is free',
    holds: (args, world) => getEngine(args, world).stats().kvUsedBytes === 0,
  },
  {
    pattern: '<ledger> has run <count>',
    holds: (args, world) =>
      world.ledgers.get(args.getText(0))!.stats().runCount >= args.getCount(1),
  },
  {
    pattern: 'platform has rows <count>',
    holds: (args, world) => world.platform.stats().rowCount >= args.getCount(0),
  },
];
