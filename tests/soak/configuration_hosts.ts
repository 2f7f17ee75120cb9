/**
 * Plays how soon real relay processes serve a route that was added, or refuse
 * one that was dropped, beside links that fail and processes that get too little
 * processor time.
 */

import {readFileSync, mkdirSync, rmSync} from 'node:fs';
import http from 'node:http';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import {createSeededRandom} from '../../src/core/seeded_random.js';
import type {Random} from '../../src/ports/random.js';
import {HOST} from '../platform/relay_site.js';
import {EXTRA_PREFIX} from './call_kinds.js';
import type {ProxyMode} from './fault_proxy.js';
import {createSoakSite, type SoakHost, type SoakSite} from './soak_site.js';

/** What happens to a host; times count from when the write is sent. */
export interface HostFault {
  /** Of how many hosts; all by default. */
  readonly share?: number;
  readonly fromMs: number;
  readonly forMs: number;
  readonly link?: ProxyMode;
  /** Connections to the store that are open at the start fall silent for good. */
  readonly silencesOpen?: boolean;
  /** How many of the next connections to the store stay silent for good. */
  readonly silencesNext?: number;
  readonly holdsDatagrams?: boolean;
  /** The process stands still for so much of each 100 ms. */
  readonly stopsMs?: number;
}

export interface ReachScenario {
  readonly faults: readonly HostFault[];
  /** The write drops a route; by default it adds one. */
  readonly isDrop?: boolean;
  /** When the store applies the write. */
  readonly appliedAtMs?: number;
  readonly acknowledgedAtMs?: number;
  /** Requests begin so long after the acknowledgement. */
  readonly askFromMs?: number;
}

export interface ReachRound {
  /** By host, from the acknowledgement to the first answer by the version. */
  readonly inForceAfterMs: ReadonlyMap<string, number>;
  /** Requests sent over 2 s after it and handled as an older version allows. */
  readonly lateAnswers: readonly LateAnswer[];
  /** Requests sent over 2 s after it and refused for want of a confirmation. */
  readonly lateUnconfirmed: number;
  /** How late the loop of the player itself ran. */
  readonly ownLatenessMs: number;
  readonly storeCalls: number;
}

export interface LateAnswer {
  readonly hostId: string;
  readonly sentAfterMs: number;
  readonly tookMs: number;
}

export const IN_FORCE_MS = 2_000;
const ASK_EVERY_MS = 50;
const ROUND_MS = 5_500;
const CALM_MS = 2_500;
const STOP_PERIOD_MS = 100;
const READY_WITHIN_MS = 60_000;

let askCount = 0;

const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

function chooseHosts(
  hosts: readonly SoakHost[],
  share: number,
  random: Random,
): readonly SoakHost[] {
  const count = Math.max(1, Math.round(share * hosts.length));
  const rest = [...hosts];
  return Array.from(
    {length: count},
    () => rest.splice(random.nextInt(rest.length), 1)[0],
  );
}

async function starve(
  {child}: SoakHost,
  stopsMs: number,
  forMs: number,
): Promise<void> {
  const endAtMs = performance.now() + forMs;
  while (performance.now() < endAtMs) {
    child.signal('SIGSTOP');
    await wait(stopsMs);
    child.signal('SIGCONT');
    await wait(STOP_PERIOD_MS - stopsMs);
  }
}

async function playFault(
  site: SoakSite,
  fault: HostFault,
  random: Random,
): Promise<void> {
  const hosts = chooseHosts(site.hosts, fault.share ?? 1, random);
  const {link, stopsMs, forMs} = fault;
  for (const {storeLink, child} of hosts) {
    if (fault.silencesOpen) storeLink.silenceOpen();
    storeLink.silenceNext(fault.silencesNext ?? 0);
    if (link) storeLink.setMode(link);
    if (fault.holdsDatagrams) child.signal('SIGUSR2');
  }
  if (stopsMs) await Promise.all(hosts.map(e => starve(e, stopsMs, forMs)));
  else await wait(forMs);
  for (const {storeLink, child} of hosts) {
    if (link) storeLink.setMode('pass');
    if (fault.holdsDatagrams) child.signal('SIGUSR2');
  }
}

type Outcome = 'served' | 'no-route' | 'unconfirmed' | 'other';

function toOutcome(status: number | undefined, body: string): Outcome {
  if (status === 200) return 'served';
  if (status === 404) return 'no-route';
  return body.includes('cannot tell') ? 'unconfirmed' : 'other';
}

function ask(
  agent: http.Agent,
  {child}: SoakHost,
  target: string,
): Promise<Outcome> {
  const id = `reach-${++askCount}`;
  const [host, port] = child.settings.callerAddress.split(':');
  return new Promise(resolve => {
    const request = http.get(
      {
        agent,
        host,
        port,
        path: target,
        headers: {Host: HOST, 'X-Request-Id': id},
      },
      response => {
        let body = '';
        response.on('data', (bytes: Buffer) => (body += bytes.toString()));
        response.on('end', () => resolve(toOutcome(response.statusCode, body)));
        response.on('error', () => resolve('other'));
      },
    );
    request.on('error', () => resolve('other'));
  });
}

