/** Compares texts with the reviewed baselines in `tests/baselines`. */

import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {SnapshotClient} from '@vitest/snapshot';
import {NodeSnapshotEnvironment} from '@vitest/snapshot/environment';

/** Root of the source tree; the compiled tests run in `build/tests/support`. */
export const sourceRoot = path.resolve(
  path.dirname(fileURLToPath(import.meta.url)),
  '..',
  '..',
  '..',
);

/** True while `npm run baselines:accept` rewrites the baselines. */
const isAccepting = process.env['CORIANDERBEND_ACCEPT'] === '1';

let nextAssertion = 0;

/**
 * Fails if `text` differs from `tests/baselines/<name>.txt` or the file is
 * missing. `npm run baselines:accept` writes the file instead.
 */
export async function assertBaseline(
  name: string,
  text: string,
): Promise<void> {
  await assertSourceFile(path.join('tests', 'baselines', `${name}.txt`), text);
}

/** Like `assertBaseline`, for any file in the source tree. */
export async function assertSourceFile(
  relativePath: string,
  text: string,
): Promise<void> {
  const client = new SnapshotClient({
    isEqual: (received, expected) => received === expected,
  });
  const assertionName = `${relativePath} ${nextAssertion++}`;
  const testPath = path.join(sourceRoot, 'tests', 'baselines', 'baseline.ts');
  await client.setup(testPath, {
    updateSnapshot: isAccepting ? 'all' : 'none',
    snapshotEnvironment: new NodeSnapshotEnvironment(),
  });
  try {
    await client.assertRaw({
      received: text,
      filepath: testPath,
      name: assertionName,
      assertionName: 'assertBaseline',
      message: `baseline ${relativePath}`,
      rawSnapshot: {file: path.join(sourceRoot, relativePath)},
    });
  } finally {
    await client.finish(testPath);
  }
}
