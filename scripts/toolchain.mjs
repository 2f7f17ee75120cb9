/** Functions shared by the scripts: install, compile, start and stop processes. */

import {spawn, spawnSync} from 'node:child_process';
import {existsSync} from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';

export const root = path.dirname(path.dirname(fileURLToPath(import.meta.url)));

/** Runs a command with inherited stdio; exits this process if it fails. */
export function runOrExit(command, args) {
  const result = spawnSync(command, args, {cwd: root, stdio: 'inherit'});
  if (result.status !== 0) process.exit(result.status ?? 1);
}

/** Installs the declared packages if TypeScript is not installed. */
export function ensureInstalled() {
  if (existsSync(path.join(root, 'node_modules', 'typescript'))) return;
  runOrExit('npm', ['ci', '--no-audit', '--no-fund', '--loglevel=error']);
}

/** Compiles all changed TypeScript sources into `build/`. */
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
 * Starts the compiled program with `args`. Each output line is printed with the
 * name as prefix, unless `quiet`. `output()` returns all output so far.
 */
export function startProcess(name, args, {env = {}, quiet = false} = {}) {
  const main = path.join(root, 'build', 'src', 'cli', 'main.js');
  const child = spawn(process.execPath, [main, ...args], {
    cwd: root,
    env: {...process.env, ...env},
    stdio: ['ignore', 'pipe', 'pipe'],
    // Ctrl-C signals the whole foreground process group. Children get their own
    // groups, because the script stops them itself with `stopProcesses`.
    detached: true,
  });
  let output = '';
  const handleOutput = chunk => {
    output += chunk;
    if (!quiet)
      process.stdout.write(String(chunk).replace(/^(?=.)/gm, `[${name}] `));
  };
  child.stdout.on('data', handleOutput);
  child.stderr.on('data', handleOutput);
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

/**
 * Sends SIGTERM to all running processes that `startProcess` started, and
 * SIGKILL to those that still run after `STOP_TIMEOUT_MS`.
 */
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
