/** Ways in which an upstream breaks off an answer. */

import type net from 'node:net';

export type BreakOff = (socket: net.Socket) => void;

export const resetAfter =
  (delayMs: number): BreakOff =>
  socket =>
    setTimeout(() => socket.resetAndDestroy(), delayMs);

/** Ends the answer first, as a server does that closes with unread bytes. */
export const endAndResetAfter =
  (delayMs: number): BreakOff =>
  socket =>
    socket.end(() => resetAfter(delayMs)(socket));
