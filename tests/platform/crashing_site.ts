/**
 * A site whose upstreams end under a request that comes again and again, beside
 * sound requests, and start again as new instances.
 */

import type {
  Crash,
  CrashedPort,
  EngineOptions,
  EngineRun,
  EngineStandIn,
} from '../../stand_ins/users_platform/engine_stand_in.js';
import {
  createSite,
  makeConfiguration,
  PROMPT_HEADERS,
  untilReady,
  wait,
  type Entry,
  type Site,
  type SiteAnswer,
} from './relay_site.js';

export interface CrashScenario {
  /**
   * Path of the request that crashes its upstreams; absent if they end for
   * other reasons.
   */
  readonly path?: string;
  readonly crash: Crash;
  /** How long an upstream is away. */
  readonly restartMs?: number;
  /** The caller disconnects after this time. */
  readonly patienceMs?: number;
  /** Every nth run fails with status 500 and leaves its upstream alive. */
  readonly failsEvery?: number;
}

export interface CrashResult {
  /** Runs that reached an upstream over 3 s after the third crash. */
  readonly lateRuns: number;
  /** Prompts prefilled in that time for the request. */
  readonly latePrefills: number;
  readonly crashes: number;
  /** Sound requests that were refused for the end of upstreams. */
  readonly soundRefusals: number;
  readonly soundAnswers: number;
}

const HEARTBEAT_MS = 600;
const ROW_EXPIRY_MS = 3 * HEARTBEAT_MS;
/** All entries have found each other. */
const PEERS_FOUND_MS = 1_500;
const RESTART_MS = 1_200;
const DURATION_MS = 8_000;
/** No two upstreams are away at a time. */
const END_INTERVAL_MS = RESTART_MS;
const PORTS: readonly CrashedPort[] = ['closed', 'resetting', 'silent'];
const POISON_INTERVAL_MS = 250;
const SOUND_INTERVAL_MS = 25;
const CONTACT_MS = 3_000;
const ENTRY_COUNT = 3;
const POISON = 'poison';
const SOUND_PATHS = ['/saldo/1', '/makse/1', '/lisa/1'];
/** The codes of the errors `quarantined` and `suspected`. */
const REFUSED_FOR_CRASHES = /"CB20(07|12)"/;

const isPoison = ({body}: EngineRun) => body === POISON;

interface CrashingSite {
  readonly site: Site;
  readonly entries: readonly Entry[];
  readonly upstreams: readonly EngineStandIn[];
  /** When runs of the request crashed upstreams. */
  readonly crashTimes: number[];
  /** Starts another instance of an upstream that has ended. */
  restart(upstream: EngineStandIn): Promise<void>;
  close(): Promise<void>;
}

/** Upstreams write heartbeats; an ended one returns under another id. */
async function createCrashingSite(
  scenario: CrashScenario,
): Promise<CrashingSite> {
  const site = await createSite();
  const upstreams: EngineStandIn[] = [];
  const crashTimes: number[] = [];
  const endedIds = new Set<string>();
  let startCount = 0;
  let runCount = 0;
  let isClosed = false;

  async function restart(upstream: EngineStandIn): Promise<void> {
    const endedId = upstream.id;
    endedIds.add(endedId);
    setTimeout(() => site.store.remove('servers', endedId), ROW_EXPIRY_MS);
    await wait(scenario.restartMs ?? RESTART_MS);
    await upstream.restart(`again-${++startCount}`);
    if (!isClosed) site.list(upstream);
  }

  async function addUpstream(
    options: Pick<EngineOptions, 'service' | 'role'>,
  ): Promise<void> {
    const upstream = await site.addUpstream({
      ...options,
      id: `i-${++startCount}`,
      crashOf(run) {
        if (!isPoison(run) || run.stage === 'prefill') return undefined;
        runCount++;
        const {failsEvery} = scenario;
        const fails = failsEvery !== undefined && runCount % failsEvery === 0;
        return fails ? 'fail' : scenario.crash;
      },
      onCrash(ended) {
        crashTimes.push(performance.now());
        void restart(ended);
      },
    });
    upstreams.push(upstream);
  }

  site.configure(makeConfiguration());
  for (let i = 0; i < 6; i++) await addUpstream({service: 'ledger'});
  for (let i = 0; i < 5; i++) {
    await addUpstream({service: 'drafts', role: 'decode'});
  }
  for (let i = 0; i < 2; i++) {
    await addUpstream({service: 'drafts', role: 'prefill'});
  }
  const heartbeat = setInterval(() => {
    for (const upstream of upstreams) {
      if (!endedIds.has(upstream.id)) site.list(upstream);
    }
  }, HEARTBEAT_MS);
  const entries: Entry[] = [];
  for (let i = 0; i < ENTRY_COUNT; i++) {
    const seedAddresses = entries.map(({settings}) => settings.peerAddress);
    entries.push(await site.addEntry({seedAddresses}));
  }
  for (const entry of entries) await untilReady(site, entry);
  await wait(PEERS_FOUND_MS);
  return {
    site,
    entries,
    upstreams,
    crashTimes,
    restart,
    async close() {
      isClosed = true;
      clearInterval(heartbeat);
      await site.close();
    },
  };
}

