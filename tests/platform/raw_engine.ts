/**
 * Upstream over raw sockets: a test answers its calls with bytes, and the
 * others are answered soundly.
 */

import net from 'node:net';
import {ownLoopback} from '../support/free_address.js';

export type CallKind =
  'plain' | 'prefill' | 'decode' | 'report' | 'order' | 'release';

export interface RawCall {
  readonly kind: CallKind;
  /** Id of the request. */
  readonly id: string;
  readonly socket: net.Socket;
}

export interface RawEngineOptions {
  readonly service: string;
  readonly role?: 'prefill' | 'decode';
  /** Called once the head of a call has come; returns false to answer soundly. */
  respond(call: RawCall): boolean;
}

export interface RawEngine {
  readonly address: string;
  /** Value of the upstream's row in the store. */
  readonly row: object;
  /** Open connections. */
  readonly sockets: ReadonlySet<net.Socket>;
  close(): void;
}

const SIGNATURE = 'X-Engine-Stamp: raw\r\nX-Request-Id: {id}\r\n';
/** The start of a head; `{id}` stands for the id of the request. */
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

export async function createRawEngine({
  service,
  role,
  respond,
}: RawEngineOptions): Promise<RawEngine> {
  const sockets = new Set<net.Socket>();

  function answer(socket: net.Socket, head: string): void {
    const id = /^X-Request-Id: (\S+)/im.exec(head)?.[1] ?? '';
    const kind = toCallKind(head, role);
    if (respond({kind, id, socket})) return;
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
      answer(socket, received.slice(0, end));
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
    sockets,
    close() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}
