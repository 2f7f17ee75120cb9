/**
 * Preloaded into a relay process so that SIGUSR2 makes it keep the datagrams
 * that arrive, and the next SIGUSR2 delivers them all at once.
 */

import dgram from 'node:dgram';

type Emit = (this: dgram.Socket, name: string, ...args: unknown[]) => boolean;

const emit = dgram.Socket.prototype.emit as Emit;
let isHolding = false;
let held: Array<() => void> = [];

dgram.Socket.prototype.emit = function (this: dgram.Socket, name, ...args) {
  if (!isHolding || name !== 'message') return emit.call(this, name, ...args);
  held.push(() => void emit.call(this, name, ...args));
  return true;
} as Emit as typeof dgram.Socket.prototype.emit;

process.on('SIGUSR2', () => {
  isHolding = !isHolding;
  if (isHolding) return;
  const released = held;
  held = [];
  for (const deliver of released) deliver();
});
