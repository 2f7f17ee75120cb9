/** Decides whether this host may send a request to an upstream now. */

import type {UpstreamRegistry} from '../store/upstream_registry.js';
import type {GateVerdict, LimitGate, Withheld} from './limit_gate.js';
import type {UpstreamRests} from './upstream_rests.js';

export interface SendGate {
  /**
   * Admits a request, with a permit of the limit's owner where one is needed.
   */
  admit(
    upstreamId: string,
    mostWaitMs: number,
  ): GateVerdict | Promise<GateVerdict>;
  /** Checks again a request that was admitted and then had to wait. */
  findBlock(upstreamId: string): Withheld | undefined;
  isResting(upstreamId: string): boolean;
  /** Returns how long this host may send nothing to the upstream, or 0. */
  blockedForMs(upstreamId: string): number;
}

export interface SendGateHost {
  readonly registry: Pick<UpstreamRegistry, 'getOpen'>;
  readonly rests: UpstreamRests;
  readonly limitGate: LimitGate;
}

export function createSendGate(host: SendGateHost): SendGate {
  const {registry, rests, limitGate} = host;

  function findBlock(upstreamId: string): Withheld | undefined {
    // The upstream may have started to leave after it was chosen.
    if (!registry.getOpen(upstreamId)) {
      return {kind: 'withheld', waitMs: 0, by: 'leaving'};
    }
    const waitMs = rests.leftMs(upstreamId);
    return waitMs > 0 ? {kind: 'withheld', waitMs, by: 'rest'} : undefined;
  }

  return {
    admit: (upstreamId, mostWaitMs) =>
      findBlock(upstreamId) ?? limitGate.admit(upstreamId, mostWaitMs),
    findBlock,
    isResting: upstreamId => rests.leftMs(upstreamId) > 0,
    blockedForMs: upstreamId =>
      Math.max(rests.leftMs(upstreamId), limitGate.blockedForMs(upstreamId)),
  };
}
