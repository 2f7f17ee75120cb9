/** Callers that send requests ahead on their connections to a leaving host. */

import assert from 'node:assert/strict';
import {execFileSync} from 'node:child_process';
import {mkdirSync, rmSync} from 'node:fs';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import {after, before, test} from 'node:test';
import {createAheadCaller, type AheadRequest} from './ahead_callers.js';
import {createSoakSite, type SoakSite} from './soak_site.js';

const GRACE_MS = 8_000;
const DEADLINE_MS = 14_000;
const CALLERS = 10;
const SEND_EVERY_MS = 40;
const CALM_MS = 2_000;
const SHORT_MS = 20;
const STREAM = '/mustand/1';
/** Streams that begin later after the SIGTERM outlast the grace. */
const SLOW_AFTER_MS = 600;
const EVENT_EVERY_MS = 20;
const SLOW_EVENT_EVERY_MS = 500;
const TARGETS = ['/saldo/1', '/makse/1', STREAM];
/** A request sent this long before the close may cross it. */
const CROSSING_MS = 200;
const READY_WITHIN_MS = 15_000;

const folder = path.resolve('build', 'soak', 'leaving-sent-ahead');
const bundle = path.resolve('build', 'soak', `sent-ahead-${process.pid}`);
const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));
let site: SoakSite;
let isSlow = false;

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
    workMs: () => SHORT_MS,
    eventEveryMs: () => (isSlow ? SLOW_EVENT_EVERY_MS : EVENT_EVERY_MS),
    engineCounts: {prefill: 2, decode: 8},
  });
});

after(() => site.close());

async function untilServing(address: string): Promise<void> {
  const untilMs = performance.now() + READY_WITHIN_MS;
  for (;;) {
    const caller = createAheadCaller(address, 'first');
    caller.send(STREAM, DEADLINE_MS);
    await Promise.race([caller.answered(1), caller.closed]);
    caller.close();
    if (caller.sent[0].status === 200) return;
    if (performance.now() > untilMs) throw new Error('The host is not ready.');
    await wait(100);
  }
}

test('a leaving host answers the requests that were sent ahead to it', async t => {
  // Guards against requests without an answer behind a stream that is cut.
  const {child} = site.hosts[0];
  const {callerAddress} = child.settings;
  await untilServing(callerAddress);
  const callers = Array.from({length: CALLERS}, (_, i) =>
    createAheadCaller(callerAddress, `caller-${i}`),
  );
  const sender = setInterval(() => {
    for (const caller of callers) {
      caller.send(TARGETS[caller.sent.length % TARGETS.length], DEADLINE_MS);
    }
  }, SEND_EVERY_MS);
  await wait(CALM_MS);
  const leftAtMs = performance.now();
  child.signal('SIGTERM');
  setTimeout(() => (isSlow = true), SLOW_AFTER_MS);
  const killer = setTimeout(() => child.signal('SIGKILL'), GRACE_MS);
  const exit = await child.ended();
  clearTimeout(killer);
  clearInterval(sender);
  await Promise.all(callers.map(({closed}) => closed));
  const sent = callers.flatMap(each => each.sent);
  const ranIds = new Set(
    site.upstreams.flatMap(({standIn}) =>
      standIn.runs.map(({requestId}) => requestId),
    ),
  );
  const isUnanswered = ({status, sentAtMs, closedAtMs}: AheadRequest) =>
    status === undefined && closedAtMs - sentAtMs > CROSSING_MS;
  const unanswered = sent.filter(isUnanswered);
  const counts = new Map<number | undefined, number>();
  for (const {status} of sent)
    counts.set(status, (counts.get(status) ?? 0) + 1);
  t.diagnostic(
    JSON.stringify({
      sent: sent.length,
      byStatus: [...counts],
      unanswered: unanswered.length,
      unansweredAndRun: unanswered.filter(({id}) => ranIds.has(id)).length,
      firstMs: Math.round((unanswered.at(0)?.sentAtMs ?? leftAtMs) - leftAtMs),
      endedAfterMs: Math.round(performance.now() - leftAtMs),
    }),
  );
  assert.equal(exit.signal, null);
  assert.deepEqual(
    sent.filter(({id, answerId}) => answerId !== undefined && answerId !== id),
    [],
  );
  assert.equal(unanswered.length, 0);
  // Refusals promise that nothing has run.
  assert.deepEqual(
    sent.filter(({id, status}) => status === 503 && ranIds.has(id)),
    [],
  );
});
