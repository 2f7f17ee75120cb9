/**
 * Bundles the program with esbuild into the given folder (default `target`).
 * Code splitting lets each command load only the chunks it needs.
 */

import {readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {root} from './toolchain.mjs';

const outdir = path.resolve(root, process.argv[2] ?? 'target');
const {build} = await import('esbuild');

await build({
  entryPoints: [path.join(root, 'src', 'cli', 'main.ts')],
  outdir,
  outExtension: {'.js': '.mjs'},
  bundle: true,
  splitting: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // Some bundled CommonJS libraries call require() for Node's built-in modules.
  banner: {
    js: "import {createRequire as nodeRequire} from 'node:module'; const require = nodeRequire(import.meta.url);",
  },
  logLevel: 'warning',
});

// esbuild lets each file load its runtime helpers. The first one uses none, and
// until it has run, any signal ends the process.
const entry = path.join(outdir, 'main.mjs');
const code = readFileSync(entry, 'utf8');
writeFileSync(entry, code.replace(/^import "\.\/chunk-[^"]+";\n/gm, ''));
