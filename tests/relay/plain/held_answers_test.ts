import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import type {AnswerBodySink, UpstreamPort} from '../../../src/ports/relay.js';
import {createCancellation} from '../../../src/relay/front/cancellation.js';
import {createPlainAttempts} from '../../../src/relay/plain/plain_attempt.js';
import type {RelayJob} from '../../../src/relay/relay_types.js';
import {makeResourceLimits} from '../../support/resource_limits.js';
import {silentLog} from '../../support/silent_log.js';
import {makeUpstream} from '../store/store_site.js';

const KB = 1024;

test('an answer for which there is no room is given up, and its upstream not blamed', async () => {
  // Guards against a host that runs out of memory for answers that it collects.
  const clock = createVirtualClock();
  const {memory} = makeResourceLimits({memoryMb: 1});
  let sink: AnswerBodySink | undefined;
  let isClosed = false;
  const body = {
    isUnframed: false,
    read: (given: AnswerBodySink) => void (sink = given),
    pause: () => {},
    resume: () => {},
    destroy: () => void (isClosed = true),
  };
  const port: Pick<UpstreamPort, 'send'> = {
    send: () =>
      Promise.resolve({
        kind: 'answered',
        status: 200,
        headers: [],
        hasSignature: true,
        body,
      }),
  };
  const attempts = createPlainAttempts({
    clock,
    log: silentLog,
    upstreamPort: port,
    registry: {markReplaced: () => {}, markUnreachable: () => {}},
    silence: {answers: () => Promise.resolve(true), wasAliveAfter: () => true},
    memory,
    canBeOnTime: () => true,
  });
  const ends: string[] = [];
  const progress = {
    ran: new Set<string>(),
    tried: new Set<string>(),
    sendCount: 0,
    hasLeft: false,
    failure: {kind: 'no-upstream', detail: ''} as const,
  };
  const job = {
    request: {requestId: 'r'},
    route: {kind: 'idempotent', goalMs: 200},
    caller: {},
    cancellation: createCancellation(),
    deadlineAtMs: 10_000,
  } as unknown as RelayJob;
  const result = attempts.send({
    job,
    progress,
    slot: {
      kind: 'slot',
      upstream: makeUpstream('a'),
      hasQueue: false,
      isResetting: false,
      end: end => void ends.push(end),
    },
    permitWaitMs: 0,
  });
  await clock.advance(1);
  sink!.chunk(Buffer.alloc(100 * KB));
  assert.equal(memory.heldBytes('answer'), 108 * KB);
  sink!.chunk(Buffer.alloc(100 * KB));
  assert.equal(await result, 'stop');
  assert.deepEqual([isClosed, ends], [true, ['cancelled']]);
  assert.equal(progress.failure.kind as string, 'outcome-unknown');
  assert.equal(memory.heldBytes(), 0);
});
