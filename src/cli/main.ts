/** Entry point of the program `corianderbend`. */

import {catchSignals} from './early_signals.js';

const words: readonly string[] = process.argv.slice(2);
/** First of all: until then, any signal ends the process. */
const signals = words[0] === 'relay' ? catchSignals(process) : undefined;

/**
 * Longest wait for output to be flushed before the process exits after a
 * command. A relay must exit before the platform kills it.
 */
const FLUSH_TIMEOUT_MS = 100;
const EXIT_FAILED = 1;

/** Processes whose work goes on if nobody reads their output, or a disk is full. */
const SERVING_COMMANDS: readonly string[] = ['relay', 'serve'];

function handleOutputErrors(command: string): void {
  const {stdout, stderr} = process;
  if (SERVING_COMMANDS.includes(command)) {
    for (const stream of [stdout, stderr]) stream.on('error', () => undefined);
    return;
  }
  // As in `corianderbend help | head -1`.
  stdout.on('error', (error: NodeJS.ErrnoException) => {
    if (error.code !== 'EPIPE') throw error;
    process.exit(0);
  });
}

/**
 * Runs the command that the arguments name. Commands are imported lazily, so
 * that a relay process does not load the modules of all other commands.
 */
async function run(): Promise<number> {
  handleOutputErrors(words[0]);
  if (signals) {
    const {bufferSignals} = await import('./signal_buffer.js');
    const signalBuffer = bufferSignals(signals, undefined, signals.sinceMs);
    const {runRelayCommand} = await import('./commands/relay_command.js');
    return runRelayCommand(words.slice(1), signalBuffer);
  }
  const {runCommandLine} = await import('./command_line.js');
  const {commands} = await import('./commands.js');
  const {createProcessHost} = await import('./process_host.js');
  return runCommandLine(words, commands, createProcessHost());
}

/**
 * Exits once the output is flushed. The exit is explicit because pooled
 * connections and their timers would keep the process alive for half a minute.
 */
function exitWhenFlushed(code: number): void {
  process.exitCode = code;
  setTimeout(() => process.exit(), FLUSH_TIMEOUT_MS).unref();
  process.stdout.write('', () => {
    process.stderr.write('', () => process.exit());
  });
}

run().then(exitWhenFlushed, (error: unknown) => {
  // Open sockets would keep a process alive that failed to start and serves
  // nothing. It must exit to be restarted.
  const reason = error instanceof Error ? error.stack : String(error);
  process.stderr.write(`corianderbend: ${reason}\n`);
  process.exit(EXIT_FAILED);
});
