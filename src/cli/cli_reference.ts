/** Renders the command line reference from the list of commands. */

import type {Command} from './command.js';
import {formatCommandHelp, formatOverview} from './help.js';

const INTRODUCTION = `# Command line

Made from the table of commands; \`npm run baselines:accept\` writes it again.

One program has all commands. What a script would read is printed to standard
output, all else to standard error; \`--json\` gives JSON where it is offered. A
mistake on the command line is answered by one sentence, with the word that was
likely meant.

| Exit code | Meaning |
| --- | --- |
| 0 | done |
| 1 | understood, and refused or failed; the sentence says why |
| 2 | the command line itself is wrong; nothing was done |

The commands that change or ask a running system (\`config apply\`, \`config show\`,
\`config history\`, \`config rollback\`, \`status\`, \`drain\`) talk to any one serve
process, at its \`peerAddress\`, with the operator key.

\`config apply\` sends a change id with the change. When its answer is lost, run it
again with the same \`--change-id\`: the change is then found, not made twice. With
\`--based-on\` it is refused when somebody else's change came in between, and shows
whose.
`;

export function renderCliReference(commands: readonly Command[]): string {
  const blocks = commands.map(
    command =>
      `## ${command.name}\n\n\`\`\`text\n${formatCommandHelp(command)}\`\`\`\n`,
  );
  return [
    INTRODUCTION,
    `\`\`\`text\n${formatOverview(commands)}\`\`\`\n`,
    ...blocks,
  ].join('\n');
}
