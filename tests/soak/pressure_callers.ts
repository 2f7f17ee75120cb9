/** Callers that press on hosts, each of them again as soon as it has ended. */

import dgram from 'node:dgram';
import {once} from 'node:events';
import net from 'node:net';
import {performance} from 'node:perf_hooks';
import {splitAddress} from '../../src/adapters/listen.js';
import type {RelaySettings} from '../../src/relay/relay_settings.js';
import {HOST, PROMPT_HEADERS} from '../platform/relay_site.js';
import {
  isModelService,
  PRESSING_TIMEOUT_MS,
  type PressingService,
} from './pressure_engines.js';

type AddressField =
  | 'callerAddress'
  | 'readyAddress'
  | 'directoryAddress'
  | 'metricsAddress'
  | 'peerAddress';

/** Callers of one kind; so many press on each host. */
export interface Pressing {
  readonly kind: PressingKind;
  readonly perHost: number;
  readonly service?: PressingService;
  /** Reads nothing of its answers. */
  readonly isUnread?: boolean;
  /** How many requests are sent ahead on one connection. */
  readonly requests?: number;
  readonly bodyBytes?: number;
  /** The body stops so many bytes before its end. */
  readonly missingBytes?: number;
  readonly at?: AddressField;
  /** Most bytes that a host may take from one connection. */
  readonly maxSentBytes?: number;
  /** How long a connection may stay open after its first answer began. */
  readonly maxOpenMs?: number;
}

/** The services that callers of these kinds ask for. */
export function toServices(
  pressing: readonly Pressing[],
): readonly PressingService[] {
  return [...new Set(pressing.map(({service = 'quick'}) => service))];
}

/** What became of the connections of some callers that press. */
export interface PressingResult {
  opened: number;
  /** Still open when the callers stopped. */
  open: number;
  /** Ended by the host without an answer. */
  closed: number;
  /** Answers by status. */
  readonly answers: Record<string, number>;
  /** Most bytes that were written on one connection. */
  mostBytes: number;
  /** Longest time that a connection was open after its first answer began. */
  longestOpenMs: number;
}

export type PressingKind =
  'request' | 'ahead' | 'chunks' | 'idle' | 'heads' | 'garbage' | 'datagrams';

const AGAIN_MS = 250;
const PART_BYTES = 65_536;
const STATUS_LINE = /HTTP\/1\.1 (\d{3})/g;
const DATAGRAMS_EVERY_MS = 5;
const DATAGRAM_BYTES = 1_200;

let requestCount = 0;

