import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Route, Service} from '../../src/core/routing_types.js';
import {createVirtualClock} from '../../src/core/virtual_clock.js';
import type {RelayRequest} from '../../src/ports/relay.js';
import type {AccountAdmissionOutcome} from '../../src/relay/accounts/account_admission.js';
import type {Caller} from '../../src/relay/front/caller.js';
import {createOpenJobs} from '../../src/relay/open_jobs.js';
import {createRelay, type RelayHost} from '../../src/relay/relay.js';
import {createRelayMetrics} from '../../src/relay/relay_metrics.js';
import {silentLog} from '../support/silent_log.js';

const ROUTE: Partial<Route> = {
  kind: 'non-idempotent',
  timeoutMs: 5_000,
  targets: [{service: 'ledger', weight: 1}],
};
const SERVICE: Partial<Service> = {name: 'ledger'};

test('a request whose account is not admitted yet is answered when its host leaves', async () => {
  // Guards against a closed connection of a request that was read and never sent.
  const clock = createVirtualClock(1_000);
  const openJobs = createOpenJobs({
    isWaiting: () => false,
    mayHaveRun: () => false,
  });
  let settle: (outcome: AccountAdmissionOutcome) => void = () => undefined;
  let runCount = 0;
  let refundCount = 0;
  const host = {
    clock,
    log: silentLog,
    metrics: createRelayMetrics(),
    routing: {
      current: () => ({}),
      match: () => ROUTE,
      service: () => SERVICE,
      version: () => 1,
    },
    plain: {
      run() {
        runCount++;
        return Promise.resolve({end: 'answered', upstreams: []} as const);
      },
    },
    crashes: {
      findRefusal: () => undefined,
      watchWaiting: () => () => undefined,
    },
    accounts: {
      admit: () => new Promise(resolve => (settle = resolve)),
    },
    durations: {record: () => undefined},
    openJobs,
    refuseForLeaving: () => undefined,
  } as unknown as RelayHost;
  const refusals: string[] = [];
  const caller: Partial<Caller> = {
    hasBegun: false,
    noteShape: () => undefined,
    refuse: ({kind}) => void refusals.push(kind),
    onDisconnect: () => undefined,
  };
  const request: Partial<RelayRequest> = {
    host: 'raamatud.example',
    target: '/makse/1',
    arrivedAtMs: clock.nowMs(),
    waitMs: 3_000,
  };
  const handling = createRelay(host).handle(
    request as RelayRequest,
    caller as Caller,
  );
  openJobs.endUnanswered({kind: 'shutting-down', detail: ''});
  assert.deepEqual(refusals, ['shutting-down']);
  settle({
    kind: 'admitted',
    refund: () => refundCount++,
    isWithdrawn: () => false,
  });
  await handling;
  assert.equal(runCount, 0);
  assert.equal(refundCount, 1);
});

/** A relay that knows no route, and learns of one while it waits. */
function makeUnknownRouteRelay(isConfirmed: boolean, isLearned = false) {
  const clock = createVirtualClock(1_000);
  let hasRoute = false;
  const fields: unknown[] = [];
  const host = {
    clock,
    log: {...silentLog, info: (_: string, more: unknown) => fields.push(more)},
    metrics: createRelayMetrics(),
    routing: {
      current: () => ({}),
      match: () => (hasRoute ? ROUTE : undefined),
      service: () => undefined,
      version: () => 18,
    },
    configurationStatus: () => ({
      version: 18,
      ageMs: 2_100,
      confirmedBy: 'peer',
      announcedVersion: 19,
      behindMs: 40,
    }),
    loopLatenessMs: () => 12,
    confirmConfiguration() {
      hasRoute = isLearned;
      return Promise.resolve(isConfirmed);
    },
    crashes: {findRefusal: () => undefined},
  } as unknown as RelayHost;
  const refusals: string[] = [];
  const caller: Partial<Caller> = {
    refuse: ({kind}) => void refusals.push(kind),
  };
  const request: Partial<RelayRequest> = {
    requestId: 'r1',
    host: 'raamatud.example',
    target: '/makse/1',
    arrivedAtMs: clock.nowMs(),
    waitMs: 3_000,
  };
  return {
    fields,
    refusals,
    handle: () =>
      createRelay(host).handle(request as RelayRequest, caller as Caller),
  };
}

test('a route is unknown only by a configuration that was confirmed', async () => {
  // Guards against a 404 for a route of a version that this host lacks.
  const confirmed = makeUnknownRouteRelay(true);
  await confirmed.handle();
  assert.deepEqual(confirmed.refusals, ['unknown-route']);
  const unconfirmed = makeUnknownRouteRelay(false);
  await unconfirmed.handle();
  assert.deepEqual(unconfirmed.refusals, ['configuration-unconfirmed']);
  const learned = makeUnknownRouteRelay(true, true);
  await learned.handle();
  assert.deepEqual(learned.refusals, ['no-upstream']);
});

test('the log of a refusal for an unknown route shows what it rests on', async () => {
  // Guards against a refusal whose cause can't be told from the log.
  const {fields, handle} = makeUnknownRouteRelay(false);
  await handle();
  assert.deepEqual(fields[0], {
    request: 'r1',
    version: 18,
    ageMs: 2_100,
    confirmedBy: 'peer',
    announcedVersion: 19,
    behindMs: 40,
    isConfirmed: false,
    loopLatenessMs: 12,
  });
});
