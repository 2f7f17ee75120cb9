/**
 * Undici's client of one connection that fails what is no whole answer: a head
 * that no answer may have, and an answer without length to an upload that the
 * upstream didn't read (`upload_answers.ts` has the rules).
 */

import {Client, type Dispatcher} from 'undici';
import {isUnframed} from '../core/http_framing.js';
import type {Clock} from '../ports/clock.js';
import type {RawHeaders} from '../ports/relay.js';
import {findField, findHeadFault} from './answer_head.js';
import {createResetAwareConnector} from './reset_aware_connector.js';
import {mayEndEarly} from './upload_answers.js';

export interface CheckedClientHost {
  readonly clock: Clock;
}

/** The answer that the connection receives. */
interface ReceivedAnswer {
  mayEndEarly: boolean;
}

function uploadBytesOf({body}: Dispatcher.DispatchOptions): number {
  const isSized = typeof body === 'string' || body instanceof Uint8Array;
  return isSized ? body.length : 0;
}

const isInformational = (status: number) => status >= 100 && status < 200;

/**
 * Calls `onHead` with each final head before `handler`, which gets all events.
 * The call fails if `onHead` throws.
 */
function watchHeads(
  handler: Dispatcher.DispatchHandler,
  onHead: (status: number, headers: RawHeaders) => void,
): Dispatcher.DispatchHandler {
  return {
    onConnect: (...args) => handler.onConnect?.(...args),
    onHeaders(status, headers, ...rest) {
      if (!isInformational(status)) {
        onHead(
          status,
          headers.map(each => each.toString('latin1')),
        );
      }
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
export class CheckedClient extends Client {
  private readonly received: ReceivedAnswer;

  constructor(
    {clock}: CheckedClientHost,
    origin: string | URL,
    options: Client.Options,
  ) {
    const received: ReceivedAnswer = {mayEndEarly: false};
    const connect = createResetAwareConnector({
      clock,
      connectTimeoutMs: options.connectTimeout,
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
    const checkHead = (status: number, headers: RawHeaders) => {
      const fault = findHeadFault(status, headers);
      if (fault) throw new Error(fault);
      const bodyIsUnframed = isUnframed(options.method, status, {
        contentLength: findField(headers, 'content-length'),
        transferEncoding: findField(headers, 'transfer-encoding'),
      });
      this.received.mayEndEarly = mayEndEarly(
        uploadBytes,
        status,
        bodyIsUnframed,
      );
    };
    return super.dispatch(options, watchHeads(handler, checkHead));
  }
}
