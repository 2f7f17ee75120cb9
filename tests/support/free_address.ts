/**
 * Free addresses for processes under test that listen on a given address.
 * Another test file or an outgoing connection could take a free port before the
 * process listens on it, so each test process uses its own loopback address and
 * returns no port twice.
 */

import net from 'node:net';

const OCTET_VALUES = 256;
/** 127.0.0.x is shared by all processes. */
const MIN_SECOND_OCTET = 1;
const SECOND_OCTET_COUNT = 126;

/**
 * Returns a loopback address that no other test process of this machine uses.
 */
export function ownLoopback(pid = process.pid): string {
  const second =
    MIN_SECOND_OCTET +
    (Math.floor(pid / OCTET_VALUES ** 2) % SECOND_OCTET_COUNT);
  return `127.${second}.${Math.floor(pid / OCTET_VALUES) % OCTET_VALUES}.${pid % OCTET_VALUES}`;
}

const returnedPorts = new Set<number>();

export async function findFreePort(ip = ownLoopback()): Promise<number> {
  const server = net.createServer();
  await new Promise<void>(resolve => server.listen(0, ip, resolve));
  const {port} = server.address() as net.AddressInfo;
  await new Promise(resolve => server.close(resolve));
  if (returnedPorts.has(port)) return findFreePort(ip);
  returnedPorts.add(port);
  return port;
}

export async function findFreeAddress(): Promise<string> {
  const ip = ownLoopback();
  return `${ip}:${await findFreePort(ip)}`;
}

/** Returns the same port on a second loopback address of this process. */
export function onSecondLoopback(address: string): string {
  const [ip, port] = address.split(':');
  const [first, second, ...rest] = ip.split('.');
  const otherSecond = Number(second) + SECOND_OCTET_COUNT;
  return `${[first, otherSecond, ...rest].join('.')}:${port}`;
}
