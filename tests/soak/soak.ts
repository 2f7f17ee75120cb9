/**
 * `npm run soak -- [--seeds N] [--first SEED] [--seconds S] [--hosts N]
 * [--asks | --copies | --crashes | --parts | --streams | --cuts | --versions |
 * --pauses | --leaving | --configurations | --overload | --part-table]`; of these, the first
 * nine draw mostly backpressure of upstreams, restores of the store from older
 * copies, requests that crash upstreams, parts of prompts that do so, streams
 * that break off, hosts that are cut off from all upstreams, engines of several
 * versions, engines that pause, or hosts that leave together.
 * `--configurations` adds series of configurations to faults of all kinds;
 * `--overload` presses on hosts whose processes are ended at their limits. The
 * last one plays the scenarios of such parts, each on its own, in turn by seed.
 */

import path from 'node:path';
import {parseArgs} from 'node:util';
import {toConfigurationOptions} from './configuration_options.js';
import {
  ALL_KINDS,
  BACKPRESSURE_SOAK_KINDS,
  BROKEN_STREAMS_SOAK_KINDS,
  CRASH_SOAK_KINDS,
  ENGINE_PAUSE_SOAK_KINDS,
  ENGINE_VERSIONS_SOAK_KINDS,
  HOST_CUT_SOAK_KINDS,
  LEAVING_SOAK_KINDS,
  OLDER_COPY_SOAK_KINDS,
  PARTS_SOAK_KINDS,
  type FaultKind,
} from './fault_kinds.js';
import {toOverloadOptions} from './overload_options.js';
import {toPartOptions} from './part_scenarios.js';
import {toPauseOptions} from './engine_pauses.js';
import {runSoak} from './soak_run.js';

const {values} = parseArgs({
  options: {
    seeds: {type: 'string', default: '10'},
    first: {type: 'string'},
    seconds: {type: 'string', default: '12'},
    hosts: {type: 'string', default: '4'},
    callers: {type: 'string', default: '12'},
    folder: {type: 'string', default: 'build/soak'},
    asks: {type: 'boolean', default: false},
    copies: {type: 'boolean', default: false},
    crashes: {type: 'boolean', default: false},
    streams: {type: 'boolean', default: false},
    cuts: {type: 'boolean', default: false},
    versions: {type: 'boolean', default: false},
    pauses: {type: 'boolean', default: false},
    parts: {type: 'boolean', default: false},
    leaving: {type: 'boolean', default: false},
    configurations: {type: 'boolean', default: false},
    overload: {type: 'boolean', default: false},
    'part-table': {type: 'boolean', default: false},
  },
});

function chooseKinds(): readonly FaultKind[] {
  if (values.pauses) return ENGINE_PAUSE_SOAK_KINDS;
  if (values.leaving) return LEAVING_SOAK_KINDS;
  if (values.parts) return PARTS_SOAK_KINDS;
  if (values.copies) return OLDER_COPY_SOAK_KINDS;
  if (values.versions) return ENGINE_VERSIONS_SOAK_KINDS;
  if (values.cuts) return HOST_CUT_SOAK_KINDS;
  if (values.streams) return BROKEN_STREAMS_SOAK_KINDS;
  if (values.crashes) return CRASH_SOAK_KINDS;
  return values.asks ? BACKPRESSURE_SOAK_KINDS : ALL_KINDS;
}

const first = Number(values.first ?? Date.now() % 1_000_000);
let failures = 0;
for (let i = 0; i < Number(values.seeds); i++) {
  const result = await runSoak({
    seed: first + i,
    durationMs: Number(values.seconds) * 1_000,
    hostCount: Number(values.hosts),
    callerCount: Number(values.callers),
    kinds: chooseKinds(),
    ...(values.pauses ? toPauseOptions(first + i) : {}),
    ...(values.configurations
      ? toConfigurationOptions(first + i, Number(values.seconds) * 1_000)
      : {}),
    ...(values.overload
      ? toOverloadOptions(first + i, Number(values.seconds) * 1_000)
      : {}),
    ...(values['part-table'] ? toPartOptions(first + i) : {}),
    program: path.resolve('target/main.mjs'),
    folder: values.folder,
  });
  const kinds = result.faults.map(({kind}) => kind).join(' ');
  const verdict = result.broken.length === 0 ? 'held' : 'BROKEN';
  process.stdout.write(
    `seed ${result.seed}: ${verdict}, ${result.answered} of ${result.calls} answered, served ${Math.round(100 * result.servedShare)}% of the time; ${kinds}\n`,
  );
  for (const line of [...result.measured, ...result.broken])
    process.stdout.write(`    ${line}\n`);
  if (result.broken.length > 0) failures++;
}
process.stdout.write(`${failures} of ${values.seeds} seeds broke a promise.\n`);
process.exitCode = failures > 0 ? 1 : 0;
