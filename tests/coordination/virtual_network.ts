/** Transfers datagrams between members in one process, in virtual time. */

import type {Clock} from '../../src/ports/clock.js';
import type {DatagramPort} from '../../src/ports/datagram.js';
import type {Random} from '../../src/ports/random.js';

export interface VirtualNetwork {
  open(address: string): DatagramPort;
  /** Share of datagrams that are lost. */
  loss: number;
  latencyMs: number;
  /** Whether a datagram is delivered; used to simulate partitions. */
  passes: (from: string, to: string) => boolean;
}

export function createVirtualNetwork(
  clock: Clock,
  random: Random,
): VirtualNetwork {
  type Handler = (from: string, payload: Uint8Array) => void;
  const handlers = new Map<string, Handler>();
  const network: VirtualNetwork = {
    loss: 0,
    latencyMs: 2,
    passes: () => true,
    open: address => ({
      send(to, payload) {
        const isLost = network.loss > 0 && random.nextFloat() < network.loss;
        if (isLost || !network.passes(address, to)) return;
        const delayMs = network.latencyMs * (0.5 + random.nextFloat());
        clock.setTimer(delayMs, () => handlers.get(to)?.(address, payload));
      },
      onReceive: handler => handlers.set(address, handler),
      close: () => handlers.delete(address),
    }),
  };
  return network;
}
