/** Streams while engines of several software versions serve side by side. */

import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, test} from 'node:test';
import type {EngineStandIn} from '../../stand_ins/users_platform/engine_stand_in_types.js';
import {
  createSite,
  makeConfiguration,
  PROMPT_HEADERS,
  until,
  untilReady,
  wait,
  type Entry,
  type Site,
  type SiteAnswer,
} from './relay_site.js';

const EVENT_COUNT = 8;
const CALL_COUNT = 12;
/** Several runs are allowed for one answer. */
const RESUMED = '/lisa/1';
/** One run is allowed for one answer, so that only callers resume. */
const BROKEN_OFF = '/once/1';

const FIRST_RUN_BREAK = {
  afterEvents: 3,
  restBytes: 12,
  isReset: true,
  isFirstRunOnly: true,
};

let site: Site;
let entries: readonly Entry[];
let engines: EngineStandIn[];
let nextAttempt = 1;

function makeVersionsConfiguration(): object {
  const base = makeConfiguration() as {readonly routes: readonly object[]};
  const once = {name: 'once', prefix: '/once/', attempts: 1};
  return {...base, routes: [...base.routes, {...base.routes[3], ...once}]};
}

async function addEngine(version: string): Promise<EngineStandIn> {
  const engine = await site.addUpstream({
    id: `i-${engines.length + 1}`,
    service: 'drafts',
    role: 'decode',
    eventCount: EVENT_COUNT,
    version,
  });
  engine.setBreakOff(FIRST_RUN_BREAK);
  engines.push(engine);
  return engine;
}

async function addEntry(): Promise<Entry> {
  const seedAddresses = entries.map(({settings}) => settings.peerAddress);
  const entry = await site.addEntry({seedAddresses, retrySlack: 1_000});
  entries = [...entries, entry];
  await untilReady(site, entry);
  return entry;
}

async function untilLinked(): Promise<void> {
  for (const {settings} of entries) {
    await until('the peers', async () => {
      const {body} = await site.ask(settings.metricsAddress, '/metrics');
      const count = /peers_alive (\d+)\n/.exec(body)?.[1];
      return Number(count) === entries.length - 1;
    });
  }
}

beforeEach(async () => {
  site = await createSite();
  engines = [];
  entries = [];
  for (const version of ['v1', 'v2', 'v1', 'v2']) await addEngine(version);
  site.configure(makeVersionsConfiguration());
  for (let i = 0; i < 3; i++) await addEntry();
  await untilLinked();
});

afterEach(() => site.close());

interface Attempt extends SiteAnswer {
  readonly id: string;
}

async function attempt(
  entry: Entry,
  path: string,
  headers: Readonly<Record<string, string>> = {},
): Promise<Attempt> {
  const id = `attempt-${nextAttempt++}`;
  const all = {...PROMPT_HEADERS, 'X-Request-Id': id, ...headers};
  // Equal bodies would count as one request, which seems to crash engines.
  const body = `rida=${(headers.Resumes ?? id).slice(0, 32)}`;
  const options = {method: 'POST', body, headers: all};
  return {id, ...(await site.call(entry, path, options))};
}

const lastIdOf = (body: string) =>
  [...body.matchAll(/^id: (\d+)\n/gm)].at(-1)?.[1] ?? '';

const versionsOf = (body: string) =>
  new Set([...body.matchAll(/^data: token-\d+ (\S+)\n/gm)].map(([, v]) => v));

const isWhole = (body: string) => lastIdOf(body) === String(EVENT_COUNT);

/** Takes up a stream whose attempts so far were cut. */
function takeUp(
  {id, body}: Pick<Attempt, 'id' | 'body'>,
  entry: Entry,
  changes: {readonly path?: string; readonly resumes?: string} = {},
) {
  const {path = BROKEN_OFF, resumes = id} = changes;
  const headers = {'Last-Event-Id': lastIdOf(body), Resumes: resumes};
  return attempt(entry, path, headers);
}

async function beginAt(entry: Entry): Promise<Attempt> {
  const first = await attempt(entry, BROKEN_OFF);
  assert.ok(first.isCut && lastIdOf(first.body) === '3', first.body);
  return first;
}

/** Engines of the version end, and their entries with them. */
function endEngines(version: string): void {
  for (const engine of engines.filter(each => each.version === version)) {
    engine.crash();
    site.store.remove('servers', engine.id);
  }
}

async function callInTurn<T>(call: (i: number) => Promise<T>): Promise<T[]> {
  const calls = Array.from({length: CALL_COUNT}, async (_, i) => {
    await wait(15 * i);
    return call(i);
  });
  return Promise.all(calls);
}

