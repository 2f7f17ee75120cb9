/** HTTP server of the stand-in plain service. */

import {createFaultHandler} from './fault_routes.js';
import {
  createStandInServer,
  type RouteHandler,
  type StandInServer,
} from './stand_in_server.js';
import type {ServiceCore} from './service_core.js';

const CALL_TIMEOUT_MS = Number.POSITIVE_INFINITY;

function firstOf(value: string | readonly string[] | undefined): string {
  return typeof value === 'string' ? value : (value?.[0] ?? '');
}

export async function createServiceServer(
  core: ServiceCore,
  address: string,
): Promise<StandInServer> {
  const run: RouteHandler = async request => {
    const headers = Object.fromEntries(
      Object.entries(request.headers).map(([name, value]) => [
        name,
        firstOf(value),
      ]),
    );
    const query = request.query.toString();
    const outcome = await core.call(
      {
        requestId: headers['x-request-id'] ?? '',
        attemptId: headers['x-attempt-id'] ?? '',
        method: request.method,
        path: query ? `${request.path}?${query}` : request.path,
        headers,
        body: request.body,
        timeoutMs: CALL_TIMEOUT_MS,
        connectionProvenWithinMs: 0,
      },
      new AbortController().signal,
    );
    if (outcome.kind === 'failed') throw new Error(outcome.detail);
    return outcome;
  };

  const server: StandInServer = await createStandInServer({
    address,
    routes: {
      'GET /stand-in/alive': async () => {
        await core.probe(CALL_TIMEOUT_MS);
        return {status: 200, body: {}};
      },
      'GET /stand-in/books': async () => ({status: 200, body: core.stats()}),
      'PUT /stand-in/faults': createFaultHandler(core, () => server),
    },
    fallback: run,
  });
  core.gate.onBreak(what => {
    if (what === 'crash') void server.close();
  });
  return server;
}
