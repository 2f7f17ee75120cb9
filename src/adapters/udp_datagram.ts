/** Sends and receives datagrams over UDP. */

import {createSocket} from 'node:dgram';
import type {DatagramPort} from '../ports/datagram.js';
import {isSocketAddress, splitAddress} from './listen.js';

/** Binds `address` (`ip:port`); rejects when that is not possible. */
export async function createUdpDatagramPort(
  address: string,
  onError: (error: Error) => void,
): Promise<DatagramPort> {
  const {ip, port} = splitAddress(address);
  const socket = createSocket(ip.includes(':') ? 'udp6' : 'udp4');
  await new Promise<void>((resolve, reject) => {
    const onFailed = (error: Error) => {
      socket.close();
      reject(error);
    };
    socket.once('error', onFailed);
    socket.bind(port, ip, () => {
      socket.off('error', onFailed);
      resolve();
    });
  });
  socket.on('error', onError);
  let isClosed = false;
  return {
    send(toAddress, payload) {
      // A peer may pass on an address that its socket would throw at.
      if (isClosed || !isSocketAddress(toAddress)) return;
      const to = splitAddress(toAddress);
      // Send errors are ignored: probes of an unreachable host time out.
      socket.send(payload, to.port, to.ip, () => undefined);
    },
    onReceive(handler) {
      socket.on('message', (payload, from) =>
        handler(`${from.address}:${from.port}`, payload),
      );
    },
    close() {
      if (isClosed) return;
      isClosed = true;
      socket.close();
    },
  };
}
