/** Renders the reference of the scenario language from its statements. */

import {statementGroups, type StatementGroup} from './scenario_statements.js';

const INTRODUCTION = `# Scenarios

This page is generated from the code; \`npm run baselines:accept\` updates it.

A scenario is a text file that describes one sequence of events. It sets up a
site, sends requests, injects faults at named steps, moves the clock, and checks
the results. \`corianderbend scenario run FILE...\` runs it in virtual time. The
request tasks, the shard home, the journal owner, the sweep and the quarantine
are the product's own; engines, ledgers and the platform are stand-ins. Each
process can be killed or paused. The same text gives the same trace.

- The first 2 to 5 lines are comments that describe the scenario: what a user
  would see, the order of events, and the cause.
- There is one statement per line; \`#\` begins a comment. Options in square
  brackets may come in any order. Durations are written \`200ms\`, \`1.5s\`, \`2m\`.
- \`guard FILE "text" "replacement"\` names the code that the scenario guards and
  the text that replaces it in a check. \`npm run guards\` replaces it in a compiled
  copy and runs the scenario, which must fail.
- The first entry owns the journal until \`journal moves to\` names another.
- After the last statement the scenario runs for another 15 s. Then these
  invariants are checked on the state of the stand-ins: no request is answered
  twice, every whole answer is the one for its own prompt, no posting was run
  twice, nothing that was reported as not run was run, and engines hold nothing
  for requests that have ended.

Scenarios in \`tests/cases/scenarios\` run in \`npm test\`, each with its trace as a
reviewed baseline (the order of events, not their times). Those in
\`tests/cases/failing_scenarios\` show known faults of the product; they are run by
hand.
`;

export function renderScenarioReference(): string {
  return [INTRODUCTION, ...statementGroups.map(renderGroup)].join('\n');
}

function renderGroup({title, definitions}: StatementGroup): string {
  const lines = definitions.map(({pattern}) =>
    pattern.replaceAll('<+', '<new '),
  );
  return `## ${title}\n\n\`\`\`text\n${lines.join('\n')}\n\`\`\`\n`;
}
