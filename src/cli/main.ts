/** The program `corianderbend`. */

import {runCommandLine} from './command_line.js';
import {commands} from './commands.js';
import {createProcessHost} from './process_host.js';

/**
 * A command that has ended may leave pooled connections and their timers,
 * which would keep the process alive for half a minute. What it has written
 * gets this long to go out.
 */
const EXIT_GRACE_MS = 300;

/** A pipe that the reader closed, as in `corianderbend help | head -1`. */
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  if (error.code !== 'EPIPE') throw error;
  process.exit(0);
});

void runCommandLine(process.argv.slice(2), commands, createProcessHost()).then(
  code => {
    process.exitCode = code;
    setTimeout(() => process.exit(), EXIT_GRACE_MS).unref();
  },
);
