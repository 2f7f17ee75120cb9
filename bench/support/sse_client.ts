/** A client that reads streamed answers and counts their tokens. */

import {Agent, request, type ClientRequest} from 'node:http';

const DATA = Buffer.from('data: ');
const DONE = Buffer.from('data: [DONE]');

export interface StreamResult {
  readonly status: number;
  /** Undefined if no token arrived. */
  readonly firstTokenMs: number | undefined;
  readonly totalMs: number;
  readonly tokenCount: number;
  /** Whether the stream contained its `[DONE]` event. */
  readonly isComplete: boolean;
}

export interface StreamCall {
  readonly result: Promise<StreamResult>;
  tokensSoFar(): number;
  abort(): void;
}

const agent = new Agent({keepAlive: true, maxSockets: Infinity});

/** Posts `body` and reads the event stream to its end or until aborted. */
export function streamAnswer(
  url: string,
  headers: Readonly<Record<string, string>>,
  body: unknown,
): StreamCall {
  const startMs = performance.now();
  let dataCount = 0;
  let isComplete = false;
  let status = 0;
  let firstTokenMs: number | undefined;
  let call: ClientRequest;

  function countTokens(chunk: Buffer): void {
    firstTokenMs ??= performance.now() - startMs;
    let index = chunk.indexOf(DATA);
    while (index >= 0) {
      dataCount++;
      index = chunk.indexOf(DATA, index + DATA.length);
    }
    if (chunk.includes(DONE)) isComplete = true;
  }
  /** The last two data lines are the finish reason and `[DONE]`. */
  const tokensSoFar = () => (isComplete ? dataCount - 2 : dataCount);

  const result = new Promise<StreamResult>(resolve => {
    const finish = () =>
      resolve({
        status,
        firstTokenMs,
        totalMs: performance.now() - startMs,
        tokenCount: Math.max(0, tokensSoFar()),
        isComplete,
      });
    const options = {
      method: 'POST',
      agent,
      headers: {'content-type': 'application/json', ...headers},
    };
    call = request(url, options, response => {
      status = response.statusCode ?? 0;
      response.on('data', countTokens);
      response.on('end', finish);
      response.on('error', finish);
      response.on('close', finish);
    });
    call.on('error', finish);
    call.end(JSON.stringify(body));
  });
  return {result, tokensSoFar, abort: () => void call.destroy()};
}

/** Returns the value at the given share of the sorted values. */
export function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.min(sorted.length - 1, Math.floor(sorted.length * share));
  return sorted[index] ?? Number.NaN;
}