function toHead(
  {service = 'quick'}: Pressing,
  headers: Readonly<Record<string, string>>,
): string {
  const all = {
    Host: HOST,
    'X-Request-Id': `press-${process.pid}-${++requestCount}`,
    'X-Deadline-Ms': String(PRESSING_TIMEOUT_MS),
    ...(isModelService(service) ? PROMPT_HEADERS : {}),
    ...headers,
  };
  const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}`);
  return [`POST /${service}/1 HTTP/1.1`, ...lines, '', ''].join('\r\n');
}

/** Writes the same bytes as fast as they are taken. */
function flood(socket: net.Socket, bytes: Buffer): void {
  const write = () => {
    while (!socket.destroyed && socket.write(bytes));
  };
  socket.on('drain', write);
  write();
}

type SocketKind = Exclude<PressingKind, 'datagrams'>;

const WRITERS: Readonly<
  Record<SocketKind, (socket: net.Socket, pressing: Pressing) => void>
> = {
  request(socket, pressing) {
    const {bodyBytes = 0, missingBytes = 0} = pressing;
    socket.write(
      toHead(pressing, {
        'Content-Length': String(bodyBytes),
        Connection: 'close',
      }),
    );
    socket.write(Buffer.alloc(bodyBytes - missingBytes, 'x'));
  },
  ahead(socket, pressing) {
    const {requests = 1} = pressing;
    const heads = Array.from({length: requests}, () =>
      toHead(pressing, {'Content-Length': '0'}),
    );
    socket.write(heads.join(''));
  },
  chunks(socket, pressing) {
    socket.write(toHead(pressing, {'Transfer-Encoding': 'chunked'}));
    const part = 'x'.repeat(PART_BYTES);
    const chunk = `${PART_BYTES.toString(16)}\r\n${part}\r\n`;
    flood(socket, Buffer.from(chunk));
  },
  idle() {},
  heads(socket) {
    socket.write('GET /quick/1 HTTP/1.1\r\n');
    flood(socket, Buffer.from('X-More: of them\r\n'.repeat(3_000)));
  },
  garbage(socket) {
    flood(socket, Buffer.alloc(PART_BYTES, '\u0000\u0001\r\n{"x":[GET '));
  },
};

export interface PressingCallers {
  /** Resolves once all connections are closed. */
  stop(): Promise<readonly PressingResult[]>;
}

/** Starts all callers of all kinds at all hosts. */
export function startPressing(
  all: readonly Pressing[],
  hosts: readonly RelaySettings[],
): PressingCallers {
  const results = all.map((): PressingResult => ({
    opened: 0,
    open: 0,
    closed: 0,
    answers: {},
    mostBytes: 0,
    longestOpenMs: 0,
  }));
  const sockets = new Set<net.Socket>();
  const timers = new Set<NodeJS.Timeout>();
  let isStopped = false;

  function press(
    pressing: Pressing,
    settings: RelaySettings,
    result: PressingResult,
  ): void {
    if (isStopped) return;
    const {kind, at = 'callerAddress', requests = 1} = pressing;
    if (kind === 'datagrams') return sendDatagrams(settings, result);
    const {ip, port} = splitAddress(settings[at]);
    const socket = net.connect(port, ip);
    sockets.add(socket);
    let answerCount = 0;
    let answeredAtMs = Number.POSITIVE_INFINITY;
    let isOpen = false;
    socket.on('connect', () => {
      isOpen = true;
      result.opened++;
      result.open++;
      WRITERS[kind](socket, pressing);
    });
    if (!pressing.isUnread) {
      socket.on('data', bytes => {
        // A body without end is not searched.
        if (kind !== 'ahead' && answerCount > 0) return;
        for (const [, status] of bytes
          .toString('latin1')
          .matchAll(STATUS_LINE)) {
          answerCount++;
          answeredAtMs = Math.min(answeredAtMs, performance.now());
          result.answers[status] = (result.answers[status] ?? 0) + 1;
        }
        if (kind === 'ahead' && answerCount >= requests) socket.destroy();
      });
    }
    socket.on('error', () => undefined);
    socket.on('close', () => {
      sockets.delete(socket);
      const openMs = performance.now() - answeredAtMs;
      result.longestOpenMs = Math.max(result.longestOpenMs, openMs);
      result.mostBytes = Math.max(result.mostBytes, socket.bytesWritten);
      if (isStopped) return;
      if (isOpen) result.open--;
      if (isOpen && answerCount < requests) result.closed++;
      const timer = setTimeout(() => {
        timers.delete(timer);
        press(pressing, settings, result);
      }, AGAIN_MS);
      timers.add(timer);
    });
  }

  function sendDatagrams(
    {peerAddress}: RelaySettings,
    result: PressingResult,
  ): void {
    const {ip, port} = splitAddress(peerAddress);
    const socket = dgram.createSocket('udp4');
    socket.on('error', () => undefined);
    const bytes = Buffer.alloc(DATAGRAM_BYTES, '{"x":[');
    const timer = setInterval(() => {
      if (isStopped) {
        clearInterval(timer);
        socket.close();
        return;
      }
      result.opened++;
      socket.send(bytes, port, ip);
    }, DATAGRAMS_EVERY_MS);
  }

  for (const [index, pressing] of all.entries()) {
    for (const settings of hosts) {
      for (let i = 0; i < pressing.perHost; i++) {
        press(pressing, settings, results[index]);
      }
    }
  }

  return {
    async stop() {
      isStopped = true;
      for (const timer of timers) clearTimeout(timer);
      const closing = [...sockets].map(socket => once(socket, 'close'));
      for (const socket of sockets) socket.destroy();
      await Promise.allSettled(closing);
      return results;
    },
  };
}
