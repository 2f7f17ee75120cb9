import path from 'node:path';
import {test} from 'node:test';
import {renderSettingsReference} from '../../src/core/settings_reference.js';
import {assertSourceFile} from '../support/baseline.js';

test('the settings reference matches the schema', async () => {
  await assertSourceFile(
    path.join('docs', 'operators', 'settings_reference.md'),
    renderSettingsReference(),
  );
});
