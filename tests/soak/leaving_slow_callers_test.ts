/** Callers of a leaving host that send or read slowly. */

import assert from 'node:assert/strict';
import {execFileSync} from 'node:child_process';
import {mkdirSync, rmSync} from 'node:fs';
import http from 'node:http';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import {after, before, test} from 'node:test';
import {HOST, PROMPT_HEADERS} from '../platform/relay_site.js';
import {createSoakSite, type SoakSite} from './soak_site.js';

const GRACE_MS = 8_000;
const DEADLINE_MS = 14_000;
/** Requests with such a deadline begin until then. */
const OPEN_MS = 3_000;
const EVENT_BYTES = 200_000;
/** More than the buffers between a host and its caller hold. */
const EVENTS = 80;
const READY_WITHIN_MS = 15_000;

interface SlowCall {
  readonly path: '/mustand/1' | '/makse/1';
  /** Times from the SIGTERM: the head is sent. */
  readonly sentMs: number;
  /** The rest of the body is sent; at once if absent. */
  readonly bodyMs?: number;
  /** Reads nothing of the answer until then; at once if absent. */
  readonly readMs?: number;
}

interface Answer {
  readonly status?: number;
  readonly size: number;
  readonly isWhole: boolean;
  readonly problem: string;
}

const folder = path.resolve('build', 'soak', 'leaving-slow-callers');
const bundle = path.resolve('build', 'soak', `slow-callers-${process.pid}`);
const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));
let site: SoakSite;

before(async () => {
  execFileSync(process.execPath, ['scripts/build_bundle.mjs', bundle]);
  rmSync(folder, {recursive: true, force: true});
  mkdirSync(folder, {recursive: true});
  site = await createSoakSite({
    hostCount: 2,
    program: path.join(bundle, 'main.mjs'),
    folder,
    routeTimeoutMs: DEADLINE_MS,
    leaveGraceMs: GRACE_MS,
    eventBytes: EVENT_BYTES,
    eventCount: EVENTS,
    workMs: () => 50,
  });
});

after(() => site.close());

function call(
  address: string,
  {path: target, bodyMs = 0, readMs = 0, sentMs}: SlowCall,
): Promise<Answer> {
  return new Promise(resolve => {
    const request = http.request(`http://${address}${target}`, {
      method: 'POST',
      agent: false,
      headers: {
        ...PROMPT_HEADERS,
        Host: HOST,
        'X-Request-Id': `${target.slice(1, 3)}-${sentMs}-${bodyMs}-${readMs}`,
        'X-Deadline-Ms': String(DEADLINE_MS),
        'Transfer-Encoding': 'chunked',
      },
    });
    request.on('error', () =>
      resolve({size: 0, isWhole: false, problem: 'no answer'}),
    );
    request.on('response', response => {
      let size = 0;
      let problem = '';
      response.on('error', () => undefined);
      response.on('close', () =>
        resolve({
          status: response.statusCode,
          size,
          isWhole: response.complete,
          problem,
        }),
      );
      const read = () =>
        response.on('data', (bytes: Buffer) => {
          size += bytes.length;
          if (response.statusCode !== 200) problem += String(bytes);
        });
      setTimeout(read, readMs - sentMs);
    });
    request.write('first part, ');
    setTimeout(() => request.end('last part'), bodyMs - sentMs);
  });
}

async function untilServing(address: string): Promise<void> {
  const untilMs = performance.now() + READY_WITHIN_MS;
  while ((await call(address, {path: '/makse/1', sentMs: 0})).status !== 200) {
    if (performance.now() > untilMs) throw new Error('The host is not ready.');
    await wait(100);
  }
}

const CALLS: readonly SlowCall[] = [
  ...[-500, 500, 2_000].flatMap(sentMs => [
    {path: '/mustand/1', sentMs, readMs: 3_500} as const,
    {path: '/mustand/1', sentMs, readMs: 6_500} as const,
  ]),
  ...[1_500, 3_400, 5_000, 7_000, 7_600].flatMap(bodyMs => [
    {path: '/mustand/1', sentMs: 1_000, bodyMs} as const,
    {path: '/makse/1', sentMs: 1_000, bodyMs} as const,
    {path: '/makse/1', sentMs: -1_000, bodyMs} as const,
  ]),
];

test('a leaving host ends the requests of slow callers', async () => {
  // Guards against answers that are cut since their caller reads late, and against
  // requests without an answer since their body was whole late in the grace.
  const {child} = site.hosts[0];
  const {callerAddress} = child.settings;
  await untilServing(callerAddress);
  const startMs = performance.now() + 1_500;
  const at = (ms: number) => wait(startMs + ms - performance.now());
  const answers = CALLS.map(async each => {
    await at(each.sentMs);
    return {...each, ...(await call(callerAddress, each))};
  });
  await at(0);
  child.signal('SIGTERM');
  // A second signal must not start the grace again.
  await at(2_500);
  child.signal('SIGTERM');
  child.signal('SIGINT');
  const killer = setTimeout(
    () => child.signal('SIGKILL'),
    startMs + GRACE_MS - performance.now(),
  );
  const exit = await child.ended();
  clearTimeout(killer);
  assert.equal(exit.signal, null);
  const bad = (await Promise.all(answers)).filter(
    ({path: target, status, size, isWhole, problem, bodyMs = 0}) => {
      if (!isWhole) return true;
      if (bodyMs >= OPEN_MS) return !problem.includes('error:shutting-down');
      const minBytes = target === '/mustand/1' ? EVENTS * EVENT_BYTES : 1;
      return status !== 200 || size < minBytes;
    },
  );
  assert.deepEqual(bad, []);
});
