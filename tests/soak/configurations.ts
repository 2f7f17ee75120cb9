/**
 * Configurations that add and drop routes, and callers that ask each host for
 * these.
 */

import type {Random} from '../../src/ports/random.js';
import {CONFIG_MS} from './configuration_checks.js';
import type {FaultContext, PlannedFault} from './fault_kinds.js';
import type {SoakCallers} from './soak_callers.js';
import type {SoakHost, SoakSite} from './soak_site.js';

/** Between two versions of a series. */
const GAPS_MS = [50, 400, 1_200, 2_800];
const RECENT_COUNT = 3;
const MIN_INTERVAL_MS = 50;
/** Callers ask until this long after the bound of the last version. */
const TAIL_MS = 1_500;

const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** Each version adds a route and drops some of those before it. */
export async function changeRoutes(
  {site, random, now}: FaultContext,
  {forMs}: PlannedFault,
): Promise<void> {
  const endAtMs = now() + forMs;
  while (now() < endAtMs) {
    const before = site.configurations.at(-1)?.routes ?? [];
    const kept = before.filter(() => random.nextInt(4) !== 0);
    const added = `c${site.configurations.length}`;
    site.publishConfiguration(0, [...kept, added]);
    await wait(GAPS_MS[random.nextInt(GAPS_MS.length)]);
  }
}

/** The newest route half of the time, else any other. */
function chooseAdded(site: SoakSite, random: Random): string | undefined {
  const routes = site.configurations.at(-1)?.routes ?? [];
  const isNewest = random.nextInt(2) === 0;
  return isNewest ? routes.at(-1) : routes[random.nextInt(routes.length)];
}

/** One of the last half of the time, else any. */
function chooseDropped(site: SoakSite, random: Random): string | undefined {
  const current = new Set(site.configurations.at(-1)?.routes);
  const all = new Set(site.configurations.flatMap(({routes}) => routes));
  const dropped = [...all].filter(route => !current.has(route));
  const isRecent = random.nextInt(2) === 0;
  const asked = isRecent ? dropped.slice(-RECENT_COUNT) : dropped;
  return asked[random.nextInt(asked.length)];
}

export interface RouteCallersHost {
  readonly site: SoakSite;
  readonly random: Random;
  now(): number;
  readonly callers: SoakCallers;
}

export interface RouteCallers {
  /** Resolves once the bound of the last version has passed at all hosts. */
  stop(): Promise<void>;
}

/**
 * Asks each host for an added and for a dropped route, each 50 to 100 ms after
 * the answer before, as long as its process runs.
 */
export function startRouteCallers(host: RouteCallersHost): RouteCallers {
  const {site, random, now, callers} = host;
  let isStopped = false;

  async function ask(
    {child}: SoakHost,
    choose: typeof chooseAdded,
  ): Promise<void> {
    while (!isStopped) {
      const route = choose(site, random);
      if (route && child.isRunning()) {
        await callers.callRoute(child.settings.callerAddress, route);
      }
      await wait(MIN_INTERVAL_MS + random.nextInt(MIN_INTERVAL_MS + 1));
    }
  }

  const loops = site.hosts.flatMap(each => [
    ask(each, chooseAdded),
    ask(each, chooseDropped),
  ]);
  return {
    async stop() {
      const {acknowledgedAtMs = 0} = site.configurations.at(-1) ?? {};
      await wait(acknowledgedAtMs + CONFIG_MS + TAIL_MS - now());
      isStopped = true;
      await Promise.all(loops);
    },
  };
}
