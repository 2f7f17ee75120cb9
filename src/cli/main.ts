/** The program `corianderbend`. */

import {holdSignals} from './held_signals.js';

/**
 * A command that has ended may leave pooled connections and their timers,
 * which would keep the process alive for half a minute. What it has written
 * gets this long to go out.
 */
const EXIT_GRACE_MS = 300;
const EXIT_FAILED = 1;

/** A pipe that the reader closed, as in `corianderbend help | head -1`. */
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  if (error.code !== 'EPIPE') throw error;
  process.exit(0);
});

/**
 * The relay loads only what it serves with; all other commands, with their
 * parsers and checkers, load when one of them is called.
 */
async function run(words: readonly string[]): Promise<number> {
  if (words[0] === 'relay') {
    const signals = holdSignals(process);
    const {runRelayCommand} = await import('./commands/relay_command.js');
    return runRelayCommand(words.slice(1), signals);
  }
  const {runCommandLine} = await import('./command_line.js');
  const {commands} = await import('./commands.js');
  const {createProcessHost} = await import('./process_host.js');
  return runCommandLine(words, commands, createProcessHost());
}

function end(code: number): void {
  process.exitCode = code;
  setTimeout(() => process.exit(), EXIT_GRACE_MS).unref();
}

run(process.argv.slice(2)).then(end, (error: unknown) => {
  // One that could not start must end, so that it is started again: with open
  // sockets it would live on and serve nobody.
  const reason = error instanceof Error ? error.stack : String(error);
  process.stderr.write(`corianderbend: ${reason}\n`);
  process.exit(EXIT_FAILED);
});
