import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Route, Routing} from '../../../src/core/routing_types.js';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import type {SendOptions, UpstreamPort} from '../../../src/ports/relay.js';
import {createCancellation} from '../../../src/relay/front/cancellation.js';
import {createRequestPriorities} from '../../../src/relay/placement/request_priority.js';
import type {RelayJob} from '../../../src/relay/relay_types.js';
import {createEngineProbes} from '../../../src/relay/silence/engine_probes.js';
import {createStreamRelay} from '../../../src/relay/streams/stream_relay.js';
import {createRetryBudget} from '../../../src/request/retry_budget.js';
import {makeResourceLimits} from '../../support/resource_limits.js';
import {silentLog} from '../../support/silent_log.js';
import {makeLoneScheduler, makeService} from '../placement/lone_scheduler.js';
import {makeFakeSilence} from '../silence/fake_silence.js';

const service = makeService(30_000);

function makeRoute(priority: number): Route {
  return {
    name: `route-${priority}`,
    host: 'mesto.example',
    prefix: '/',
    kind: 'stream',
    targets: [{service: service.name, weight: 1}],
    maxAttempts: 1,
    timeoutMs: 14_000,
    goalMs: 1_000,
    gapGoalMs: 300,
    priority,
    isResumable: false,
    isPublic: true,
  };
}

/** Runs a stream of the first route; returns the options of its calls. */
async function runStream(
  priorities: readonly number[],
  accountPriority?: number,
) {
  const clock = createVirtualClock(1_000);
  const lone = makeLoneScheduler(clock, ['p1', 'd1']);
  const routes = priorities.map(makeRoute);
  const account = {name: 'a', keyDigests: [], priority: accountPriority};
  const other = {name: 'b', keyDigests: []};
  const accounts = accountPriority === undefined ? [] : [account, other];
  const routing: Partial<Routing> = {routes, accounts};
  const sent: {prefill?: SendOptions; run?: SendOptions} = {};
  const upstreamPort: Partial<UpstreamPort> = {
    prefill(_, options) {
      sent.prefill = options;
      return Promise.resolve({kind: 'prefilled', handle: 'h'});
    },
    send(_, options) {
      sent.run = options;
      return Promise.resolve({kind: 'broken', detail: 'reset'});
    },
    releasePrefill: () => undefined,
  };
  const relay = createStreamRelay({
    ...lone,
    clock,
    memory: makeResourceLimits().memory,
    log: silentLog,
    metrics: {count: () => undefined},
    probes: createEngineProbes({
      clock,
      upstreamPort: {probe: () => Promise.resolve('answered')},
    }),
    silence: makeFakeSilence(),
    upstreamPort: upstreamPort as UpstreamPort,
    place: lone.scheduler.place,
    priorities: createRequestPriorities({routing: () => routing as Routing}),
    retryBudget: createRetryBudget({burst: () => 0, ratioOf: () => 0}),
    resumption: {
      takeUps: {decide: () => Promise.resolve({kind: 'new'})},
      recordBegun: () => undefined,
    },
  });
  const request: Partial<RelayJob['request']> = {
    requestId: 'r',
    arrivedAtMs: 1_000,
    prompt: {promptTokens: 3_000} as RelayJob['request']['prompt'],
  };
  const caller: Partial<RelayJob['caller']> = {
    hasBegun: false,
    refuse: () => undefined,
  };
  await relay.run({
    request: request as RelayJob['request'],
    route: routes[0],
    service,
    caller: caller as RelayJob['caller'],
    cancellation: createCancellation(),
    deadlineAtMs: 15_000,
    admitted: {
      kind: 'admitted',
      account,
      refund: () => undefined,
      isWithdrawn: () => false,
    },
  });
  assert.ok(sent.prefill && sent.run);
  return [sent.prefill.enginePriority, sent.run.enginePriority];
}

test('engines get the priority with the prompt and with the run', async () => {
  // Guards against urgent prompts or runs that an engine admits last or preempts
  // first because one of the two calls lacks the priority.
  assert.deepEqual(await runStream([0, 1, 2]), [3, 3]);
  assert.deepEqual(await runStream([1, 0, 2]), [4, 4]);
  assert.deepEqual(await runStream([2, 1, 0]), [5, 5]);
  // The priority of the account goes first, and then that of the route.
  assert.deepEqual(await runStream([2, 1, 0], 0), [3, 3]);
  assert.deepEqual(await runStream([0, 1, 2], 0), [1, 1]);
});

test('engines get no priority where all routes have the same', async () => {
  // Guards against engines that treat requests otherwise than before where
  // nothing calls for it.
  assert.deepEqual(await runStream([1, 1]), [undefined, undefined]);
  assert.deepEqual(await runStream([1, 1], 0), [undefined, undefined]);
});
