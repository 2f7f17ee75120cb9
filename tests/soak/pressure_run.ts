/**
 * `node scripts/run_compiled.mjs tests/soak/pressure_run.js [--hosts N]
 * [--only TEXT] [--program FILE] [--memory-mb N] [--seconds N] [--rounds N]`:
 * prints what became of processes and sound calls in each scenario.
 */

import path from 'node:path';
import {parseArgs} from 'node:util';
import {countEnds} from './pressure_checks.js';
import {playPressure, type PressureResult} from './pressure_play.js';
import {PRESSURE_SCENARIOS} from './pressure_scenarios.js';

const {values} = parseArgs({
  options: {
    hosts: {type: 'string', default: '3'},
    only: {type: 'string', default: ''},
    rounds: {type: 'string', default: '1'},
    seconds: {type: 'string', default: '6'},
    'memory-mb': {type: 'string', default: '200'},
    program: {type: 'string', default: 'target/main.mjs'},
    folder: {type: 'string', default: 'build/pressure'},
  },
});

function describeResult(name: string, result: PressureResult): string {
  const {calls, ended, pressing} = result;
  const slowestMs = Math.max(0, ...calls.map(({tookMs}) => tookMs));
  const failed = calls.filter(({end}) => end === 'failed');
  const statuses = [...new Set(failed.map(({status}) => status))].join(' ');
  const lines = pressing.map(
    ({opened, open, closed, answers, mostBytes, longestOpenMs}) =>
      `    pressing: ${opened} opened, ${open} open, ${closed} closed, answers ${JSON.stringify(answers)}, at most ${Math.round(mostBytes / 1_000)} KB sent, open for up to ${Math.round(longestOpenMs)} ms`,
  );
  const ends = ended.map(({hostId, how}) => `${hostId} ended ${how}`);
  return [
    `${name}: peak ${result.peakMb.join(' ')} MB; ` +
      `${countEnds(calls, 'served')} of ${calls.length} served, ` +
      `${countEnds(calls, 'refused')} refused, ` +
      `${failed.length} failed (${statuses}), ` +
      `${countEnds(calls, 'lost')} lost, slowest ${slowestMs} ms; ` +
      `own lateness ${result.latenessMs.join(' ')} ms; ${ends.join(', ')}`,
    ...lines,
  ].join('\n');
}

for (const [name, scenario] of PRESSURE_SCENARIOS) {
  if (!name.includes(values.only)) continue;
  for (let round = 0; round < Number(values.rounds); round++) {
    const result = await playPressure(name, scenario, {
      hostCount: Number(values.hosts),
      program: path.resolve(values.program),
      folder: path.resolve(values.folder),
      memoryMb: Number(values['memory-mb']),
      pressMs: Number(values.seconds) * 1_000,
    });
    console.log(describeResult(name, result));
  }
}
