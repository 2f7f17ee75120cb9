/**
 * `node scripts/run_compiled.mjs tests/soak/configuration_run.js [--hosts N]
 * [--rounds N] [--seed N] [--only TEXT] [--program FILE]`: prints how soon real
 * processes go by a new version in each scenario.
 */

import path from 'node:path';
import {parseArgs} from 'node:util';
import {playConfigurationHosts, readRefusals} from './configuration_hosts.js';
import {REACH_SCENARIOS} from './configuration_scenarios.js';

const {values} = parseArgs({
  options: {
    hosts: {type: 'string', default: '24'},
    rounds: {type: 'string', default: '3'},
    seed: {type: 'string', default: '1'},
    only: {type: 'string', default: ''},
    program: {type: 'string', default: 'target/main.mjs'},
    folder: {type: 'string', default: 'build/configuration_hosts'},
  },
});
const folder = path.resolve(values.folder);

await playConfigurationHosts(
  new Map([...REACH_SCENARIOS].filter(([name]) => name.includes(values.only))),
  {
    hostCount: Number(values.hosts),
    program: path.resolve(values.program),
    folder,
    rounds: Number(values.rounds),
    seed: Number(values.seed),
    onRound(name, round) {
      const times = [...round.inForceAfterMs.values()].sort((a, b) => b - a);
      const {lateAnswers, lateUnconfirmed, ownLatenessMs, storeCalls} = round;
      console.log(
        `${name}: slowest ${times.slice(0, 4).join(' ')} of ${times.length}; ` +
          `late by older ${lateAnswers.length}, unconfirmed ${lateUnconfirmed}; ` +
          `own lateness ${ownLatenessMs} ms, ${storeCalls} calls`,
      );
      for (const {hostId, sentAfterMs, tookMs} of lateAnswers.slice(0, 2)) {
        console.log(`  ${hostId} at ${sentAfterMs}, took ${tookMs} ms`);
        console.log(`  ${readRefusals(folder, hostId).at(-1) ?? ''}`);
      }
    },
  },
);
