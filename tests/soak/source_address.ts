/**
 * Preloaded into a relay process so that its connections come from an address
 * of its own, by which a proxy tells the hosts apart.
 */

import net from 'node:net';

export const SOURCE_ADDRESS_VARIABLE = 'SOAK_SOURCE_ADDRESS';

const localAddress = process.env[SOURCE_ADDRESS_VARIABLE];
type Connect = (this: net.Socket, ...args: unknown[]) => net.Socket;

if (localAddress) {
  const connect = net.Socket.prototype.connect as Connect;
  net.Socket.prototype.connect = function (this: net.Socket, ...args) {
    const [first] = args as unknown[];
    // Node's agent finds a closed connection by the options that it passed.
    if (Array.isArray(first)) first[0] = {...first[0], localAddress};
    else (args as unknown[])[0] = {...(first as object), localAddress};
    return connect.apply(this, args);
  } as typeof net.Socket.prototype.connect;
}
