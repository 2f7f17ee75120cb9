/**
 * Keeps track of the requests that upstreams may have run, so that a request
 * can be ended from outside with an answer that is true.
 */

import type {RelayRequest, UpstreamPort} from '../ports/relay.js';
import {wasNotRun} from './send_failures.js';

export interface SentRequests {
  readonly port: UpstreamPort;
  /** Whether an upstream may have run the request, or runs it. */
  mayHaveRun(request: RelayRequest): boolean;
}

export function createSentRequests(port: UpstreamPort): SentRequests {
  /** Sends after which the request may have run. */
  const sendCounts = new WeakMap<RelayRequest, number>();

  function addSends(request: RelayRequest, change: 1 | -1): void {
    sendCounts.set(request, (sendCounts.get(request) ?? 0) + change);
  }

  return {
    port: {
      ...port,
      async send(request, options, cancellation) {
        addSends(request, 1);
        const outcome = await port.send(request, options, cancellation);
        if (wasNotRun(outcome)) addSends(request, -1);
        return outcome;
      },
    },
    mayHaveRun: request => (sendCounts.get(request) ?? 0) > 0,
  };
}
