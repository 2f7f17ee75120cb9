/** Compiles, then runs one compiled file: `run_compiled.mjs FILE [ARG...]`. */

import path from 'node:path';
import {ensureCompiled, root, runOrExit} from './toolchain.mjs';

const [file, ...args] = process.argv.slice(2);
ensureCompiled();
runOrExit(process.execPath, [
  '--enable-source-maps',
  path.join(root, 'build', file),
  ...args,
]);
