/**
 * Upstream over raw sockets whose answers never end, for the calls of one kind;
 * it answers the other calls soundly.
 */

import net from 'node:net';
import {ownLoopback} from '../support/free_address.js';

export type CallKind =
  'plain' | 'prefill' | 'decode' | 'report' | 'order' | 'release';

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

const SIGNATURE = 'X-Engine-Stamp: endless\r\nX-Request-Id: {id}\r\n';
export const OK = `HTTP/1.1 200 OK\r\n${SIGNATURE}`;

const SOUND_BODIES: Readonly<Record<CallKind, string>> = {
  plain: 'sound',
  prefill: '{"kv_handle":"h1"}',
  decode: 'id: 1\ndata: token-1\n\n',
  report: '{"stage":"decode","busy":false,"seq":0}',
  order: '{}',
  release: '{}',
};

const KINDS_BY_TARGET: ReadonlyArray<[string, CallKind]> = [
  ['/corianderbend/report', 'report'],
  ['/corianderbend/order', 'order'],
  ['/corianderbend/kv-handle/', 'release'],
];

function toCallKind(head: string, role: string | undefined): CallKind {
  const target = head.split(' ', 2)[1];
  const call = KINDS_BY_TARGET.find(([path]) => target.startsWith(path));
  if (call) return call[1];
  if (/^X-Stage: prefill/im.test(head)) return 'prefill';
  return role ? 'decode' : 'plain';
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
  const sockets = new Set<net.Socket>();

  function respond(socket: net.Socket, head: string): void {
    const id = /^X-Request-Id: (\S+)/im.exec(head)?.[1] ?? '';
    const kind = toCallKind(head, role);
    if (kind === calls) {
      endless.push(socket);
      sendEndless(socket, answer, id);
      return;
    }
    const body = SOUND_BODIES[kind];
    const length = `Content-Length: ${body.length}\r\n`;
    socket.end(`${OK.replace('{id}', id)}${length}\r\n${body}`);
  }

  const server = net.createServer(socket => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
    socket.on('error', () => undefined);
    let received = '';
    let hasResponded = false;
    socket.on('data', bytes => {
      if (hasResponded) return;
      received += bytes.toString('latin1');
      const end = received.indexOf('\r\n\r\n');
      if (end < 0) return;
      hasResponded = true;
      respond(socket, received.slice(0, end));
    });
  });
  await new Promise<void>(resolve => server.listen(0, ownLoopback(), resolve));
  const {port} = server.address() as net.AddressInfo;
  const address = `${ownLoopback()}:${port}`;

  return {
    address,
    row: {
      service,
      address,
      zone: 'ylikool-saal',
      slots: 8,
      state: 'ready',
      ...(role ? {stage: role} : {}),
    },
    startedCount: () => endless.length,
    openCount: () => endless.filter(socket => sockets.has(socket)).length,
    mostBytesTaken: () =>
      Math.max(0, ...endless.map(each => each.bytesWritten)),
    lastBytesTaken: () => endless.at(-1)?.bytesWritten ?? 0,
    close() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}
