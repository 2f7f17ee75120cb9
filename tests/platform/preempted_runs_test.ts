/** Engines that preempt runs in the middle of their streams. */

import assert from 'node:assert/strict';
import {afterEach, test} from 'node:test';
import type {EngineStandIn} from '../../stand_ins/users_platform/engine_stand_in_types.js';
import {
  createSite,
  makeConfiguration,
  PROMPT_HEADERS,
  untilReady,
  wait,
  type Site,
} from './relay_site.js';

const EVENT_COUNT = 12;
const STREAM_COUNT = 6;
const PREEMPTED_MS = 2_200;
/** As long as a run may go on once its request goes on at another engine. */
const OVERLAP_MS = 400;
const draft = {method: 'POST', body: 'rida=1', headers: PROMPT_HEADERS};

let site: Site;

afterEach(() => site.close());

/** Starts engines that go on with preempted runs whatever their connection. */
async function start(): Promise<readonly EngineStandIn[]> {
  site = await createSite();
  await site.addUpstream({id: 'p-1', service: 'drafts', role: 'prefill'});
  const engines = await Promise.all(
    ['d-1', 'd-2', 'd-3'].map(id =>
      site.addUpstream({
        ...{id, service: 'drafts', role: 'decode', eventCount: EVENT_COUNT},
        eventEveryMs: 40,
        reportsRuns: true,
        preemption: {
          afterEvents: 3,
          forMs: PREEMPTED_MS,
          keepsRuns: true,
        },
      }),
    ),
  );
  site.configure(makeConfiguration());
  return engines;
}

test('a run that its engine has preempted is not begun at another one', async () => {
  // Guards against a request that two engines work on.
  const engines = await start();
  const entry = await site.addEntry();
  await untilReady(site, entry);
  const answers = await Promise.all(
    Array.from({length: STREAM_COUNT}, () =>
      site.call(entry, '/lisa/1', draft),
    ),
  );
  for (const {status, isCut} of answers) {
    assert.equal(status, 200);
    assert.equal(isCut, false);
  }
  // Until a run that was left has made its last event.
  await wait(PREEMPTED_MS + EVENT_COUNT * 40);
  const runs = engines.flatMap(each => each.runs);
  for (const first of runs) {
    for (const next of runs) {
      const isNext =
        next.requestId === first.requestId &&
        next.startedAtMs > first.startedAtMs;
      const overlapMs = (first.lastEventAtMs ?? 0) - next.startedAtMs;
      assert.ok(!isNext || overlapMs <= OVERLAP_MS, `${overlapMs} ms`);
    }
  }
  assert.equal(runs.length, STREAM_COUNT);
});
