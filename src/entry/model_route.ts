/** The routes `POST /v1/chat/completions` and `POST /v1/completions`. */

import {createHash} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {RequestError} from '../core/error_kinds.js';
import {tokenizePrompt} from '../core/prompt_tokens.js';
import type {ModelServiceSettings, Settings} from '../core/settings_types.js';
import type {ModelRequest, RunningRequest} from '../ports/answer_sink.js';
import {readIdempotencyKey, readWaitMs} from './caller_headers.js';
import type {Caller, FrontHost} from './front_host.js';
import {createMetering, meterModelSink} from './metered_sink.js';
import {createStreamSink, createWholeSink} from './openai_answer.js';
import {
  parseCompletionBody,
  type CompletionApi,
  type CompletionBody,
} from './openai_request.js';

/** Result of a route: a running request, or the error of a refusal. */
export type RouteOutcome =
  | {readonly kind: 'running'; readonly running: RunningRequest}
  | {readonly kind: 'refused'; readonly error: RequestError};

export interface RouteCall {
  readonly requestId: string;
  readonly caller: Caller;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: Buffer;
  readonly arrivedAtMs: number;
}

function findModelService(
  settings: Settings,
  model: string,
): ModelServiceSettings | undefined {
  for (const service of settings.services) {
    if (service.kind === 'model' && service.models.includes(model)) {
      return service;
    }
  }
  return undefined;
}

/** Hashes what determines the answer, to compare repeats of a request. */
function createFingerprint(account: string, body: CompletionBody): string {
  return createHash('sha256')
    .update(
      JSON.stringify([account, body.model, body.promptText, body.maxTokens]),
    )
    .digest('hex');
}

function refused(kind: RequestError['kind'], detail: string): RouteOutcome {
  return {kind: 'refused', error: {kind, detail}};
}

/** Parses, validates and starts a model request. */
export function startModelRoute(
  host: FrontHost,
  api: CompletionApi,
  call: RouteCall,
): RouteOutcome {
  const {caller, requestId, arrivedAtMs} = call;
  const parsed = parseCompletionBody(api, call.body);
  if (parsed.kind === 'malformed') {
    return refused('malformed-request', parsed.detail);
  }
  const wait = readWaitMs(call.request.headers);
  if (wait.kind === 'malformed') {
    return refused('malformed-request', wait.detail);
  }
  const key = readIdempotencyKey(call.request.headers);
  if (key.kind === 'malformed') return refused('malformed-request', key.detail);
  const {body} = parsed;
  const service = findModelService(caller.settings, body.model);
  if (!service) {
    return refused('unknown-service', `No service runs model "${body.model}".`);
  }
  if (!caller.account.services.includes(service.name)) {
    const detail = `Account "${caller.account.name}" has no right to it.`;
    return refused('forbidden', detail);
  }
  const promptTokens = tokenizePrompt(body.promptText);
  const request: ModelRequest = {
    requestId,
    service: service.name,
    account: caller.account.name,
    requestClass: caller.account.requestClass,
    model: body.model,
    promptTokens,
    maxTokens: body.maxTokens,
    idempotencyKey: key.value,
    fingerprint: createFingerprint(caller.account.name, body),
    arrivedAtMs,
    deadlineAtMs:
      arrivedAtMs +
      Math.min(service.targets.waitMs, wait.value ?? service.targets.waitMs),
  };
  const context = {
    api,
    requestId,
    model: body.model,
    wallMs: host.clock.wallMs(),
    promptTokenCount: promptTokens.length,
  };
  const createSink = body.isStream ? createStreamSink : createWholeSink;
  const metering = createMetering(caller.account, service, arrivedAtMs);
  const sink = meterModelSink(
    host,
    metering,
    createSink(call.response, context),
  );
  return {kind: 'running', running: host.runner.runModel(request, sink)};
}
