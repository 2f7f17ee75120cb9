/** Parses `ip:port` addresses and starts servers on them. */

import {isIP, type Server} from 'node:net';

export interface SplitAddress {
  readonly ip: string;
  readonly port: number;
}

/** Splits `ip:port`; an IPv6 address is in brackets. */
export function splitAddress(address: string): SplitAddress {
  const colon = address.lastIndexOf(':');
  const ip = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return {ip, port: Number(address.slice(colon + 1))};
}

const MAX_PORT = 65_535;

/** Whether `address` is `ip:port`, with a port that can be reached. */
export function isSocketAddress(address: unknown): address is string {
  if (typeof address !== 'string') return false;
  const {ip, port} = splitAddress(address);
  const isPort = /:\d{1,5}$/.test(address) && port > 0 && port <= MAX_PORT;
  return isPort && isIP(ip) !== 0;
}

/**
 * Resolves once `server` listens on `address`; rejects if it cannot. It may be
 * called again after a failure. `onError` gets what fails afterwards, such as
 * accepting a connection without a free descriptor.
 */
export function listenOn(
  server: Pick<Server, 'once' | 'on' | 'off' | 'listen'>,
  address: string,
  onError?: (error: Error) => void,
): Promise<void> {
  const {ip, port} = splitAddress(address);
  return new Promise((resolve, reject) => {
    const onListening = () => {
      server.off('error', onFailed);
      if (onError) server.on('error', onError);
      resolve();
    };
    const onFailed = (error: Error) => {
      server.off('listening', onListening);
      reject(error);
    };
    server.once('error', onFailed);
    server.once('listening', onListening);
    server.listen(port, ip);
  });
}
