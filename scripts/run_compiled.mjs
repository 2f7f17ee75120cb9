/** `run_compiled.mjs FILE [ARG...]`: compiles, then runs `build/FILE`. */

import path from 'node:path';
import {ensureCompiled, root, runOrExit} from './toolchain.mjs';

const [file, ...args] = process.argv.slice(2);
ensureCompiled();
runOrExit(process.execPath, [
  '--enable-source-maps',
  path.join(root, 'build', file),
  ...args,
]);
