/**
 * Undici's client of one connection that fails an answer without length to an
 * upload if the upstream didn't read the upload; `upload_answers.ts` has the
 * rules.
 */

import {Client, type Dispatcher} from 'undici';
import {isUnframed} from '../core/http_framing.js';
import type {Clock} from '../ports/clock.js';
import {createResetAwareConnector} from './reset_aware_connector.js';
import {mayEndEarly} from './upload_answers.js';

export interface UploadClientHost {
  readonly clock: Clock;
}

/** The answer that the connection receives. */
interface ReceivedAnswer {
  mayEndEarly: boolean;
}

function findValue(
  headers: readonly Buffer[],
  name: string,
): string | undefined {
  const index = headers.findIndex(
    (each, i) => i % 2 === 0 && each.toString('latin1').toLowerCase() === name,
  );
  return index < 0 ? undefined : headers[index + 1].toString('latin1');
}

function uploadBytesOf({body}: Dispatcher.DispatchOptions): number {
  const isSized = typeof body === 'string' || body instanceof Uint8Array;
  return isSized ? body.length : 0;
}

/** Calls `onHead` with each head before `handler`, which gets all events. */
function watchHeads(
  handler: Dispatcher.DispatchHandler,
  onHead: (status: number, headers: readonly Buffer[]) => void,
): Dispatcher.DispatchHandler {
  return {
    onConnect: (...args) => handler.onConnect?.(...args),
    onHeaders(status, headers, ...rest) {
      onHead(status, headers);
      return handler.onHeaders?.(status, headers, ...rest) ?? true;
    },
    onData: (...args) => handler.onData?.(...args) ?? true,
    onComplete: (...args) => handler.onComplete?.(...args),
    onError: (...args) => handler.onError?.(...args),
  };
}

/**
 * Sends one request at a time, so that its connection receives one answer. For
 * an upload, the body must be a text or bytes.
 */
export class UploadClient extends Client {
  private readonly received: ReceivedAnswer;

  constructor(
    {clock}: UploadClientHost,
    origin: string | URL,
    options: Client.Options,
  ) {
    const received: ReceivedAnswer = {mayEndEarly: false};
    const connect = createResetAwareConnector({
      clock,
      mayEndEarly: () => received.mayEndEarly,
    });
    super(origin, {...options, connect, pipelining: 1});
    this.received = received;
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    const uploadBytes = uploadBytesOf(options);
    const noteHead = (status: number, headers: readonly Buffer[]) => {
      const bodyIsUnframed = isUnframed(options.method, status, {
        contentLength: findValue(headers, 'content-length'),
        transferEncoding: findValue(headers, 'transfer-encoding'),
      });
      this.received.mayEndEarly = mayEndEarly(
        uploadBytes,
        status,
        bodyIsUnframed,
      );
    };
    return super.dispatch(options, watchHeads(handler, noteHead));
  }
}
