/** Client of the platform's list of hosts over HTTP. */

import {z} from 'zod';
import type {HostListPort} from '../ports/table.js';
import {parseJsonBody, type HttpCallerHost} from './http_caller.js';
import {createPlatformCaller, type HttpPlatformOptions} from './http_table.js';

const OK = 200;

const listSchema = z.object({
  hosts: z.array(
    z.object({
      hostId: z.string(),
      failureDomain: z.string(),
      address: z.string(),
      role: z.enum(['router', 'engine', 'plain-service']),
      service: z.string().optional(),
      state: z.enum(['live', 'leaving']),
    }),
  ),
});

export function createHttpHostList(
  host: HttpCallerHost,
  options: HttpPlatformOptions,
): HostListPort {
  const caller = createPlatformCaller(host, {...options, maxConnections: 1});
  return {
    async list(timeoutMs) {
      const outcome = await caller.call({
        method: 'GET',
        path: '/hosts',
        timeoutMs,
      });
      if (outcome.kind === 'failed') {
        return {kind: 'failed', reason: outcome.reason};
      }
      if (outcome.status !== OK) {
        return {kind: 'failed', reason: `status ${outcome.status}`};
      }
      const parsed = listSchema.safeParse(parseJsonBody(outcome.body));
      if (!parsed.success) return {kind: 'failed', reason: 'malformed answer'};
      return {kind: 'read', value: parsed.data.hosts};
    },
  };
}
