/**
 * Upstream over raw sockets whose answers never end, for the calls of one kind;
 * it answers the other calls soundly.
 */

import type net from 'node:net';
import {createRawEngine, type CallKind} from './raw_engine.js';

/** An answer that never ends. */
export interface EndlessAnswer {
  /** What comes first; `{id}` stands for the id of the request. */
  readonly head: string;
  /** What is then sent over and over. */
  readonly repeated: string;
  /** Pause between two parts; absent to send as fast as they are taken. */
  readonly everyMs?: number;
}

export interface EndlessEngine {
  readonly address: string;
  /** Value of the upstream's row in the store. */
  readonly row: object;
  /** Connections on which an endless answer was begun. */
  startedCount(): number;
  openCount(): number;
  /** Most bytes that were taken from one connection. */
  mostBytesTaken(): number;
  /** Bytes that were taken from the latest connection. */
  lastBytesTaken(): number;
  close(): void;
}

export interface EndlessEngineOptions {
  readonly service: string;
  readonly role?: 'prefill' | 'decode';
  /** Absent if all calls are answered soundly. */
  readonly calls?: CallKind;
  readonly answer: EndlessAnswer;
}

function sendEndless(
  socket: net.Socket,
  {head, repeated, everyMs}: EndlessAnswer,
  id: string,
): void {
  socket.write(head.replaceAll('{id}', id));
  if (everyMs !== undefined) {
    const timer = setInterval(() => socket.write(repeated), everyMs);
    socket.once('close', () => clearInterval(timer));
    return;
  }
  const bytes = Buffer.from(repeated);
  const flood = () => {
    while (!socket.destroyed && socket.write(bytes));
  };
  socket.on('drain', flood);
  flood();
}

export async function createEndlessEngine(
  options: EndlessEngineOptions,
): Promise<EndlessEngine> {
  const {service, role, calls, answer} = options;
  const endless: net.Socket[] = [];
  const {address, row, sockets, close} = await createRawEngine({
    service,
    role,
    respond({kind, id, socket}) {
      if (kind !== calls) return false;
      endless.push(socket);
      sendEndless(socket, answer, id);
      return true;
    },
  });

  return {
    address,
    row,
    startedCount: () => endless.length,
    openCount: () => endless.filter(socket => sockets.has(socket)).length,
    mostBytesTaken: () =>
      Math.max(0, ...endless.map(each => each.bytesWritten)),
    lastBytesTaken: () => endless.at(-1)?.bytesWritten ?? 0,
    close,
  };
}
