/**
 * Connections between our own processes: connect over HTTP/2, with a key that
 * every call carries.
 */

import {createHash, timingSafeEqual} from 'node:crypto';
import type {Interceptor, Transport} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';

/** Idle connections are pinged, so that a silent one is found and replaced. */
const PING_INTERVAL_MS = 2000;
const PING_TIMEOUT_MS = 1500;
const IDLE_CONNECTION_MS = 60_000;

/** Adds `authorization: Bearer KEY` to each call. */
export function createKeyInterceptor(key: string): Interceptor {
  return next => request => {
    request.header.set('authorization', `Bearer ${key}`);
    return next(request);
  };
}

/** Whether a header carries `key`; takes the same time for any header. */
export function isKeyShown(header: string | null, key: string): boolean {
  const digest = (text: string) => createHash('sha256').update(text).digest();
  return timingSafeEqual(digest(header ?? ''), digest(`Bearer ${key}`));
}

/** A transport to the process at `address` (`ip:port`). */
export function createPeerTransport(address: string, key: string): Transport {
  return createConnectTransport({
    baseUrl: `http://${address}`,
    httpVersion: '2',
    interceptors: [createKeyInterceptor(key)],
    pingIntervalMs: PING_INTERVAL_MS,
    pingTimeoutMs: PING_TIMEOUT_MS,
    pingIdleConnection: true,
    idleConnectionTimeoutMs: IDLE_CONNECTION_MS,
  });
}

/**
 * A time limit as connect can send it: its header takes whole milliseconds
 * only, and a peer refuses every call that has a fraction.
 */
export function toCallTimeoutMs(timeoutMs: number): number {
  return Math.max(1, Math.ceil(timeoutMs));
}

/** Keeps one transport for each address. */
export interface PeerTransports {
  get(address: string): Transport;
}

export function createPeerTransports(key: string): PeerTransports {
  const byAddress = new Map<string, Transport>();
  return {
    get(address) {
      let transport = byAddress.get(address);
      if (!transport) {
        transport = createPeerTransport(address, key);
        byAddress.set(address, transport);
      }
      return transport;
    },
  };
}
