/** The commands `bench` and `version`. */

import {exitCodes, jsonFlag, type Command} from '../command.js';
import {version} from '../version.js';

export const bench: Command = {
  name: 'bench',
  summary: 'Say how the benches are run; they need the source tree.',
  positionals: '',
  flags: {},
  async run(_args, host) {
    host.writeError(
      "The benches are development commands: 'npm run bench' in the source tree lists them.\n",
    );
    return exitCodes.refused;
  },
};

export const showVersion: Command = {
  name: 'version',
  summary: 'Print the version.',
  positionals: '',
  flags: {...jsonFlag},
  async run(args, host) {
    host.writeOut(
      args.isSet('json')
        ? `${JSON.stringify({name: 'corianderbend', version})}\n`
        : `corianderbend ${version}\n`,
    );
    return exitCodes.done;
  },
};
