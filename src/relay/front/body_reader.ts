/** Reads the body of a caller's request. */

import type http from 'node:http';
import type {RequestError} from '../../core/error_kinds.js';

export interface BodyReaderOptions {
  readonly maxBytes: number;
}

/** Neither is set if the caller disconnected before the end of the body. */
export interface BodyResult {
  readonly bytes?: Buffer;
  readonly error?: RequestError;
}

export function readBody(
  message: http.IncomingMessage,
  {maxBytes}: BodyReaderOptions,
): Promise<BodyResult> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let size = 0;
    message.on('data', (bytes: Buffer) => {
      size += bytes.length;
      if (size > maxBytes) {
        resolve({
          error: {kind: 'body-too-large', detail: `${maxBytes} bytes`},
        });
        return;
      }
      chunks.push(bytes);
    });
    message.on('end', () => resolve({bytes: Buffer.concat(chunks)}));
    message.on('error', () => resolve({}));
    message.on('close', () => resolve({}));
  });
}
