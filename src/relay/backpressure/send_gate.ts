/** Whether an upstream takes a request of this host now, whatever it asks for. */

import type {UpstreamRegistry} from '../store/upstream_registry.js';
import type {GateVerdict, LimitGate, Withheld} from './limit_gate.js';
import type {UpstreamRests} from './upstream_rests.js';

export interface SendGate {
  /** May ask the owner of the upstream's limit, and let the request wait. */
  admit(
    upstreamId: string,
    mostWaitMs: number,
  ): GateVerdict | Promise<GateVerdict>;
  /** For a request that was admitted and had to wait since. */
  blocked(upstreamId: string): Withheld | undefined;
  isResting(upstreamId: string): boolean;
  /** How long the upstream takes nothing more from this host; 0: it may. */
  heldMs(upstreamId: string): number;
}

export interface SendGateHost {
  readonly registry: Pick<UpstreamRegistry, 'getOpen'>;
  readonly rests: UpstreamRests;
  readonly limitGate: LimitGate;
}

export function createSendGate(host: SendGateHost): SendGate {
  const {registry, rests, limitGate} = host;

  function blocked(upstreamId: string): Withheld | undefined {
    // It may have begun to leave since it was chosen, here or elsewhere.
    if (!registry.getOpen(upstreamId)) {
      return {kind: 'withheld', waitMs: 0, by: 'leaving'};
    }
    const waitMs = rests.leftMs(upstreamId);
    return waitMs > 0 ? {kind: 'withheld', waitMs, by: 'rest'} : undefined;
  }

  return {
    admit: (upstreamId, mostWaitMs) =>
      blocked(upstreamId) ?? limitGate.admit(upstreamId, mostWaitMs),
    blocked,
    isResting: upstreamId => rests.leftMs(upstreamId) > 0,
    heldMs: upstreamId =>
      Math.max(rests.leftMs(upstreamId), limitGate.heldMs(upstreamId)),
  };
}
