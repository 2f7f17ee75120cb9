/**
 * Connections between the product's processes, by Connect RPC over HTTP/2.
 * Each call carries the shared key.
 */

import {createHash, timingSafeEqual} from 'node:crypto';
import type {Interceptor, Transport} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';

/** Idle connections are pinged to find and replace those that have failed. */
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

/** Whether an `authorization` header carries `key`; takes constant time. */
export function hasValidKey(header: string | null, key: string): boolean {
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
 * Rounds a timeout up to whole milliseconds: peers refuse calls whose timeout
 * header has a fraction.
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
