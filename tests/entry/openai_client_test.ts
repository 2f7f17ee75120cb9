import assert from 'node:assert/strict';
import {afterEach, test} from 'node:test';
import OpenAI from 'openai';
import type {ServiceSettings} from '../../src/core/settings_types.js';
import type {
  ModelAnswerSink,
  ModelRequest,
  RequestRunner,
} from '../../src/ports/answer_sink.js';
import {
  KEY,
  OPERATOR_KEY,
  startFrontSite,
  type FrontSite,
} from './front_site.js';

const WORDS = ['Members', ' met', ' four', ' times.'];
const MAX_BODY_BYTES = 10_000;

const service: ServiceSettings = {
  kind: 'model',
  name: 'aruande-koostaja',
  models: ['aruande-koostaja'],
  targets: {ttftMs: 5000, tokenIntervalMs: 100, waitMs: 60_000},
  upstreams: [],
  upstreamsFromHostList: true,
  wasteWeight: 0.8,
  maxQueued: 100,
  retryBudget: 0.1,
  enginesCheckFences: true,
  keepAnswersMs: 0,
};

type RunModel = (request: ModelRequest, sink: ModelAnswerSink) => void;

let site: FrontSite | undefined;

afterEach(async () => {
  await site?.close();
  site = undefined;
});

async function startFront(runModel: RunModel): Promise<string> {
  const runner: Pick<RequestRunner, 'runModel'> = {
    runModel(request, sink) {
      runModel(request, sink);
      return {callerGone: () => undefined};
    },
  };
  site = await startFrontSite(runner, service, MAX_BODY_BYTES);
  return site.origin;
}

function createCaller(origin: string): OpenAI {
  return new OpenAI({
    apiKey: KEY,
    baseURL: `${origin}/v1`,
    maxRetries: 0,
  });
}

const answerWhole: RunModel = (_request, sink) => {
  WORDS.forEach((word, offset) => sink.tokens(offset, [word]));
  sink.end('stop', WORDS.length);
};

const question = {
  model: 'aruande-koostaja',
  messages: [{role: 'user' as const, content: 'Draft the report.'}],
};

test('the OpenAI client can stream an answer', async () => {
  const caller = createCaller(await startFront(answerWhole));
  const stream = await caller.chat.completions.create({
    ...question,
    stream: true,
  });
  const texts: string[] = [];
  let finishReason: string | null = null;
  for await (const chunk of stream) {
    texts.push(chunk.choices[0].delta.content ?? '');
    finishReason = chunk.choices[0].finish_reason;
  }
  assert.equal(texts.join(''), WORDS.join(''));
  assert.equal(finishReason, 'stop');
});

test('the OpenAI client gets a whole answer with its usage', async () => {
  const caller = createCaller(await startFront(answerWhole));
  const answer = await caller.chat.completions.create(question);
  assert.equal(answer.choices[0].message.content, WORDS.join(''));
  assert.equal(answer.usage?.completion_tokens, WORDS.length);
});

test('an interrupted stream is an error for the OpenAI client', async () => {
  // An engine dies after two tokens, and the stream can't be resumed. It must
  // end with an error event and without `[DONE]`, so that the caller doesn't
  // take the partial answer for a whole one.
  const caller = createCaller(
    await startFront((_request, sink) => {
      sink.tokens(0, WORDS.slice(0, 2));
      sink.fail({kind: 'answer-cut', detail: 'The engine was lost.'});
    }),
  );
  const stream = await caller.chat.completions.create({
    ...question,
    stream: true,
  });
  await assert.rejects(async () => {
    for await (const chunk of stream) void chunk;
  });
});

test('only operators can read metrics, whose labels name client accounts', async () => {
  const origin = await startFront(answerWhole);
  const read = (key: string) =>
    fetch(`${origin}/metrics`, {headers: {authorization: `Bearer ${key}`}});
  assert.equal((await read(KEY)).status, 401);
  const answer = await read(OPERATOR_KEY);
  assert.equal(answer.status, 200);
  assert.match(await answer.text(), /corianderbend_refusals_total/);
});

test('refusals are problem documents with an error code and run state', async () => {
  const origin = await startFront((_request, sink) =>
    sink.fail({kind: 'overloaded', detail: 'Full.', retryAfterMs: 1500}),
  );
  const send = (path: string, body: unknown, key = KEY) =>
    fetch(`${origin}${path}`, {
      method: 'POST',
      headers: {authorization: `Bearer ${key}`},
      body: JSON.stringify(body),
    });
  const cases = [
    {path: '/v1/chat/completions', body: question, status: 503, code: 'CB2002'},
    {path: '/v1/chat/completions', body: {}, status: 400, code: 'CB1001'},
    {
      path: '/v1/chat/completions',
      body: {...question, model: 'other'},
      status: 404,
      code: 'CB1004',
    },
    {path: '/v1/nothing', body: {}, status: 404, code: 'CB1005'},
    {
      path: '/v1/chat/completions',
      body: {...question, padding: 'x'.repeat(20_000)},
      status: 413,
      code: 'CB1007',
    },
  ];
  for (const {path, body, status, code} of cases) {
    const response = await send(path, body);
    const problem = (await response.json()) as Record<string, unknown>;
    assert.equal(response.status, status, code);
    assert.equal(problem.code, code);
    assert.equal(problem.runState, 'not-run');
  }
  const refused = await send('/v1/chat/completions', question, 'wrong-key');
  assert.equal(refused.status, 401);
  const overloaded = await send('/v1/chat/completions', question);
  assert.equal(overloaded.headers.get('retry-after'), '2');
});
