/** Reviewed baselines in `tests/baselines`, by the snapshot library. */

import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {SnapshotClient} from '@vitest/snapshot';
import {NodeSnapshotEnvironment} from '@vitest/snapshot/environment';

/** The root of the source tree; compiled tests run from `build/tests/support`. */
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
 * Fails unless `text` is what `tests/baselines/<name>.txt` has. While
 * accepting, writes the file instead; a missing file fails like a changed one.
 */
export async function assertBaseline(
  name: string,
  text: string,
): Promise<void> {
  await assertSourceFile(path.join('tests', 'baselines', `${name}.txt`), text);
}

/** As `assertBaseline`, for a file anywhere in the source tree. */
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
