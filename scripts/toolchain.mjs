/** Steps that the other scripts share: install, compile, run. */

import {spawn, spawnSync} from 'node:child_process';
import {existsSync} from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';

export const root = path.dirname(path.dirname(fileURLToPath(import.meta.url)));

/** Runs a command to its end with our standard streams; exits if it fails. */
export function runOrExit(command, args) {
  const result = spawnSync(command, args, {cwd: root, stdio: 'inherit'});
  if (result.status !== 0) process.exit(result.status ?? 1);
}

/** Installs the declared packages when there are none. */
export function ensureInstalled() {
  if (existsSync(path.join(root, 'node_modules', 'typescript'))) return;
  runOrExit('npm', ['ci', '--no-audit', '--no-fund', '--loglevel=error']);
}

/** Compiles all TypeScript into `build/`; only what changed. */
export function ensureCompiled() {
  ensureInstalled();
  runOrExit(process.execPath, [
    path.join(root, 'node_modules', 'typescript', 'bin', 'tsc'),
    '-p',
    root,
  ]);
}

const STOP_TIMEOUT_MS = 10_000;
const children = new Set();
let isStopping = false;

/**
 * Starts the compiled program with `args`. Output is shown with the name
 * before each line, or kept for `output()` when `quiet`.
 */
export function startProcess(name, args, {env = {}, quiet = false} = {}) {
  const main = path.join(root, 'build', 'src', 'cli', 'main.js');
  const child = spawn(process.execPath, [main, ...args], {
    cwd: root,
    env: {...process.env, ...env},
    stdio: ['ignore', 'pipe', 'pipe'],
    // Ctrl-C reaches the whole group of the terminal; the script stops its
    // processes itself, in order, so they stand in groups of their own.
    detached: true,
  });
  let output = '';
  const show = chunk => {
    output += chunk;
    if (!quiet)
      process.stdout.write(String(chunk).replace(/^(?=.)/gm, `[${name}] `));
  };
  child.stdout.on('data', show);
  child.stderr.on('data', show);
  children.add(child);
  const ended = new Promise(resolve => {
    child.once('exit', code => {
      children.delete(child);
      const isFailure = code !== 0 && !isStopping;
      if (quiet && isFailure) console.error(`[${name}] ended:\n${output}`);
      resolve(code);
    });
  });
  return {child, ended, output: () => output};
}

/** Ends every process that `startProcess` started and that still runs. */
export async function stopProcesses() {
  isStopping = true;
  const exits = [...children].map(child => {
    const exit = new Promise(resolve => child.once('exit', resolve));
    child.kill('SIGTERM');
    return exit;
  });
  const timer = setTimeout(() => {
    for (const child of children) child.kill('SIGKILL');
  }, STOP_TIMEOUT_MS);
  await Promise.all(exits);
  clearTimeout(timer);
}