/** Returns a function that ends the measurement. */
export function measureOwnLateness(): () => number {
  let mostMs = 0;
  let dueAtMs = performance.now() + 20;
  const timer = setInterval(() => {
    mostMs = Math.max(mostMs, performance.now() - dueAtMs);
    dueAtMs = performance.now() + 20;
  }, 20);
  return () => {
    clearInterval(timer);
    return Math.round(mostMs);
  };
}

async function playRound(
  site: SoakSite,
  scenario: ReachScenario,
  routes: number,
  agent: http.Agent,
  random: Random,
): Promise<ReachRound> {
  const {appliedAtMs = 0, acknowledgedAtMs = appliedAtMs} = scenario;
  const earliestMs = Math.min(0, ...scenario.faults.map(e => e.fromMs));
  const target = `${EXTRA_PREFIX}${routes - 1}/1`;
  const {isDrop = false} = scenario;
  const newer: Outcome = isDrop ? 'no-route' : 'served';
  const older: Outcome = isDrop ? 'served' : 'no-route';
  if (isDrop) {
    site.publishConfiguration(routes);
    await wait(CALM_MS);
  }
  const callsBefore = site.store.callCount();
  const endLateness = measureOwnLateness();
  const sentAtMs = performance.now() - earliestMs;
  const at = (ms: number) => wait(sentAtMs + ms - performance.now());
  const faults = scenario.faults.map(async fault => {
    await at(fault.fromMs);
    await playFault(site, fault, random);
  });
  await at(appliedAtMs);
  site.publishConfiguration(isDrop ? routes - 1 : routes);
  await at(acknowledgedAtMs);
  const ackAtMs = performance.now();
  const afterMs = () => performance.now() - ackAtMs;
  const inForceAfterMs = new Map<string, number>();
  const lateAnswers: LateAnswer[] = [];
  let lateUnconfirmed = 0;
  const asked = new Set<Promise<void>>();

  async function askHost(host: SoakHost): Promise<void> {
    const {hostId} = host.child.settings;
    const sentAfterMs = Math.round(afterMs());
    const outcome = await ask(agent, host, target);
    // A host without the older version's route goes by the newer version.
    const isNewer = outcome === newer || (isDrop && outcome === 'unconfirmed');
    if (isNewer && !inForceAfterMs.has(hostId)) {
      inForceAfterMs.set(hostId, Math.round(afterMs()));
    }
    if (sentAfterMs <= IN_FORCE_MS) return;
    const tookMs = Math.round(afterMs()) - sentAfterMs;
    if (outcome === older) lateAnswers.push({hostId, sentAfterMs, tookMs});
    if (outcome === 'unconfirmed') lateUnconfirmed++;
  }

  await wait(scenario.askFromMs ?? 0);
  while (afterMs() < ROUND_MS && inForceAfterMs.size < site.hosts.length) {
    for (const host of site.hosts) {
      if (inForceAfterMs.has(host.child.settings.hostId)) continue;
      const asking = askHost(host).finally(() => asked.delete(asking));
      asked.add(asking);
    }
    await wait(ASK_EVERY_MS);
  }
  await Promise.all(faults);
  await Promise.all(asked);
  const storeCalls = site.store.callCount() - callsBefore;
  const ownLatenessMs = endLateness();
  return {
    inForceAfterMs,
    lateAnswers,
    lateUnconfirmed,
    ownLatenessMs,
    storeCalls,
  };
}

/** The lines of `No route matches the request.` that a host has logged. */
export function readRefusals(folder: string, hostId: string): string[] {
  return readFileSync(path.join(folder, `${hostId}.log`), 'utf8')
    .split('\n')
    .filter(line => line.includes('No route matches the request.'));
}

export interface ReachOptions {
  readonly hostCount: number;
  readonly program: string;
  readonly folder: string;
  readonly rounds: number;
  readonly seed: number;
  onRound(name: string, round: ReachRound): void;
}

/** Plays each scenario in turn, so many rounds, at one deployment. */
export async function playConfigurationHosts(
  scenarios: ReadonlyMap<string, ReachScenario>,
  options: ReachOptions,
): Promise<void> {
  rmSync(options.folder, {recursive: true, force: true});
  mkdirSync(options.folder, {recursive: true});
  const random = createSeededRandom(options.seed);
  const agent = new http.Agent({keepAlive: true});
  const site = await createSoakSite({
    ...options,
    engineCounts: {prefill: 1, decode: 1},
  });
  try {
    const readyUntilMs = performance.now() + READY_WITHIN_MS;
    for (const host of site.hosts) {
      while ((await ask(agent, host, '/saldo/1')) !== 'served') {
        if (performance.now() > readyUntilMs) throw new Error('Not ready.');
        await wait(200);
      }
    }
    let routes = 0;
    for (const [name, scenario] of scenarios) {
      for (let round = 0; round < options.rounds; round++) {
        await wait(CALM_MS + random.nextInt(1_000));
        options.onRound(
          name,
          await playRound(site, scenario, ++routes, agent, random),
        );
      }
    }
  } finally {
    agent.destroy();
    await site.close();
  }
}
