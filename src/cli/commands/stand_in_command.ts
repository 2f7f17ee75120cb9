/**
 * The commands `stand-in platform`, `stand-in engine` and `stand-in service`,
 * which run small replacements of the external systems for local trials.
 */

import {
  runStandIn,
  StandInUsageError,
  type StandInKind,
} from '../../../stand_ins/command.js';
import {exitCodes, UsageError, type Command} from '../command.js';

function createStandInCommand(kind: StandInKind, summary: string): Command {
  return {
    name: `stand-in ${kind}`,
    summary,
    positionals: '[FLAG...]',
    flags: {},
    takesRawArguments: true,
    async run(args) {
      try {
        await runStandIn(kind, args.positionals);
        return exitCodes.done;
      } catch (error) {
        if (!(error instanceof StandInUsageError)) throw error;
        throw new UsageError(error.message);
      }
    },
  };
}

export const standInCommands: readonly Command[] = [
  createStandInCommand('platform', 'Run a small platform, for tries.'),
  createStandInCommand('engine', 'Run a small model engine, for tries.'),
  createStandInCommand('service', 'Run a small plain service, for tries.'),
];
