/** The command `scenario run`, which runs test scenarios in virtual time. */

import {runScenario} from '../../scenario/scenario_runner.js';
import {exitCodes, jsonFlag, UsageError, type Command} from '../command.js';

export const scenarioRun: Command = {
  name: 'scenario run',
  summary: 'Run scenario files in virtual time and print their traces.',
  positionals: 'FILE...',
  flags: {...jsonFlag},
  async run(args, host) {
    if (args.positionals.length === 0) {
      throw new UsageError('Name at least one scenario file.');
    }
    let code: number = exitCodes.done;
    for (const file of args.positionals) {
      const text = host.readFile(file);
      const {isPassed, trace, diagnostics} = await runScenario(
        {file, text},
        {hasTimes: true},
      );
      if (!isPassed) code = exitCodes.refused;
      if (args.isSet('json')) {
        const result = {file, isPassed, trace, diagnostics};
        host.writeOut(`${JSON.stringify(result)}\n`);
      } else {
        host.writeOut(`${file}\n${trace}\n`);
      }
    }
    return code;
  },
};
