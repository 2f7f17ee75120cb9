/** The route `/services/{name}/…`, which calls a plain service. */

import {createHash} from 'node:crypto';
import type {IncomingHttpHeaders, ServerResponse} from 'node:http';
import {hopHeaders} from '../core/hop_headers.js';
import type {
  CallPattern,
  PlainServiceSettings,
} from '../core/settings_types.js';
import type {PlainAnswerSink, PlainRequest} from '../ports/answer_sink.js';
import {readIdempotencyKey, readWaitMs} from './caller_headers.js';
import type {FrontHost} from './front_host.js';
import {createMetering, meterPlainSink} from './metered_sink.js';
import type {RouteCall, RouteOutcome} from './model_route.js';
import {writeProblem} from './problem.js';

const PLAIN_PATH = /^\/services\/([^/?]+)(\/[^]*|\?[^]*)?$/;

/** Hop-by-hop headers, and headers with the caller's credentials. */
const NOT_FORWARDED: ReadonlySet<string> = new Set([
  ...hopHeaders,
  'authorization',
  'proxy-connection',
]);

/** Copies the headers that may be forwarded. */
export function copyForwardedHeaders(
  headers: IncomingHttpHeaders,
): Readonly<Record<string, string>> {
  const copied: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || NOT_FORWARDED.has(name)) continue;
    copied[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  return copied;
}

function isMatch(pattern: CallPattern, method: string, path: string): boolean {
  if (pattern.method !== '*' && pattern.method !== method) return false;
  if (!pattern.path.endsWith('*')) return pattern.path === path;
  return path.startsWith(pattern.path.slice(0, -1));
}

/** Whether the service's settings allow the call to be repeated. */
export function isRepeatable(
  service: PlainServiceSettings,
  method: string,
  pathAndQuery: string,
): boolean {
  const path = pathAndQuery.split('?', 1)[0];
  return !service.nonRepeatable.some(pattern => isMatch(pattern, method, path));
}

function createPlainSink(
  response: ServerResponse,
  requestId: string,
): PlainAnswerSink {
  return {
    end(answer) {
      response.statusCode = answer.status;
      for (const [name, value] of Object.entries(answer.headers)) {
        if (!NOT_FORWARDED.has(name)) response.setHeader(name, value);
      }
      response.end(answer.body);
    },
    fail: error => writeProblem(response, error, requestId),
  };
}

function refused(
  kind: 'malformed-request' | 'unknown-service' | 'forbidden',
  detail: string,
): RouteOutcome {
  return {kind: 'refused', error: {kind, detail}};
}

/** Splits a URL path into the name of the service and the rest. */
export function parsePlainPath(
  url: string,
): {readonly service: string; readonly path: string} | undefined {
  const match = PLAIN_PATH.exec(url);
  if (!match) return undefined;
  const rest = match[2] ?? '/';
  const path = rest.startsWith('/') ? rest : `/${rest}`;
  return {service: match[1], path};
}

/** Validates and starts a call to a plain service. */
export function startPlainRoute(
  host: FrontHost,
  call: RouteCall,
): RouteOutcome {
  const {caller, requestId, arrivedAtMs, request} = call;
  const target = parsePlainPath(request.url ?? '');
  if (!target) return refused('unknown-service', 'The path names no service.');
  const service = caller.settings.services.find(
    item => item.kind === 'plain' && item.name === target.service,
  );
  if (service?.kind !== 'plain') {
    return refused('unknown-service', `No plain service "${target.service}".`);
  }
  if (!caller.account.services.includes(service.name)) {
    const detail = `Account "${caller.account.name}" has no right to it.`;
    return refused('forbidden', detail);
  }
  const wait = readWaitMs(request.headers);
  if (wait.kind === 'malformed') {
    return refused('malformed-request', wait.detail);
  }
  const key = readIdempotencyKey(request.headers);
  if (key.kind === 'malformed') return refused('malformed-request', key.detail);
  const method = request.method ?? 'GET';
  const plain: PlainRequest = {
    requestId,
    service: service.name,
    account: caller.account.name,
    method,
    path: target.path,
    headers: copyForwardedHeaders(request.headers),
    body: call.body,
    repeatable: isRepeatable(service, method, target.path),
    idempotencyKey: key.value,
    fingerprint: createHash('sha256')
      .update(`${method}\n${target.path}\n`)
      .update(call.body)
      .digest('hex'),
    arrivedAtMs,
    deadlineAtMs:
      arrivedAtMs +
      Math.min(service.targets.waitMs, wait.value ?? service.targets.waitMs),
  };
  const metering = createMetering(caller.account, service, arrivedAtMs);
  const sink = meterPlainSink(
    host,
    metering,
    createPlainSink(call.response, requestId),
  );
  return {kind: 'running', running: host.runner.runPlain(plain, sink)};
}
