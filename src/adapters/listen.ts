/** Parses `ip:port` addresses and starts servers on them. */

import type {Server} from 'node:net';

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
