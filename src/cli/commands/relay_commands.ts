/** Commands for the relay on the users' platform. */

import {exitCodes, UsageError, type Command} from '../command.js';
import {findStory, formatStory, parseLogLine} from '../request_story.js';
import {holdSignals} from '../held_signals.js';
import {RELAY_SUMMARY, runRelayCommand} from './relay_command.js';

/** Its words are parsed by the command itself, which `main` also calls. */
export const relay: Command = {
  name: 'relay',
  summary: RELAY_SUMMARY,
  positionals: '--host-file FILE',
  flags: {},
  takesRawArguments: true,
  run: args => runRelayCommand(args.positionals, holdSignals(process)),
};

export const explain: Command = {
  name: 'explain',
  summary: 'Show what became of one request, from the logs of many hosts.',
  positionals: 'ID FILE…',
  flags: {},
  async run(args, host) {
    const [requestId, ...files] = args.positionals;
    if (!requestId || files.length === 0) {
      throw new UsageError('explain needs an id and at least one file.');
    }
    const lines = files
      .flatMap(file => host.readFile(file).split('\n'))
      .flatMap(text => parseLogLine(text) ?? []);
    const story = findStory(lines, requestId);
    if (story.length === 0) {
      host.writeError(`No line of ${lines.length} names ${requestId}.\n`);
      return exitCodes.refused;
    }
    host.writeOut(formatStory(story));
    return exitCodes.done;
  },
};
