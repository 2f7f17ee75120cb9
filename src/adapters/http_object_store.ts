/** Client of the platform's object store over HTTP. */

import type {ObjectStorePort} from '../ports/table.js';
import type {HttpCallerHost} from './http_caller.js';
import {createPlatformCaller, type HttpPlatformOptions} from './http_table.js';

const OK = 200;
const NOT_FOUND = 404;

const refusedStatuses: ReadonlySet<number> = new Set([429, 503]);

export function createHttpObjectStore(
  host: HttpCallerHost,
  options: HttpPlatformOptions,
): ObjectStorePort {
  const caller = createPlatformCaller(host, options);
  const pathOf = (key: string) => `/objects/${encodeURIComponent(key)}`;
  return {
    async put(key, body, timeoutMs) {
      const outcome = await caller.call({
        method: 'PUT',
        path: pathOf(key),
        headers: {'content-type': 'application/octet-stream'},
        body,
        timeoutMs,
      });
      if (outcome.kind === 'failed') {
        return outcome.reason === 'unreachable' ? 'refused' : 'unknown';
      }
      if (outcome.status === OK) return 'stored';
      return refusedStatuses.has(outcome.status) ? 'refused' : 'unknown';
    },
    async get(key, timeoutMs) {
      const outcome = await caller.call({
        method: 'GET',
        path: pathOf(key),
        timeoutMs,
      });
      if (outcome.kind === 'failed') {
        return {kind: 'failed', reason: outcome.reason};
      }
      if (outcome.status === OK) return {kind: 'read', value: outcome.body};
      if (outcome.status === NOT_FOUND) return {kind: 'read', value: undefined};
      return {kind: 'failed', reason: `status ${outcome.status}`};
    },
    async remove(key, timeoutMs) {
      await caller.call({method: 'DELETE', path: pathOf(key), timeoutMs});
    },
  };
}
