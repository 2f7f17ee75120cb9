/** A front with small limits, and connections that write bytes to it. */

import net from 'node:net';
import type {TestContext} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import {createBodyReader} from '../../../src/relay/front/body_reader.js';
import {
  createRelayFront,
  type RelayFrontHost,
} from '../../../src/relay/front/relay_front.js';
import {createConnectionLimit} from '../../../src/relay/limits/connection_limit.js';
import type {Relay} from '../../../src/relay/relay.js';
import {findFreeAddress} from '../../support/free_address.js';
import {silentLog} from '../../support/silent_log.js';
import {createBudget, noMetrics} from '../limits/resources_stand_in.js';

/** Waits until `condition` holds; fails after 4 s. */
export async function until(condition: () => boolean): Promise<void> {
  const deadlineMs = Date.now() + 4_000;
  while (!condition()) {
    if (Date.now() > deadlineMs) throw new Error('Timed out.');
    await new Promise(resolve => setTimeout(resolve, 2));
  }
}

export interface RawConnection {
  readonly socket: net.Socket;
  received(): string;
  /** Resolves once the text was received; fails if the connection closes. */
  receives(text: string): Promise<void>;
  /** Resolves once the connection is closed. */
  isClosed(): Promise<void>;
}

export async function connectRaw(
  address: string,
  text = '',
): Promise<RawConnection> {
  const [ip, port] = address.split(':');
  const socket = net.connect(Number(port), ip);
  let received = '';
  socket.on('data', bytes => (received += String(bytes)));
  socket.on('error', () => undefined);
  await new Promise(resolve => socket.once('connect', resolve));
  if (text) socket.write(text);
  return {
    socket,
    received: () => received,
    async receives(expected) {
      await until(() => received.includes(expected) || socket.destroyed);
      if (received.includes(expected)) return;
      throw new Error(`Closed without ${expected}: ${received}`);
    },
    isClosed: () => until(() => socket.destroyed),
  };
}

export interface RawFrontOptions {
  readonly maxHeldBytes?: number;
  readonly maxBodyBytes?: number;
  readonly maxConnections?: number;
  readonly waitMs?: number;
  readonly handle?: Relay['handle'];
  readonly refuseArriving?: RelayFrontHost['refuseArriving'];
}

const answer: Relay['handle'] = async (_, caller) => {
  caller.begin(200, [], 2);
  caller.write(Buffer.from('ok'));
  caller.end();
};

export async function createRawFront(t: TestContext, options: RawFrontOptions) {
  const clock = createVirtualClock();
  const memory = createBudget(options.maxHeldBytes);
  const bodies: string[] = [];
  const resources = {
    memory,
    maxCallerConnections: options.maxConnections ?? Infinity,
    maxPeerConnections: Infinity,
    toRefusal: (detail: string) =>
      ({kind: 'host-overloaded', detail, retryAfterMs: 20}) as const,
  };
  const shared = {clock, log: silentLog, metrics: noMetrics, memory, resources};
  const front = createRelayFront({
    ...shared,
    reader: {
      read: () => ({
        requestId: 'request-1',
        forwarded: [],
        waitMs: options.waitMs,
      }),
    },
    relay: {
      handle(request, caller) {
        bodies.push(request.body.toString());
        return (options.handle ?? answer)(request, caller);
      },
      activeCount: () => 0,
    },
    buffers: {
      noteBlocked: () => undefined,
      noteFree: () => undefined,
      bufferedBytes: () => 0,
    },
    bodies: createBodyReader(shared),
    connections: createConnectionLimit(shared, {
      server: 'callers',
      maxConnections: resources.maxCallerConnections,
      headerTimeoutMs: () => 1_000,
    }),
    limits: () => ({
      maxHeaderBytes: 4_096,
      maxBodyBytes: options.maxBodyBytes ?? 1024 * 1024,
      headerTimeoutMs: 1_000,
      idleTimeoutMs: 3_000,
    }),
    isLeaving: () => false,
    refuseArriving: options.refuseArriving ?? (() => undefined),
  });
  const address = await findFreeAddress();
  await front.listen(address);
  t.after(() => front.close());
  return {
    clock,
    memory,
    cutCount: front.cutCount,
    openCount: front.openCount,
    /** The bodies of the requests that were run. */
    bodies,
    connect: (text?: string) => connectRaw(address, text),
  };
}

export const post = (headers: readonly string[], body = '') =>
  ['POST / HTTP/1.1', 'Host: x', ...headers, '', body].join('\r\n');