describe('a stream does not go on at another version', () => {
  // Guards against events of two software versions in one stream.
  test('within one answer', async () => {
    const answers = await callInTurn(i =>
      attempt(entries[i % entries.length], RESUMED),
    );
    for (const {body, isCut} of answers) {
      assert.equal(versionsOf(body).size, 1, body);
      assert.ok(!isCut && isWhole(body), body);
    }
  });

  test('over the attempts of a caller, at another host at once', async () => {
    const streams = await callInTurn(async i => {
      const first = await beginAt(entries[i % 3]);
      return [first, await takeUp(first, entries[(i + 1) % 3])];
    });
    for (const [first, second] of streams) {
      const body = first.body + second.body;
      assert.equal(versionsOf(body).size, 1, body);
      assert.ok(!second.isCut && isWhole(body), body);
      const runs = engines.flatMap(each => each.runs);
      const run = runs.find(({requestId}) => requestId === second.id);
      assert.equal(run?.headers['last-event-id'], '3');
      // Only what the system sets itself is taken from a caller's headers.
      assert.equal(run?.headers['resumes'], first.id);
    }
  });

  test('over three attempts, each of which names the first', async () => {
    await addEngine('v3');
    for (const engine of engines) {
      engine.setBreakOff({...FIRST_RUN_BREAK, isFirstRunOnly: false});
    }
    const streams = await callInTurn(async i => {
      const {id, body} = await beginAt(entries[i % 3]);
      const second = await takeUp({id, body}, entries[(i + 1) % 3]);
      const soFar = body + second.body;
      const third = await takeUp({id, body: soFar}, entries[(i + 2) % 3]);
      return soFar + third.body;
    });
    for (const body of streams) {
      assert.equal(versionsOf(body).size, 1, body);
      assert.ok(isWhole(body), body);
    }
  });

  test('when the host that began it has left', async () => {
    const first = await beginAt(entries[0]);
    entries[0].process.leave();
    await entries[0].process.ended;
    const second = await takeUp(first, entries[1]);
    assert.ok(!second.isCut && isWhole(first.body + second.body));
    assert.equal(versionsOf(first.body + second.body).size, 1);
  });

  test('when an engine is back at its address at another version', async () => {
    const first = await beginAt(entries[0]);
    const [begun] = versionsOf(first.body);
    const other = begun === 'v1' ? 'v2' : 'v1';
    for (const [i, engine] of engines.entries()) {
      if (engine.version !== begun) continue;
      // The list keeps the old entry of one of them.
      engine.crash();
      await engine.restart(`i-again-${i}`, other);
    }
    const second = await takeUp(first, entries[1]);
    assert.ok(versionsOf(second.body).size === 0, second.body);
  });
});

describe('what is known not to be served is refused at once', () => {
  const refusedWith = (answer: Attempt, code: string) => {
    assert.equal(answer.status, 503, answer.body);
    assert.equal(answer.headers['retry-after'], '0.000');
    assert.ok(answer.body.includes(code), answer.body);
  };

  // Guards against events of another version, and of another caller.
  test('a stream of which nothing is known, or of another route', async () => {
    const first = await beginAt(entries[0]);
    const answers = [
      await takeUp(first, entries[1], {resumes: ''}),
      await takeUp(first, entries[1], {resumes: 'attempt-0'}),
      await takeUp(first, entries[1], {resumes: 'x'.repeat(5_000)}),
      await takeUp(first, entries[0], {path: RESUMED}),
    ];
    for (const answer of answers) refusedWith(answer, 'CB2013');
  });

  // Guards against a caller that waits until its deadline for engines that
  // have gone.
  test('a stream whose version has no engine left', async () => {
    const first = await beginAt(entries[0]);
    endEngines([...versionsOf(first.body)][0]);
    await wait(1_500);
    refusedWith(await takeUp(first, entries[1]), 'CB2014');
  });

  test('within one answer, which is broken off', async () => {
    for (const engine of engines) {
      engine.setBreakOff(undefined);
      engine.stallAfterEvents(3);
    }
    const running = attempt(entries[0], RESUMED);
    await until('the run', () => engines.some(each => each.runs.length > 0));
    await wait(100);
    const [run] = engines.filter(each => each.runs.length > 0);
    for (const engine of engines) engine.stallAfterEvents(100);
    const sinceMs = performance.now();
    endEngines(run.version ?? '');
    const {isCut, body} = await running;
    assert.ok(isCut && versionsOf(body).size === 1, body);
    assert.ok(performance.now() - sinceMs < 4_000);
  });
});

test('a stream goes on without `Resumes` while a service has had one version', async () => {
  // Guards against refusing all streams of callers that name no attempt.
  endEngines('v2');
  const configuration = makeVersionsConfiguration() as {
    readonly routes: readonly object[];
  };
  const routes = configuration.routes.map(each => ({...each, timeout_ms: 700}));
  site.configure({...configuration, routes});
  await until('the end of the other version', async () => {
    const first = await beginAt(entries[0]);
    const second = await takeUp(first, entries[1], {resumes: ''});
    return isWhole(first.body + second.body);
  });
});
