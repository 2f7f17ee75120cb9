/**
 * Addresses of hosts that are not known to live: from the settings, from the
 * registry, and of hosts that were lost. Whoever is tried there and answers is
 * found, after a start as after a cut that parted the hosts.
 */

import type {Clock} from '../../ports/clock.js';

export interface ProbeAddresses {
  add(addresses: readonly string[]): void;
  /** A host was heard from there. */
  heard(address: string): void;
  /** The next ones to try, those from the settings first. */
  next(isLive: (address: string) => boolean): readonly string[];
}

export interface ProbeAddressesOptions {
  readonly ownAddress: string;
  /** From the settings; never forgotten. */
  readonly seedAddresses: readonly string[];
}

/** An address that never answers is tried this often. */
const PROBE_MS = 1_000;
/** An address that was silent for this long is forgotten. */
const FORGET_MS = 60_000;
/** Tried at once beside those from the settings; the others take turns. */
const MOST_AT_ONCE = 16;

export function createProbeAddresses(
  clock: Clock,
  options: ProbeAddressesOptions,
): ProbeAddresses {
  const {ownAddress} = options;
  const seeds = new Set(options.seedAddresses.filter(a => a !== ownAddress));
  /** When each was last heard from, or heard of first. */
  const others = new Map<string, number>();
  const triedAtMs = new Map<string, number>();

  function isDue(address: string): boolean {
    const lastMs = triedAtMs.get(address) ?? Number.NEGATIVE_INFINITY;
    return clock.nowMs() - lastMs >= PROBE_MS;
  }

  function forgetSilent(): void {
    for (const [address, heardAtMs] of others) {
      if (clock.nowMs() - heardAtMs < FORGET_MS) continue;
      others.delete(address);
      triedAtMs.delete(address);
    }
  }

  return {
    add(addresses) {
      for (const address of addresses) {
        const isKnown = others.has(address) || seeds.has(address);
        if (address === ownAddress || isKnown) continue;
        others.set(address, clock.nowMs());
      }
    },
    heard: address => void others.set(address, clock.nowMs()),
    next(isLive) {
      forgetSilent();
      const isWanted = (address: string) => !isLive(address) && isDue(address);
      const chosen = [...seeds].filter(isWanted);
      for (const address of others.keys()) {
        if (chosen.length >= MOST_AT_ONCE) break;
        if (!seeds.has(address) && isWanted(address)) chosen.push(address);
      }
      for (const address of chosen) triedAtMs.set(address, clock.nowMs());
      return chosen;
    },
  };
}
