/**
 * Addresses that nothing listens on, for processes that are told where to
 * listen. A port that was found free is taken by another test file, or by an
 * outgoing connection of any process, before it is listened on; so each
 * process of the tests has a loopback address of its own, and names no port
 * twice.
 */

import net from 'node:net';

const BYTE = 256;
/** 127.0.0.x is everybody's. */
const FIRST_SECOND_BYTE = 1;
const SECOND_BYTES = 126;

/** A loopback address that other processes of this machine do not use. */
export function ownLoopback(pid = process.pid): string {
  const second =
    FIRST_SECOND_BYTE + (Math.floor(pid / BYTE ** 2) % SECOND_BYTES);
  return `127.${second}.${Math.floor(pid / BYTE) % BYTE}.${pid % BYTE}`;
}

const given = new Set<number>();

export async function findFreePort(ip = ownLoopback()): Promise<number> {
  const server = net.createServer();
  await new Promise<void>(resolve => server.listen(0, ip, resolve));
  const {port} = server.address() as net.AddressInfo;
  await new Promise(resolve => server.close(resolve));
  if (given.has(port)) return findFreePort(ip);
  given.add(port);
  return port;
}

export async function findFreeAddress(): Promise<string> {
  const ip = ownLoopback();
  return `${ip}:${await findFreePort(ip)}`;
}

/** The same port of a second address that is this process's alone. */
export function onSecondLoopback(address: string): string {
  const [ip, port] = address.split(':');
  const [first, second, ...rest] = ip.split('.');
  const other = Number(second) + SECOND_BYTES;
  return `${[first, other, ...rest].join('.')}:${port}`;
}
