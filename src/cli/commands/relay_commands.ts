/** The commands `relay` and `explain`. */

import {exitCodes, UsageError, type Command} from '../command.js';
import {
  findTimeline,
  formatTimeline,
  parseLogLine,
} from '../request_timeline.js';
import {bufferSignals} from '../signal_buffer.js';
import {RELAY_SUMMARY, runRelayCommand} from './relay_command.js';

/** `runRelayCommand` parses the arguments, since `main` also calls it. */
export const relay: Command = {
  name: 'relay',
  summary: RELAY_SUMMARY,
  positionals: '--host-file FILE',
  flags: {},
  takesRawArguments: true,
  run: args => runRelayCommand(args.positionals, bufferSignals(process)),
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
    const timeline = findTimeline(lines, requestId);
    if (timeline.length === 0) {
      host.writeError(`No line of ${lines.length} names ${requestId}.\n`);
      return exitCodes.refused;
    }
    host.writeOut(formatTimeline(timeline));
    return exitCodes.done;
  },
};
