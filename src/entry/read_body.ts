/** Reads a request body with limits on its size and on the time. */

import type {IncomingMessage} from 'node:http';
import type {RequestError} from '../core/error_kinds.js';
import type {Clock} from '../ports/clock.js';

export interface BodyLimits {
  readonly maxBodyBytes: number;
  readonly bodyTimeoutMs: number;
}

export type BodyOutcome =
  | {readonly kind: 'read'; readonly body: Buffer}
  | {readonly kind: 'failed'; readonly error: RequestError}
  /** The caller disconnected, so there is nobody to answer. */
  | {readonly kind: 'gone'};

export function readBody(
  clock: Clock,
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<BodyOutcome> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    const timer = clock.setTimer(limits.bodyTimeoutMs, () => {
      const detail = `No whole body within ${limits.bodyTimeoutMs} ms.`;
      finish({kind: 'failed', error: {kind: 'body-timeout', detail}});
    });

    function finish(outcome: BodyOutcome): void {
      clock.clearTimer(timer);
      request.removeAllListeners('data');
      request.removeAllListeners('end');
      if (outcome.kind === 'failed') request.resume();
      resolve(outcome);
    }

    request.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes > limits.maxBodyBytes) {
        const detail = `The limit is ${limits.maxBodyBytes} bytes.`;
        finish({kind: 'failed', error: {kind: 'body-too-large', detail}});
        return;
      }
      chunks.push(chunk);
    });
    request.on('end', () =>
      finish({kind: 'read', body: Buffer.concat(chunks, sizeBytes)}),
    );
    request.on('close', () => finish({kind: 'gone'}));
  });
}
