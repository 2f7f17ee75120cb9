/** Steps that the other scripts share: install, compile, run. */

import {spawnSync} from 'node:child_process';
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
export function compile() {
  ensureInstalled();
  runOrExit(process.execPath, [
    path.join(root, 'node_modules', 'typescript', 'bin', 'tsc'),
    '-p',
    root,
  ]);
}
