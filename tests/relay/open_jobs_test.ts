import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {RequestError} from '../../src/core/error_kinds.js';
import type {RouteKind} from '../../src/core/routing_types.js';
import type {Caller} from '../../src/relay/front/caller.js';
import {createCancellation} from '../../src/relay/front/cancellation.js';
import {
  createOpenJobs,
  type CancellableJob,
  type OpenJobs,
} from '../../src/relay/open_jobs.js';
import type {RelayJob} from '../../src/relay/relay_types.js';
import {createSentRequests} from '../../src/relay/sent_requests.js';
import type {
  RelayRequest,
  SendFailure,
  SendOptions,
  UpstreamPort,
} from '../../src/ports/relay.js';

/** What the caller of a job whose sends end like this is answered. */
async function endAfter(
  failures: readonly SendFailure[],
  {
    hasBegun = false,
    isReplaceable = false,
    kind = 'non-idempotent',
    finish = jobs => jobs.endUnanswered(LEAVING),
  }: {
    readonly hasBegun?: boolean;
    readonly isReplaceable?: boolean;
    readonly kind?: RouteKind;
    readonly finish?: (jobs: OpenJobs) => void;
  } = {},
): Promise<string | undefined> {
  const outcomes = [...failures];
  const sent = createSentRequests({
    send: () => {
      const outcome = outcomes.shift();
      return outcome ? Promise.resolve(outcome) : new Promise(() => undefined);
    },
  } as Partial<UpstreamPort> as UpstreamPort);
  const request = {requestId: 'request-1'} as RelayRequest;
  const cancellation = createCancellation();
  for (let i = 0; i < failures.length; i++) {
    await sent.port.send(request, {} as SendOptions, cancellation);
  }
  if (failures.length === 0) {
    void sent.port.send(request, {} as SendOptions, cancellation);
  }
  let refusal: string | undefined;
  const jobs = createOpenJobs({
    isWaiting: () => false,
    mayHaveRun: sent.mayHaveRun,
  });
  const caller: Partial<Caller> = {
    hasBegun,
    isReplaceable,
    refuse: error => (refusal = error.kind),
  };
  const job: Partial<CancellableJob> = {
    request,
    cancellation,
    route: {kind} as RelayJob['route'],
    admitted: {} as RelayJob['admitted'],
    caller: caller as Caller,
  };
  jobs.open(job as CancellableJob);
  finish(jobs);
  return refusal;
}

const LEAVING: RequestError = {kind: 'shutting-down', detail: ''};
const UNREACHABLE: SendFailure = {kind: 'unreachable', detail: ''};
const REJECTED: SendFailure = {
  kind: 'rejected',
  reason: 'full',
  detail: '',
};
const BROKEN: SendFailure = {kind: 'broken', detail: ''};

test('only a request that no upstream has run is ended with that promise', async () => {
  // Guards against a 503 for a request that runs, which its caller would repeat.
  assert.equal(await endAfter([UNREACHABLE]), 'shutting-down');
  assert.equal(await endAfter([]), 'outcome-unknown');
  assert.equal(await endAfter([BROKEN, UNREACHABLE]), 'outcome-unknown');
  assert.equal(await endAfter([], {hasBegun: true}), undefined);
  const held = {hasBegun: true, isReplaceable: true};
  assert.equal(await endAfter([], held), 'outcome-unknown');
});

test('a call that its upstreams refused is ended like one that was never sent', async () => {
  // Guards against retries that begin too late to end before their host leaves.
  const refuseWaiting = (jobs: OpenJobs) => jobs.refuseWaiting(() => LEAVING);
  const endEarly = (failures: readonly SendFailure[], kind?: RouteKind) =>
    endAfter(failures, {kind, finish: refuseWaiting});
  assert.equal(await endEarly([REJECTED]), 'shutting-down');
  assert.equal(await endEarly([REJECTED, UNREACHABLE]), 'shutting-down');
  assert.equal(await endEarly([]), undefined);
  assert.equal(await endEarly([BROKEN, REJECTED]), undefined);
  // Its prompt may be read already.
  assert.equal(await endEarly([REJECTED], 'stream'), undefined);
});
