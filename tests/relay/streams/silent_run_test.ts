import assert from 'node:assert/strict';
import {describe, test} from 'node:test';
import type {Route, Routing} from '../../../src/core/routing_types.js';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import type {
  AnswerBodySink,
  Cancellation,
  SendFailure,
  SendOptions,
  UpstreamAnswer,
  UpstreamPort,
} from '../../../src/ports/relay.js';
import {createCancellation} from '../../../src/relay/front/cancellation.js';
import {createRequestPriorities} from '../../../src/relay/placement/request_priority.js';
import type {RelayJob} from '../../../src/relay/relay_types.js';
import {createEngineProbes} from '../../../src/relay/silence/engine_probes.js';
import {createStreamRelay} from '../../../src/relay/streams/stream_relay.js';
import {createRetryBudget} from '../../../src/request/retry_budget.js';
import {makeResourceLimits} from '../../support/resource_limits.js';
import {silentLog} from '../../support/silent_log.js';
import {revisionAt} from '../../support/store_revisions.js';
import {
  makeEngine,
  makeLoneScheduler,
  makeService,
} from '../placement/lone_scheduler.js';
import {makeFakeSilence} from '../silence/fake_silence.js';

const service = makeService(30_000);
const route: Route = {
  name: 'brief',
  host: 'mesto.example',
  prefix: '/',
  kind: 'stream',
  targets: [{service: service.name, weight: 1}],
  maxAttempts: 2,
  timeoutMs: 14_000,
  goalMs: 900,
  gapGoalMs: 300,
  priority: 0,
  isResumable: true,
  isPublic: true,
};
const ENGINE_IDS = ['p1', 'p2', 'd1', 'd2', 'd3'];
const RETRIES = 40;
const PREFILL_MS = 100;
const REJECTED: SendFailure = {kind: 'rejected', reason: 'full', detail: ''};

/** A run as an engine sees it. */
interface SentRun {
  readonly options: SendOptions;
  readonly cancellation: Cancellation;
  readonly sink: {current?: AnswerBodySink};
  isClosed: boolean;
}

interface Changes {
  readonly isAlive?: boolean;
  /** How many sends of the second run are rejected. */
  readonly rejections?: number;
  /** The first run gets no head. */
  readonly hasNoHead?: boolean;
  /** Further runs wait for their heads. */
  readonly isQueued?: boolean;
  /** Whether all sends of further runs break off. */
  readonly isBreaking?: boolean;
  /** How many prefill calls are rejected. */
  readonly prefillRejections?: number;
  /** All engines leave when the prompt is read for the second run. */
  readonly isLast?: boolean;
  /** When the silent engine responds, by what is done with the next run. */
  readonly heard?: 'while-prepared' | 'once-refused';
  /** How long rejections take. */
  readonly rejectedAfterMs?: number;
  /** The engines paused during the start. */
  readonly hasPaused?: boolean;
}

