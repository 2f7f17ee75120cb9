/** The reference of the scenario language, made from its statements. */

import {statementGroups, type StatementGroup} from './scenario_statements.js';

const INTRODUCTION = `# Scenarios

The statements here are made from the code; \`npm run baselines:accept\` writes
this page again.

A scenario is one story in one text file. It sets up a site, sends requests,
injects faults at named steps, moves the clock, and says what is expected.
\`corianderbend scenario run FILE...\` runs it in virtual time: the request tasks,
the shard home, the journal owner, the sweep and the quarantine are the product's
own, engines, ledgers and the platform are the stand-ins, and each process has a
border that can be killed or paused. The same text gives the same trace.

- The first 2 to 5 lines are comments that tell the story: what a user would see,
  the order of things, the cause.
- One statement a line; \`#\` begins a comment. Options in square brackets may come
  in any order. Durations are written \`200ms\`, \`1.5s\`, \`2m\`.
- \`guard FILE "text" "replacement"\` names the code that the scenario watches, and
  how to take it out. \`npm run guards\` takes it out of a compiled copy and runs the
  scenario, which must fail.
- The first entry owns the journal until \`journal moves to\` names another.
- After the last statement 15 s pass, and these are checked from the stand-ins'
  books whatever the scenario expects: no request is answered twice, every whole
  answer is the one for its own prompt, no posting was run twice, nothing that was
  called not run was run, and engines hold nothing for requests that are over.

Scenarios in \`tests/cases/scenarios\` run in \`npm test\`, each with its trace as a
reviewed baseline (the order of events, not their times). Those in
\`tests/cases/failing_scenarios\` show faults of the product that are not mended yet;
they are run by hand.
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
