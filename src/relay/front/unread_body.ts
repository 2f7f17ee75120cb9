/** Answers requests before their body was read. */

import type http from 'node:http';
import type {Clock} from '../../ports/clock.js';
import {lingerAtClose} from './lingering_close.js';

/** Bytes of the body as declared; undefined if it comes in chunks. */
export function declaredBytes({
  headers,
}: http.IncomingMessage): number | undefined {
  if (headers['transfer-encoding'] !== undefined) return undefined;
  return Number(headers['content-length'] ?? 0);
}

/** Nothing more of the message is read, and nothing that follows it. */
export function closeAfterAnswer(
  message: http.IncomingMessage,
  response: http.ServerResponse,
  clock: Clock,
): void {
  message.pause();
  response.shouldKeepAlive = false;
  lingerAtClose(message.socket, clock);
}
