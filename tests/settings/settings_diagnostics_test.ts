import assert from 'node:assert/strict';
import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {test} from 'node:test';
import {formatDiagnostics} from '../../src/core/diagnostics.js';
import {readSettings} from '../../src/core/settings_reader.js';
import {assertBaseline, sourceRoot} from '../support/baseline.js';

const folder = path.join(sourceRoot, 'tests', 'cases', 'settings');
const OVERLAY_SUFFIX = '.site.yaml';
const names = readdirSync(folder)
  .filter(file => !file.endsWith(OVERLAY_SUFFIX))
  .map(file => path.basename(file, '.yaml'));

function readOptional(file: string): string | undefined {
  return readdirSync(folder).includes(file)
    ? readFileSync(path.join(folder, file), 'utf8')
    : undefined;
}

for (const name of names) {
  test(`diagnostics of invalid settings: ${name}`, async () => {
    const overlayFile = `${name}${OVERLAY_SUFFIX}`;
    const {settings, diagnostics} = readSettings({
      baseText: readFileSync(path.join(folder, `${name}.yaml`), 'utf8'),
      baseFile: `${name}.yaml`,
      overlayText: readOptional(overlayFile),
      overlayFile,
      site: 'tartu-piirkond',
    });
    assert.equal(settings, undefined);
    assert.notEqual(diagnostics.length, 0);
    await assertBaseline(`settings/${name}`, formatDiagnostics(diagnostics));
  });
}