/** A stream of which the first run sends one event and falls silent. */
async function startStream(changes: Changes = {}) {
  const clock = createVirtualClock(1_000);
  const lone = makeLoneScheduler(clock, ENGINE_IDS);
  const applyList = (ids: readonly string[]) =>
    lone.registry.apply({
      revision: revisionAt(ids.length > 0 ? 2 : 3),
      upstreams: ids.map(id => ({...makeEngine(id), version: 'v1'})),
    });
  applyList(ENGINE_IDS);
  const runs: SentRun[] = [];
  const log: string[] = [];
  let rejections = changes.rejections ?? 0;
  let refusedCount = 0;
  const wait = (ms: number) =>
    new Promise<void>(done => clock.setTimer(ms, done));
  let prefillRejections = changes.prefillRejections ?? 0;
  const budget = createRetryBudget({burst: () => RETRIES, ratioOf: () => 0});

  function answer(run: SentRun): UpstreamAnswer {
    const close = () => {
      if (!run.isClosed) log.push(`close ${run.options.upstream.id}`);
      run.isClosed = true;
    };
    run.cancellation.onCancel(close);
    const body = {
      isUnframed: false,
      read: (sink: AnswerBodySink) => void (run.sink.current = sink),
      pause: () => undefined,
      resume: () => undefined,
      destroy: close,
    };
    return {
      kind: 'answered',
      status: 200,
      headers: [],
      hasSignature: true,
      body,
    };
  }

  const upstreamPort: Partial<UpstreamPort> = {
    async prefill(_, {upstream}) {
      if (prefillRejections-- > 0) return REJECTED;
      log.push(`read ${upstream.id}`);
      if (changes.isLast && runs.length > 0) applyList([]);
      await wait(PREFILL_MS);
      return {kind: 'prefilled', handle: 'h'};
    },
    send(_, options, cancellation) {
      if (runs.length > 0 && rejections-- > 0) {
        return wait(changes.rejectedAfterMs ?? 0).then(() => {
          refusedCount++;
          return REJECTED;
        });
      }
      const run = {options, cancellation, sink: {}, isClosed: false};
      if (runs.length > 0 && changes.isBreaking) {
        log.push(`break ${options.upstream.id}`);
        return Promise.resolve({kind: 'broken', detail: 'reset'});
      }
      runs.push(run);
      log.push(`send ${options.upstream.id}`);
      const hasHead = runs.length > 1 ? !changes.isQueued : !changes.hasNoHead;
      if (hasHead) {
        return Promise.resolve(answer(run));
      }
      return new Promise(resolve => {
        cancellation.onCancel(() => resolve({kind: 'cancelled'}));
      });
    },
    releasePrefill: () => void log.push('release'),
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
    silence: makeFakeSilence({
      wasAliveAfter: () => changes.isAlive ?? false,
      wasSilentSince: () => changes.hasPaused ?? false,
      hasRespondedSince: () =>
        changes.heard === 'while-prepared' ||
        (changes.heard === 'once-refused' && refusedCount > 0),
    }),
    upstreamPort: upstreamPort as UpstreamPort,
    place: lone.scheduler.place,
    priorities: createRequestPriorities({
      routing: () =>
        ({routes: [route], accounts: []}) as Partial<Routing> as Routing,
    }),
    retryBudget: budget,
    resumption: {
      takeUps: {decide: () => Promise.resolve({kind: 'new'})},
      recordBegun: () => undefined,
    },
  });
  const caller = {
    hasBegun: false,
    isPipelined: false,
    isReplaceable: false,
    noteShape: () => undefined,
    begin: () => void (caller.hasBegun = true),
    write: (bytes: Buffer) => log.push(`event ${bytes.length}`) > 0,
    end: () => void log.push('end'),
    cut: () => void log.push('cut'),
    refuse: () => void log.push('refuse'),
    onDisconnect: () => undefined,
    onWritable: () => undefined,
  };
  const outcome = relay.run({
    request: {
      requestId: 'r',
      arrivedAtMs: 1_000,
      prompt: {promptTokens: 3_000},
    } as RelayJob['request'],
    route,
    service,
    caller,
    cancellation: createCancellation(),
    deadlineAtMs: 15_000,
    admitted: {
      kind: 'admitted',
      refund: () => undefined,
      isWithdrawn: () => false,
    },
  });
  const send = (run: SentRun, text: string) =>
    run.sink.current?.chunk(Buffer.from(text));
  await clock.advance(PREFILL_MS + 10);
  send(runs[0], 'id: 1\ndata: a\n\n');
  await clock.advance(1_290);
  const retriesLeft = () =>
    Array.from({length: RETRIES}, (_, i) => i + 1).filter(count =>
      budget.hasLeft(service.name, count),
    ).length;
  const bookedRuns = () =>
    ['d1', 'd2', 'd3']
      .map(id => lone.engineLoads.decodeLoad(id).runs)
      .reduce((sum, each) => sum + each, 0);
  return {clock, lone, runs, log, send, outcome, retriesLeft, bookedRuns};
}

