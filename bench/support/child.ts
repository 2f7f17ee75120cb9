/** Starts child processes for the benches. Production code starts none. */

import {spawn, type ChildProcess} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';

const PROGRAM = fileURLToPath(
  new URL('../../src/cli/main.js', import.meta.url),
);
/** Length of a clock tick on Linux, from `sysconf(_SC_CLK_TCK)`. */
const TICK_MS = 10;
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;
const MAX_OUTPUT_CHARS = 200_000;

export interface Child {
  readonly name: string;
  readonly pid: number;
  /** Exit code, or 128 if a signal ended the process. */
  readonly ended: Promise<number>;
  hasEnded(): boolean;
  output(): string;
  kill(signal: NodeJS.Signals): void;
  /** CPU time used so far, in user and system mode. */
  cpuMs(): number;
}

const running = new Set<ChildProcess>();
process.on('exit', () => {
  for (const child of running) child.kill('SIGKILL');
});

function startNode(
  name: string,
  args: readonly string[],
  env: Readonly<Record<string, string>>,
): Child {
  const child = spawn(process.execPath, [...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: {...process.env, ...env},
  });
  let output = '';
  let isEnded = false;
  const appendOutput = (chunk: Buffer) => {
    output = (output + chunk.toString()).slice(-MAX_OUTPUT_CHARS);
  };
  running.add(child);
  child.stdout.on('data', appendOutput);
  child.stderr.on('data', appendOutput);
  const pid = child.pid!;
  return {
    name,
    pid,
    ended: new Promise(resolve =>
      child.on('exit', (code, signal) => {
        isEnded = true;
        running.delete(child);
        resolve(code ?? (signal ? 128 : 0));
      }),
    ),
    hasEnded: () => isEnded,
    output: () => output,
    kill: signal => void child.kill(signal),
    cpuMs() {
      const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
      const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
      const user = Number(fields[USER_TICKS_FIELD]);
      const system = Number(fields[SYSTEM_TICKS_FIELD]);
      return (user + system) * TICK_MS;
    },
  };
}

/** Starts the command line program with `args`. */
export function startProgram(
  name: string,
  args: readonly string[],
  env: Readonly<Record<string, string>> = {},
): Child {
  return startNode(name, [PROGRAM, ...args], env);
}

/** Starts a compiled module of a bench. */
export function startModule(
  name: string,
  file: URL,
  args: readonly string[],
): Child {
  return startNode(name, [fileURLToPath(file), ...args], {});
}
