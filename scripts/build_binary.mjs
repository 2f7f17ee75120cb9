/**
 * `npm run build`: bundles the program with esbuild and packs the bundle into
 * a Node single executable application, `dist/corianderbend`.
 */

import {copyFileSync, chmodSync, mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {ensureInstalled, root, runOrExit} from './toolchain.mjs';

const SEA_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

ensureInstalled();
const {build} = await import('esbuild');
const dist = path.join(root, 'dist');
mkdirSync(dist, {recursive: true});

await build({
  entryPoints: [path.join(root, 'src', 'cli', 'main.ts')],
  outfile: path.join(dist, 'corianderbend.cjs'),
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  logLevel: 'warning',
});
const seaConfig = path.join(dist, 'sea.json');
const blob = path.join(dist, 'sea.blob');
writeFileSync(
  seaConfig,
  JSON.stringify({
    main: path.join(dist, 'corianderbend.cjs'),
    output: blob,
    disableExperimentalSEAWarning: true,
  }),
);
runOrExit(process.execPath, ['--experimental-sea-config', seaConfig]);
const binary = path.join(dist, 'corianderbend');
copyFileSync(process.execPath, binary);
chmodSync(binary, 0o755);
runOrExit(process.execPath, [
  path.join(root, 'node_modules', 'postject', 'dist', 'cli.js'),
  binary,
  'NODE_SEA_BLOB',
  blob,
  '--sentinel-fuse',
  SEA_FUSE,
]);
console.log(`Built ${path.relative(root, binary)}.`);
