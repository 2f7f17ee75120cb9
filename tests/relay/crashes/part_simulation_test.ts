import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSeededRandom} from '../../../src/core/seeded_random.js';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import type {Upstream} from '../../../src/core/upstream.js';
import type {RelayRequest} from '../../../src/ports/relay.js';
import type {CrashWatch} from '../../../src/relay/crashes/crash_watch.js';
import type {WatchedRun} from '../../../src/relay/crashes/watched_upstream_port.js';
import {makeUpstream} from '../store/store_site.js';
import {makeRequest, makeWatch} from './crash_site.js';

/** Hosts and engines in virtual time; times in ms. */
interface Site {
  readonly soundEveryMs?: number;
  /** Time between bad requests; none without it. */
  readonly badEveryMs?: number;
  readonly badParts?: readonly string[];
  /** Shared parts that each bad request has as well. */
  readonly beside?: readonly string[];
  /** Engines end for other reasons: how often, how many and within what time. */
  readonly ends?: {
    readonly everyMs: number;
    readonly count: number;
    readonly withinMs: number;
  };
  readonly restartEveryMs?: number;
  /** Share of sound requests with the part `rare`. */
  readonly rareShare?: number;
}

interface Outcome {
  readonly lateCount: number;
  /** Engines that bad requests ended. */
  readonly crashCount: number;
  /** When sound requests were refused, and their parts. */
  readonly refused: readonly string[];
}

const HOSTS = 9;
const ENGINES = 12;
const PLAY_MS = 20_000;
const SEEDS = [1];
/** Requests that may be sent later than 3 s after the fifth crash of a part. */
const MAX_LATE = 3;
const MIXTURES = [['a'], ['a', 'b'], ['b', 'c'], ['c', 'd'], ['d']];

const sum = (counts: Iterable<number>) =>
  [...counts].reduce((total, each) => total + each, 0);

async function play(site: Site, seed: number): Promise<Outcome> {
  const clock = createVirtualClock(1_000);
  const random = createSeededRandom(seed);
  const between = (from: number, to: number) =>
    from + random.nextFloat() * (to - from);
  const after = (ms: number, action: () => void) =>
    void clock.setTimer(ms, action);
  const every = (from: number, to: number, action: () => void) =>
    after(between(from, to), () => {
      action();
      every(from, to, action);
    });
  const runsByEngine = new Map<string, Set<() => void>>();
  let nextEngine = 1;
  let nextTarget = 1;
  const startEngine = () =>
    void runsByEngine.set(`e${nextEngine++}`, new Set());
  const watchHost = () =>
    makeWatch(clock, {
      upstreamPort: {
        probe: ({id}: Upstream) =>
          Promise.resolve(runsByEngine.has(id) ? 'answered' : 'refused'),
      },
    });
  const hosts: CrashWatch[] = Array.from({length: HOSTS}, watchHost);
  for (let i = 0; i < ENGINES; i++) startEngine();

  function endEngine(id: string): void {
    const runs = runsByEngine.get(id);
    if (!runs) return;
    runsByEngine.delete(id);
    for (const cut of [...runs]) cut();
    after(between(2_000, 4_000), startEngine);
  }

  const crashesByPart = new Map<string, number>();
  const fifthAtMs = new Map<string, number>();
  const lateByPart = new Map<string, number>();
  const refused: string[] = [];
  const badParts = new Set(site.badParts ?? ['bad']);
  const badPartOf = ({sharedParts = []}: RelayRequest) =>
    sharedParts.find(part => badParts.has(part));
  const add = (counts: Map<string, number>, key: string) => {
    counts.set(key, (counts.get(key) ?? 0) + 1);
    return counts.get(key);
  };

  function send(host: number, request: RelayRequest, attempts = 2): void {
    const ids = [...runsByEngine.keys()];
    if (ids.length === 0) return;
    if (hosts[host].findRefusal(request)) {
      if (badPartOf(request)) return;
      refused.push(`${clock.nowMs()}: ${request.sharedParts?.join('+')}`);
      return;
    }
    const bad = badPartOf(request);
    if (bad && clock.nowMs() > (fifthAtMs.get(bad) ?? Infinity) + 3_000)
      add(lateByPart, bad);
    const engine = ids[random.nextInt(ids.length)];
    const run: WatchedRun = hosts[host].startRun(request, makeUpstream(engine));
    let isOpen = true;
    function cut(): void {
      isOpen = false;
      run.end('broken');
      if (attempts > 1)
        after(between(1, 60), () => send(host, request, attempts - 1));
    }
    runsByEngine.get(engine)?.add(cut);
    function write(untilMs: number): void {
      if (!isOpen) return;
      run.noteData();
      if (clock.nowMs() < untilMs) return after(150, () => write(untilMs));
      runsByEngine.get(engine)?.delete(cut);
      run.end('complete');
    }
    after(between(20, 80), () => {
      if (!isOpen) return;
      run.noteAnswer();
      write(clock.nowMs() + (bad ? 2_000 : between(300, 1_000)));
      if (!bad) return;
      after(between(20, 150), () => {
        if (!isOpen) return;
        if (add(crashesByPart, bad) === 5) fifthAtMs.set(bad, clock.nowMs());
        endEngine(engine);
      });
    });
  }

  const sendNew = (parts: readonly string[]) =>
    send(random.nextInt(HOSTS), {
      ...makeRequest(`/t${nextTarget++}`),
      sharedParts: ['root', ...parts],
    });
  const pick = <T>(list: readonly T[]): T => list[random.nextInt(list.length)];
  const {soundEveryMs = 25, badEveryMs, ends, restartEveryMs} = site;
  const {rareShare = 0, beside = []} = site;
  every(soundEveryMs * 0.5, soundEveryMs * 1.5, () => {
    const extra = random.nextFloat() < rareShare ? ['rare'] : [];
    sendNew([...pick(MIXTURES), ...extra]);
  });
  if (badEveryMs !== undefined) {
    after(4_000, () =>
      every(badEveryMs * 0.8, badEveryMs * 1.2, () =>
        sendNew([pick([...badParts]), ...pick(MIXTURES), ...beside]),
      ),
    );
  }
  if (ends) {
    every(ends.everyMs * 0.8, ends.everyMs * 1.2, () => {
      for (const id of [...runsByEngine.keys()].slice(0, ends.count)) {
        after(between(0, ends.withinMs), () => endEngine(id));
      }
    });
  }
  if (restartEveryMs !== undefined) {
    every(
      restartEveryMs,
      restartEveryMs,
      () => (hosts[random.nextInt(HOSTS)] = watchHost()),
    );
  }
  for (let from = 0; from < HOSTS; from++) {
    for (let to = 0; to < HOSTS; to++) {
      if (from === to) continue;
      every(200, 700, () => {
        const facts: unknown = JSON.parse(
          JSON.stringify(hosts[from].takeFacts()),
        );
        if (random.nextFloat() < 0.05) return;
        after(between(1, 40), () =>
          hosts[to].applyFacts(facts as readonly unknown[]),
        );
      });
    }
  }
  await clock.advance(PLAY_MS);
  const lateCount = Math.max(0, ...lateByPart.values());
  const crashCount = sum(crashesByPart.values());
  return {lateCount, crashCount, refused};
}

