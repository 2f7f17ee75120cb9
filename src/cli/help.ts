/** Formats help texts from the definitions of commands. */

import type {Command, FlagSpec} from './command.js';

const INDENT = '  ';
const GAP = 2;

export function formatOverview(commands: readonly Command[]): string {
  const width = Math.max(...commands.map(command => command.name.length));
  const lines = commands.map(
    command => `${INDENT}${command.name.padEnd(width + GAP)}${command.summary}`,
  );
  return [
    'Usage: corianderbend COMMAND [FLAG...]',
    '',
    ...lines,
    '',
    "'corianderbend help COMMAND' shows the flags of a command.",
    'Exit codes: 0 done, 1 refused, 2 wrong usage.',
    '',
  ].join('\n');
}

export function formatCommandHelp(command: Command): string {
  const flags = Object.entries(command.flags);
  const heads = flags.map(([name, spec]) => formatFlagHead(name, spec));
  const width = Math.max(0, ...heads.map(head => head.length));
  const positionals = command.positionals && ` ${command.positionals}`;
  return [
    `Usage: corianderbend ${command.name}${positionals}${flags.length > 0 ? ' [FLAG...]' : ''}`,
    '',
    command.summary,
    ...(flags.length > 0 ? [''] : []),
    ...flags.map(
      ([, spec], i) => `${INDENT}${heads[i].padEnd(width + GAP)}${spec.help}`,
    ),
    '',
  ].join('\n');
}

function formatFlagHead(name: string, spec: FlagSpec): string {
  if (spec.type === 'boolean') return `--${name}`;
  return `--${name} ${spec.valueName ?? 'TEXT'}`;
}