/** Sends sound requests, each time the same ones, until the end. */
async function sendSound(
  {site, entries}: CrashingSite,
  endAtMs: number,
): Promise<readonly SiteAnswer[]> {
  const running: Array<Promise<SiteAnswer | undefined>> = [];
  for (let i = 0; performance.now() < endAtMs; i++) {
    const path = SOUND_PATHS[i % SOUND_PATHS.length];
    const entry = entries[(i >> 1) % entries.length];
    const answer = site.call(entry, path, {
      method: 'POST',
      body: 'sound',
      headers: path.startsWith('/lisa/') ? PROMPT_HEADERS : {},
    });
    running.push(answer.catch(() => undefined));
    await wait(SOUND_INTERVAL_MS);
  }
  const answers = await Promise.all(running);
  return answers.filter(each => each !== undefined);
}

async function sendPoison(
  {site, entries}: CrashingSite,
  path: string,
  patienceMs: number | undefined,
  endAtMs: number,
): Promise<void> {
  for (let i = 0; performance.now() < endAtMs; i++) {
    site
      .call(entries[i % entries.length], path, {
        method: 'POST',
        body: POISON,
        headers: path.startsWith('/lisa/') ? PROMPT_HEADERS : {},
        onStart(request) {
          if (patienceMs) setTimeout(() => request.destroy(), patienceMs);
        },
      })
      .catch(() => undefined);
    await wait(POISON_INTERVAL_MS);
  }
}

/** Ends one upstream after the other, each with another kind of port. */
async function endUpstreams(
  {upstreams, restart}: CrashingSite,
  endAtMs: number,
): Promise<void> {
  for (let i = 0; performance.now() < endAtMs; i++) {
    const upstream = upstreams[(5 * i) % upstreams.length];
    upstream.crash(PORTS[i % PORTS.length]);
    void restart(upstream);
    await wait(END_INTERVAL_MS);
  }
}

export async function playCrashes(
  scenario: CrashScenario,
): Promise<CrashResult> {
  const crashing = await createCrashingSite(scenario);
  try {
    const endAtMs = performance.now() + DURATION_MS;
    const [sound] = await Promise.all([
      sendSound(crashing, endAtMs),
      scenario.path
        ? sendPoison(crashing, scenario.path, scenario.patienceMs, endAtMs)
        : endUpstreams(crashing, endAtMs),
    ]);
    const {upstreams, crashTimes} = crashing;
    const lateFromMs = (crashTimes[2] ?? Infinity) + CONTACT_MS;
    const late = upstreams
      .flatMap(({runs}) => runs)
      .filter(run => isPoison(run) && run.startedAtMs > lateFromMs);
    return {
      lateRuns: late.filter(({stage}) => stage !== 'prefill').length,
      latePrefills: late.filter(({stage}) => stage === 'prefill').length,
      crashes: crashTimes.length,
      soundRefusals: sound.filter(({body}) => REFUSED_FOR_CRASHES.test(body))
        .length,
      soundAnswers: sound.filter(({status}) => status === 200).length,
    };
  } finally {
    await crashing.close();
  }
}
