import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import path from 'node:path';
import {test} from 'node:test';
import * as fc from 'fast-check';
import {formatDiagnostic} from '../../src/core/diagnostics.js';
import {
  checkSettingsDocument,
  formatSettingsDocument,
  readStoredSettings,
} from '../../src/core/settings_document.js';
import {
  readHostSettings,
  readSettings,
} from '../../src/core/settings_reader.js';
import {sourceRoot} from '../support/baseline.js';

const FUZZ_SEED = 7;
const FUZZ_RUNS = 400;

function readExample(file: string) {
  const text = readFileSync(path.join(sourceRoot, 'examples', file), 'utf8');
  return {file, text};
}

function readExampleDocument(deployment: string, site: string) {
  const overlay = readExample(`${deployment}/sites/${site}.yaml`);
  return {
    base: readExample(`${deployment}/base.yaml`),
    overlays: new Map([[site, overlay]]),
  };
}

const examples = [
  ['tammeoja', 'tartu-piirkond', 'aruande-koostaja', 'uus-pearaamat'],
  ['bekejel', 'hu-central', 'brief-llm', 'booking-api'],
] as const;

for (const [deployment, site, model, plain] of examples) {
  test(`the example ${deployment} is valid and has the expected upstreams`, () => {
    const document = readExampleDocument(deployment, site);
    assert.deepEqual(checkSettingsDocument(document), []);
    const stored = formatSettingsDocument(document);
    const {settings} = readStoredSettings(stored, site);
    const counts = settings?.services.map(service => [
      service.name,
      service.upstreams.length,
    ]);
    assert.deepEqual(counts, [
      [model, 13],
      [plain, 4],
    ]);
    assert.equal(settings?.failureDomains.length, 4);
  });
}

test('an overlay merges by key and name, and removes items', () => {
  const baseText = readExample('tammeoja/base.yaml').text;
  const {settings, diagnostics} = readSettings({
    baseText,
    baseFile: 'base.yaml',
    overlayText: `
services:
  - name: aruande-koostaja
    remove: true
  - name: uus-pearaamat
    targets: {waitMs: 900}
    upstreamsFromHostList: true
    keepAnswersMs: null
accounts:
  - {name: kirikukoorid, remove: true}
  - {name: kulaseltsid, services: [uus-pearaamat]}
  - {name: raamatupidajad, services: [uus-pearaamat]}
`,
    overlayFile: 'site.yaml',
    site: 'tartu-piirkond',
  });
  assert.deepEqual(diagnostics, []);
  const [service] = settings!.services;
  assert.equal(settings!.services.length, 1);
  assert.equal(service.targets.waitMs, 900);
  assert.equal(service.keepAnswersMs, 86_400_000);
  assert.deepEqual(
    settings!.accounts.map(account => account.name),
    ['kulaseltsid', 'raamatupidajad'],
  );
});

test('flags override the host file, and diagnostics name the flag', () => {
  const source = readExample('tammeoja/hosts/raadi-ruum-1.yaml');
  const keys = {peerKey: 'p'.repeat(16), operatorKey: 'o'.repeat(16)};
  const good = readHostSettings({
    source,
    overrides: {...keys, callerAddress: '127.0.0.1:9000'},
  });
  assert.equal(good.host?.callerAddress, '127.0.0.1:9000');
  assert.equal(good.host?.failureDomain, 'raadi-ruum');
  const bad = readHostSettings({
    source,
    overrides: {...keys, peerKey: 'short', peerAddress: 'nowhere'},
  });
  assert.deepEqual(bad.diagnostics.map(formatDiagnostic), [
    'flags:peerAddress(1,1): error CB2006: Expected an address like ' +
      '10.0.0.5:8080 or [fd00::5]:8080, found "nowhere".',
    'flags:peerKey(1,1): error CB2004: Expected a text of at least 16 ' +
      'characters, found a shorter text.',
  ]);
});

test('diagnostics do not show a secret of the wrong type', () => {
  const {diagnostics} = readHostSettings({
    source: {file: 'host.yaml', text: 'peerKey: 1234567890123456\n'},
  });
  const lines = diagnostics.map(formatDiagnostic).join('\n');
  assert.match(lines, /host\.yaml\(1,10\): error CB2003: Expected a text/);
  assert.doesNotMatch(lines, /1234567890/);
});

/** Generates an edited example, a text of YAML tokens, or a random text. */
function arbitraryText(): fc.Arbitrary<string> {
  const text = readExample('tammeoja/base.yaml').text;
  const place = fc.nat({max: text.length});
  const edit = fc.tuple(
    place,
    place,
    fc.string({unit: 'binary', maxLength: 8}),
  );
  const edited = fc
    .array(edit, {minLength: 1, maxLength: 4})
    .map(edits =>
      edits.reduce(
        (current, [from, to, insert]) =>
          current.slice(0, Math.min(from, to)) +
          insert +
          current.slice(Math.max(from, to)),
        text,
      ),
    );
  const yamlish = fc.string({
    unit: fc.constantFrom(
      ...[
        '[',
        ']',
        '{',
        '}',
        ':',
        ' ',
        '\n',
        '- ',
        '? ',
        '&a',
        '*a',
        '!!',
        '|',
      ],
      ...[
        '"',
        "'",
        '#',
        '%',
        'sites',
        'name',
        'null',
        '__proto__',
        '\t',
        '---\n',
      ],
    ),
    maxLength: 200,
  });
  return fc.oneof(edited, yamlish, fc.string({unit: 'binary'}));
}

test('no text crashes the reader, and diagnostics have codes and positions', () => {
  const hasPosition = (line: string) =>
    /^[^\n]*\(\d+,\d+\): error CB\d{4}: [^\n]+/.test(line);
  fc.assert(
    fc.property(arbitraryText(), arbitraryText(), (baseText, overlayText) => {
      const result = readSettings({
        baseText,
        baseFile: 'base.yaml',
        overlayText,
        overlayFile: 'site.yaml',
        site: 'tartu-piirkond',
      });
      const lines = result.diagnostics.map(formatDiagnostic);
      assert.equal(result.settings === undefined, lines.length > 0);
      assert.ok(lines.every(hasPosition), lines.join('\n'));
    }),
    {seed: FUZZ_SEED, numRuns: FUZZ_RUNS},
  );
});

test('a text nested too deeply is rejected without a stack overflow', () => {
  const texts = [
    ...['[', '- ', '? ', '{a: ', 'a: ['].map(part => part.repeat(100_000)),
    Array.from({length: 300}, (_, i) => `${' '.repeat(i)}a:`).join('\n'),
  ];
  for (const baseText of texts) {
    const {diagnostics} = readSettings({
      baseText,
      baseFile: 'base.yaml',
      site: 'tartu-piirkond',
    });
    assert.deepEqual(
      diagnostics.map(({code}) => code),
      [1007],
    );
  }
});
