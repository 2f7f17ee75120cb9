/**
 * Total load that all peers have reserved on each engine. It is updated with
 * each announcement, because with many hosts adding it up for each engine and
 * request would take more processor time than the request itself.
 */

import type {HostLoad} from './host_load.js';

type Sums = readonly number[];

export interface PeerLoads {
  /** Replaces the load of a peer; undefined removes it. */
  set(hostId: string, load: HostLoad | undefined): void;
  /** Runs, tokens now, forecast tokens at the end. */
  decode(engineId: string): readonly [number, number, number];
  /** Prompts, tokens. */
  prefill(engineId: string): readonly [number, number];
  /** Engines on which a peer has reserved anything. */
  engineIds(): ReadonlySet<string>;
}

function addTo(
  totals: Map<string, Sums>,
  loads: Readonly<Record<string, Sums>>,
  sign: 1 | -1,
): void {
  for (const [engineId, sums] of Object.entries(loads)) {
    const before = totals.get(engineId) ?? [];
    const after = sums.map((each, i) => (before[i] ?? 0) + sign * each);
    if (after.some(each => each !== 0)) totals.set(engineId, after);
    else totals.delete(engineId);
  }
}

export function createPeerLoads(): PeerLoads {
  const peers = new Map<string, HostLoad>();
  const decode = new Map<string, Sums>();
  const prefill = new Map<string, Sums>();

  function apply({decode: runs, prefill: prompts}: HostLoad, sign: 1 | -1) {
    addTo(decode, runs, sign);
    addTo(prefill, prompts, sign);
  }

  return {
    set(hostId, load) {
      const before = peers.get(hostId);
      if (before) apply(before, -1);
      if (!load) {
        peers.delete(hostId);
        return;
      }
      peers.set(hostId, load);
      apply(load, 1);
    },
    decode(engineId) {
      const [runs = 0, now = 0, end = 0] = decode.get(engineId) ?? [];
      return [runs, now, end];
    },
    prefill(engineId) {
      const [prompts = 0, tokens = 0] = prefill.get(engineId) ?? [];
      return [prompts, tokens];
    },
    engineIds: () => new Set([...decode.keys(), ...prefill.keys()]),
  };
}