describe('a silent run of a stream', () => {
  test('is closed once the next one is accepted, which resumes it', async () => {
    const {clock, runs, log, send, outcome} = await startStream();
    await clock.advance(PREFILL_MS + 200);
    const first = runs[0].options.upstream.id;
    const second = runs[1].options.upstream.id;
    assert.notEqual(first, second);
    assert.deepEqual(log.slice(-3), [
      `read ${runs[1].options.prefill?.engineId}`,
      `send ${second}`,
      `close ${first}`,
    ]);
    assert.equal(runs[1].options.resumeAfterEvent, '1');
    send(runs[1], 'id: 2\ndata: b\n\n');
    runs[1].sink.current?.end();
    assert.equal((await outcome).end, 'answered');
  });

  // Guards against retries, bookings and results that nothing releases.
  test('that goes on gives back all that was prepared', async () => {
    const stream = await startStream();
    const {clock, runs, log, send} = stream;
    await clock.advance(50);
    assert.equal(stream.bookedRuns(), 2);
    send(runs[0], 'id: 2\ndata: b\n\n');
    await clock.advance(PREFILL_MS);
    assert.equal(stream.bookedRuns(), 1);
    assert.ok(log.includes('release'));
    assert.equal(runs.length, 1);
    // The prompt was read once more, and that call is spent.
    assert.equal(stream.retriesLeft(), RETRIES - 1);
    runs[0].sink.current?.end();
    assert.equal((await stream.outcome).end, 'answered');
    assert.equal(stream.bookedRuns(), 0);
  });

  // Guards against a run at another engine as the engine before goes on.
  test('is kept if its engine responds before the next one is sent', async () => {
    const stream = await startStream({heard: 'while-prepared'});
    const {clock, runs, log, bookedRuns} = stream;
    await clock.advance(PREFILL_MS + 100);
    assert.equal(runs.length, 1, log.join());
    assert.deepEqual([bookedRuns(), runs[0].isClosed], [1, false]);
  });

  // Guards against a stream that ends with neither run, though none broke off.
  test('that was left goes on though its engine responds later', async () => {
    const refusal = {rejections: 1, rejectedAfterMs: 500};
    const stream = await startStream({heard: 'once-refused', ...refusal});
    const {clock, runs, send, outcome} = stream;
    await clock.advance(PREFILL_MS + 1_000);
    assert.equal(runs.length, 2);
    send(runs[1], 'id: 2\ndata: b\n\n');
    runs[1].sink.current?.end();
    assert.equal((await outcome).end, 'answered');
  });

  // Guards against an answer that is cut since its next engine was just filled.
  test('that was left goes on where there is room, however often refused', async () => {
    const {clock, runs, log, send, outcome} = await startStream({
      rejections: 9,
    });
    await clock.advance(8_000);
    assert.equal(runs.length, 2, log.join());
    send(runs[1], 'id: 2\ndata: b\n\n');
    runs[1].sink.current?.end();
    assert.equal((await outcome).end, 'answered');
  });

  // Guards against an answer that is cut since all engines are full at a break.
  test('that breaks off waits for room when its next start is refused', async () => {
    const {clock, runs, send, outcome} = await startStream({rejections: 4});
    runs[0].sink.current?.broken('reset');
    await clock.advance(2_500);
    assert.equal(runs.length, 2);
    send(runs[1], 'id: 2\ndata: b\n\n');
    runs[1].sink.current?.end();
    assert.equal((await outcome).end, 'answered');
  });

  // Guards against 502 for a stream whose engine paused before its first byte.
  test('is left before its head as well', async () => {
    const {clock, runs, send, outcome} = await startStream({hasNoHead: true});
    await clock.advance(PREFILL_MS + 200);
    assert.equal(runs.length, 2);
    send(runs[1], 'id: 1\ndata: a\n\n');
    runs[1].sink.current?.end();
    assert.equal((await outcome).end, 'answered');
  });

  // Guards against results that take memory though nothing will read them.
  test('that was left before its head releases its prefill result', async () => {
    const {clock, runs, log} = await startStream({hasNoHead: true});
    await clock.advance(PREFILL_MS + 200);
    assert.equal(runs.length, 2);
    assert.equal(log.filter(each => each === 'release').length, 1);
  });

  // Guards against 502 once each other engine was full for a moment.
  test('that was left before its head goes on where there is room', async () => {
    const {clock, runs, log, send, outcome} = await startStream({
      hasNoHead: true,
      rejections: 9,
    });
    await clock.advance(8_000);
    assert.equal(runs.length, 2, log.join());
    send(runs[1], 'id: 1\ndata: a\n\n');
    runs[1].sink.current?.end();
    assert.equal((await outcome).end, 'answered');
  });

  // Guards against several prefill calls that count as the free first one.
  test('charges the prompts that are read for it in vain', async () => {
    const stream = await startStream({prefillRejections: 2});
    const {clock, runs, send, log} = stream;
    const spent = RETRIES - stream.retriesLeft();
    for (const text of ['id: 2\ndata: b\n\n', 'id: 3\ndata: c\n\n']) {
      await clock.advance(50);
      send(runs[0], text);
      await clock.advance(1_290);
    }
    assert.equal(log.filter(each => each.startsWith('read')).length, 2);
    assert.equal(RETRIES - stream.retriesLeft(), spent + 1);
  });

  // Guards against a run that is closed though its bytes wait to be read.
  test('is not closed for a time in which this host stood still', async () => {
    const {clock, runs, send} = await startStream({isQueued: true});
    await clock.advance(PREFILL_MS + 50);
    assert.equal(runs.length, 2);
    clock.standStill(1_000);
    await clock.advance(1);
    send(runs[0], 'id: 2\ndata: b\n\n');
    assert.ok(!runs[0].isClosed);
    assert.ok(runs[1].cancellation.isCancelled);
  });

  // Guards against runs at more engines than the route allows.
  test('gets no more next runs than attempts, if those break off', async () => {
    const {clock, log} = await startStream({isBreaking: true});
    await clock.advance(3_000);
    const broken = log.filter(each => each.startsWith('break'));
    assert.equal(broken.length, route.maxAttempts - 1, broken.join());
  });

  // Guards against retries that a stream keeps which ends without its next run.
  test('gives back the retry of a next run that is never sent', async () => {
    const stream = await startStream({isLast: true});
    await stream.clock.advance(14_000);
    assert.equal((await stream.outcome).end, 'cut');
    assert.equal(stream.runs.length, 1);
    // The prompt was read once more, and that call is spent.
    assert.equal(stream.retriesLeft(), RETRIES - 1);
  });

  // Guards against excluding an engine for a connection that has died.
  test('excludes its engine only if that gives no sign of life', async () => {
    for (const isAlive of [true, false]) {
      const {clock, runs, lone} = await startStream({isAlive});
      await clock.advance(PREFILL_MS + 600);
      assert.equal(runs.length, 2);
      const {id} = runs[0].options.upstream;
      assert.equal(lone.scheduler.suspects().includes(id), !isAlive);
    }
  });

  // Guards against waits that are refused since the last starts were in a pause.
  test('is no measure of a start if its engine paused before', async () => {
    const meanStartsMs: number[] = [];
    for (const hasPaused of [true, false]) {
      const {runs, outcome, lone} = await startStream({hasPaused});
      runs[0].sink.current?.end();
      await outcome;
      meanStartsMs.push(lone.statistics.meanStartMs());
    }
    assert.ok(meanStartsMs[0] > meanStartsMs[1], meanStartsMs.join());
  });
});