const SITES: Readonly<Record<string, Site>> = {
  'one each 0.2 s': {badEveryMs: 200},
  'one each 0.7 s': {badEveryMs: 700},
  'one each 4 s': {badEveryMs: 4_000},
  'few sound ones, often': {badEveryMs: 250, soundEveryMs: 400},
  'two bad parts': {badEveryMs: 700, badParts: ['bad', 'bad2']},
  'a rare part beside all': {
    badEveryMs: 700,
    beside: ['rare'],
    rareShare: 0.01,
  },
  'mass ends and bad': {
    badEveryMs: 1_500,
    ends: {everyMs: 8_000, count: 9, withinMs: 1_000},
  },
  'restarts, few sound': {
    badEveryMs: 700,
    restartEveryMs: 1_500,
    soundEveryMs: 400,
  },
  'a caller adds parts of others': {
    badEveryMs: 700,
    beside: ['a', 'd', 'rare'],
    rareShare: 0.02,
  },
  'only ends': {ends: {everyMs: 1_000, count: 1, withinMs: 0}},
  'only mass ends, 1 s': {ends: {everyMs: 6_000, count: 9, withinMs: 1_000}},
  'only mass ends, 2 s, few sound': {
    ends: {everyMs: 6_000, count: 10, withinMs: 2_000},
    soundEveryMs: 400,
  },
  'only mass ends, restarts': {
    ends: {everyMs: 6_000, count: 10, withinMs: 2_000},
    restartEveryMs: 700,
    rareShare: 0.02,
  },
};

for (const [name, site] of Object.entries(SITES)) {
  test(`in virtual time: ${name}`, async () => {
    // Guards against requests with a bad part that are sent on, and against
    // sound ones that are refused beside them or beside other ends.
    for (const seed of SEEDS) {
      const {lateCount, crashCount, refused} = await play(site, seed);
      assert.equal(crashCount > 2, site.badEveryMs !== undefined);
      assert.ok(lateCount <= MAX_LATE, `seed ${seed}: ${lateCount} too late`);
      assert.deepEqual(refused, [], `seed ${seed}`);
    }
  });
}
