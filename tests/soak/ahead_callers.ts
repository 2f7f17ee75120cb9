/** A caller that sends requests on one connection without waiting for answers. */

import net from 'node:net';
import {performance} from 'node:perf_hooks';
import {HOST, PROMPT_HEADERS} from '../platform/relay_site.js';

export interface AheadRequest {
  readonly id: string;
  readonly sentAtMs: number;
  /** Absent if its connection closed without an answer. */
  status?: number;
  answerId?: string;
  closedAtMs: number;
}

export interface AheadCaller {
  /** In the order in which they were sent. */
  readonly sent: readonly AheadRequest[];
  /** Sends nothing once an answer has said that the connection closes. */
  send(target: string, deadlineMs: number): void;
  answered(count: number): Promise<void>;
  readonly closed: Promise<void>;
  close(): void;
}

const BODY = 'x'.repeat(40);
const HEADERS = Object.entries({Host: HOST, ...PROMPT_HEADERS})
  .map(([name, value]) => `${name}: ${value}\r\n`)
  .join('');

export function createAheadCaller(address: string, name: string): AheadCaller {
  const [ip, port] = address.split(':');
  const sent: AheadRequest[] = [];
  let answeredCount = 0;
  let mayClose = false;
  let received = Buffer.alloc(0);
  const waiting: Array<() => void> = [];
  const socket = net.connect(Number(port), ip);

  /** Returns the end of the body that begins there, if all of it is there. */
  function findEnd(head: string, begin: number): number {
    const length = /^content-length: *(\d+)/im.exec(head)?.[1];
    if (length !== undefined) return begin + Number(length);
    const lastChunk = received.indexOf('0\r\n\r\n', begin);
    return lastChunk < 0 ? Infinity : lastChunk + 5;
  }

  /** Returns whether a whole answer was there. */
  function takeAnswer(): boolean {
    const headEnd = received.indexOf('\r\n\r\n');
    if (headEnd < 0) return false;
    const head = received.subarray(0, headEnd).toString();
    if (/^connection: *close/im.test(head)) mayClose = true;
    const end = findEnd(head, headEnd + 4);
    if (received.length < end) return false;
    const body = received.subarray(headEnd + 4, end).toString();
    received = received.subarray(end);
    const request = sent[answeredCount++];
    request.status = Number(head.split(' ')[1]);
    request.answerId = (/^x-request-id: *(\S+)/im.exec(head) ??
      /"requestId":"([^"]*)"/.exec(body))?.[1];
    return true;
  }

  socket.on('data', bytes => {
    received = Buffer.concat([received, bytes]);
    while (takeAnswer());
    for (const listener of waiting) listener();
  });
  socket.on('error', () => undefined);
  const closed = new Promise<void>(resolve => {
    socket.once('close', () => {
      for (const each of sent) each.closedAtMs = performance.now();
      mayClose = true;
      resolve();
    });
  });

  return {
    sent,
    send(target, deadlineMs) {
      if (mayClose) return;
      const id = `${name}-${sent.length}`;
      socket.write(
        `POST ${target} HTTP/1.1\r\n${HEADERS}X-Request-Id: ${id}\r\n` +
          `X-Deadline-Ms: ${deadlineMs}\r\nContent-Length: ${BODY.length}\r\n` +
          `\r\n${BODY}`,
      );
      sent.push({id, sentAtMs: performance.now(), closedAtMs: Infinity});
    },
    answered: count =>
      new Promise(resolve => {
        waiting.push(() => {
          if (answeredCount >= count) resolve();
        });
      }),
    closed,
    close: () => void socket.destroy(),
  };
}
