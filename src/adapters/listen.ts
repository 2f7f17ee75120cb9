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

/** Resolves once `server` listens on `address`; rejects if it cannot. */
export function listenOn(
  server: Pick<Server, 'once' | 'off' | 'listen'>,
  address: string,
): Promise<void> {
  const {ip, port} = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, () => {
      server.off('error', reject);
      resolve();
    });
  });
}
