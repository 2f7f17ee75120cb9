/**
 * Plays real processes that are ended at their limit of memory, while something
 * presses on them and sound callers go on.
 */

import {mkdirSync, rmSync} from 'node:fs';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import {measureOwnLateness} from './configuration_hosts.js';
import {toServices, type PressingResult} from './pressure_callers.js';
import {toPressingConfiguration} from './pressure_engines.js';
import {watchMemory} from './pressure_memory.js';
import {
  USUAL_DESCRIPTORS,
  type PressureScenario,
} from './pressure_scenarios.js';
import {
  callSoundly,
  SOUND_DEADLINE_MS,
  startSoundCallers,
  type SoundCall,
} from './pressure_sound.js';
import {startPressureWorker} from './pressure_worker.js';
import {createSoakSite, type SoakSite} from './soak_site.js';

export interface PressureOptions {
  readonly hostCount: number;
  readonly program: string;
  readonly folder: string;
  /** Limit of memory of each process. */
  readonly memoryMb: number;
  /** How long it presses. */
  readonly pressMs: number;
}

/** How a process that ended did so. */
export interface EndedProcess {
  readonly hostId: string;
  readonly how: string;
}

export interface PressureResult {
  readonly peakMb: readonly number[];
  readonly ended: readonly EndedProcess[];
  readonly calls: readonly SoundCall[];
  readonly pressing: readonly PressingResult[];
  /** How late the loops of the player itself and of its threads ran. */
  readonly latenessMs: readonly number[];
}

const READY_WITHIN_MS = 15_000;
const CALM_MS = 500;
const WORK_MS = 100;

const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

async function waitUntilServed(site: SoakSite): Promise<void> {
  const untilMs = performance.now() + READY_WITHIN_MS;
  for (const host of site.hosts) {
    for (const kind of ['once', 'stream'] as const) {
      while ((await callSoundly(host, kind)).end !== 'served') {
        if (performance.now() > untilMs) throw new Error('Not ready.');
        await wait(50);
      }
    }
  }
}

function recordEnds(site: SoakSite, atLimit: readonly string[]) {
  const ended: EndedProcess[] = [];
  let isOver = false;
  for (const {child} of site.hosts) {
    const {hostId} = child.settings;
    void child.ended().then(({code, signal}) => {
      if (isOver) return;
      const itself = `code ${code}, signal ${signal}`;
      const how = atLimit.includes(hostId) ? 'at its limit' : itself;
      ended.push({hostId, how});
    });
  }
  return {
    ended,
    stop: () => void (isOver = true),
  };
}

async function pressOn(
  site: SoakSite,
  scenario: PressureScenario,
  {memoryMb, pressMs}: PressureOptions,
): Promise<PressureResult> {
  const children = site.hosts.map(({child}) => child);
  const watch = watchMemory(children, memoryMb);
  const ends = recordEnds(site, watch.ended);
  const endLateness = measureOwnLateness();
  const sound = startSoundCallers(site.hosts);
  await wait(CALM_MS);
  const pressing = await startPressureWorker({
    kind: 'callers',
    pressing: scenario.pressing,
    hosts: children.map(({settings}) => settings),
  });
  const links = site.hosts.map(({storeLink}) => storeLink);
  if (scenario.hasSlowStore) for (const link of links) link.setMode('delay');
  await wait(pressMs);
  const calls = await sound.stop();
  const stopped = await pressing.stop();
  watch.stop();
  ends.stop();
  return {
    peakMb: [...watch.peakMb.values()].map(Math.round),
    ended: ends.ended,
    calls,
    pressing: stopped.results,
    latenessMs: [endLateness(), stopped.latenessMs],
  };
}

export async function playPressure(
  name: string,
  scenario: PressureScenario,
  options: PressureOptions,
): Promise<PressureResult> {
  const folder = path.join(options.folder, name.replaceAll(/\W+/g, '-'));
  rmSync(folder, {recursive: true, force: true});
  mkdirSync(folder, {recursive: true});
  const {maxDescriptors = USUAL_DESCRIPTORS} = scenario;
  const services = toServices(scenario.pressing);
  const engines = await startPressureWorker({kind: 'engines', services});
  const site = await createSoakSite({
    hostCount: options.hostCount,
    program: options.program,
    folder,
    routeTimeoutMs: SOUND_DEADLINE_MS,
    workMs: () => WORK_MS,
    settings: {memoryMb: options.memoryMb, maxDescriptors},
    additions: toPressingConfiguration(services),
  });
  try {
    for (const [index, row] of engines.rows.entries()) {
      site.store.put('servers', `p-${index}`, row);
    }
    await waitUntilServed(site);
    const result = await pressOn(site, scenario, options);
    const {latenessMs} = await engines.stop();
    return {...result, latenessMs: [...result.latenessMs, latenessMs]};
  } finally {
    await site.close();
  }
}
