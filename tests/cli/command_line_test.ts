import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import path from 'node:path';
import {test} from 'node:test';
import * as fc from 'fast-check';
import {renderCliReference} from '../../src/cli/cli_reference.js';
import {
  RefusedError,
  type CliHost,
  type Command,
} from '../../src/cli/command.js';
import {runCommandLine} from '../../src/cli/command_line.js';
import {commands} from '../../src/cli/commands.js';
import {
  assertBaseline,
  assertSourceFile,
  sourceRoot,
} from '../support/baseline.js';

const FUZZ_SEED = 11;
const FUZZ_RUNS = 500;

interface RecordingHost extends CliHost {
  getTranscript(): string;
}

function createRecordingHost(): RecordingHost {
  let transcript = '';
  return {
    readFile(file) {
      try {
        return readFileSync(path.join(sourceRoot, file), 'utf8');
      } catch {
        throw new RefusedError(`${file}: there is no such file.`);
      }
    },
    getEnvironment: () => undefined,
    writeOut: text => void (transcript += text),
    writeError: text => void (transcript += text),
    nextId: () => 'id-1',
    getUserName: () => 'operator',
    getTranscript: () => transcript,
  };
}

async function runLine(line: string): Promise<string> {
  const host = createRecordingHost();
  const argv = line.split(' ').filter(Boolean);
  const code = await runCommandLine(argv, commands, host);
  return `$ corianderbend ${line}\n${host.getTranscript()}exit code ${code}\n`;
}

const TAMMEOJA =
  '--base examples/tammeoja/base.yaml ' +
  '--overlay tartu-piirkond=examples/tammeoja/sites/tartu-piirkond.yaml';

test('a usage error prints one sentence and exits with code 2', async () => {
  const lines = [
    '',
    'confg check',
    'config',
    'config chekc',
    'config check --bsae x',
    'config check',
    'config check extra',
    'config check --base',
    'config check --base=x --overlay tartu',
    'config apply --based-on 1x',
    'config rollback',
    'config show --peer localhost:1',
    'config show --peer 127.0.0.1:9',
    'serve --log-format xml',
  ];
  const transcripts: string[] = [];
  for (const line of lines) transcripts.push(await runLine(line));
  await assertBaseline('cli/usage_mistakes', transcripts.join('\n'));
});

test('the command line reference matches the definitions of the commands', async () => {
  await assertSourceFile(
    path.join('docs', 'operators', 'cli.md'),
    renderCliReference(commands),
  );
});

test('config check and config render print diagnostics and settings', async () => {
  const lines = [
    `config check ${TAMMEOJA}`,
    `config check ${TAMMEOJA} --json`,
    'config check --base examples/tammeoja/base.yaml',
    'config check --base nowhere.yaml',
    `config render ${TAMMEOJA} --site tartu-piirkond`,
    `config render ${TAMMEOJA} --site tartu`,
  ];
  const transcripts: string[] = [];
  for (const line of lines) transcripts.push(await runLine(line));
  await assertBaseline('cli/settings', transcripts.join('\n'));
});

/** The commands with their flags, but without any effect when run. */
const harmlessCommands: readonly Command[] = commands.map(command => ({
  ...command,
  run: async () => 0,
}));

test('no command line causes a crash or an unknown exit code', async () => {
  const words = [
    ...commands.flatMap(command => command.name.split(' ')),
    ...commands.flatMap(command =>
      Object.keys(command.flags).map(flag => `--${flag}`),
    ),
    ...['--', '-', '--=x', '-h', 'help', '__proto__', 'constructor'],
  ];
  const word = fc.oneof(
    fc.constantFrom(...words),
    fc.string({unit: 'binary', maxLength: 12}),
  );
  await fc.assert(
    fc.asyncProperty(fc.array(word, {maxLength: 6}), async argv => {
      const host = createRecordingHost();
      const code = await runCommandLine(argv, harmlessCommands, host);
      assert.ok([0, 1, 2].includes(code));
      assert.doesNotMatch(host.getTranscript(), /internal fault|\n\s+at /);
    }),
    {seed: FUZZ_SEED, numRuns: FUZZ_RUNS},
  );
});
