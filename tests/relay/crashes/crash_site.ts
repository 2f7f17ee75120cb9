/** Requests that crash upstreams, for tests. */

import type {RelayRequest} from '../../../src/ports/relay.js';

let nextRequest = 1;

/** Requests with the same target have the same fingerprint. */
export function makeRequest(target: string): RelayRequest {
  return {
    requestId: `r${nextRequest++}`,
    method: 'POST',
    target,
    host: 'raamatud.example',
    headers: [],
    body: Buffer.from('rida=1'),
    arrivedAtMs: 0,
    waitMs: 1_000,
  };
}
