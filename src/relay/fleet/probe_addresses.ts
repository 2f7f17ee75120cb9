/**
 * Addresses at which to probe for hosts that are not known to be alive: from
 * the settings, from the registry, and of lost hosts. Probing finds the peers
 * after a start and after a network partition.
 */

import type {Clock} from '../../ports/clock.js';

export interface ProbeAddresses {
  add(addresses: readonly string[]): void;
  /** A datagram was received from the address. */
  noteReceived(address: string): void;
  /** The next addresses to probe, those from the settings first. */
  next(isLive: (address: string) => boolean): readonly string[];
}

export interface ProbeAddressesOptions {
  readonly ownAddress: string;
  /** From the settings; never removed. */
  readonly seedAddresses: readonly string[];
}

/** Interval between probes of an address that does not answer. */
const PROBE_INTERVAL_MS = 1_000;
/** An address is removed after this long without a datagram from it. */
const SILENT_ADDRESS_TTL_MS = 60_000;
/**
 * Maximum per round, including those from the settings; the others take turns.
 */
const MAX_PROBES_AT_ONCE = 16;

export function createProbeAddresses(
  clock: Clock,
  options: ProbeAddressesOptions,
): ProbeAddresses {
  const {ownAddress} = options;
  const seeds = new Set(options.seedAddresses.filter(a => a !== ownAddress));
  /**
   * By address: when a datagram from it was last received, or when it was
   * added.
   */
  const lastReceivedAtMs = new Map<string, number>();
  const probedAtMs = new Map<string, number>();

  function isDue(address: string): boolean {
    const lastMs = probedAtMs.get(address) ?? Number.NEGATIVE_INFINITY;
    return clock.nowMs() - lastMs >= PROBE_INTERVAL_MS;
  }

  function removeSilent(): void {
    for (const [address, heardAtMs] of lastReceivedAtMs) {
      if (clock.nowMs() - heardAtMs < SILENT_ADDRESS_TTL_MS) continue;
      lastReceivedAtMs.delete(address);
      probedAtMs.delete(address);
    }
  }

  return {
    add(addresses) {
      for (const address of addresses) {
        const isKnown = lastReceivedAtMs.has(address) || seeds.has(address);
        if (address === ownAddress || isKnown) continue;
        lastReceivedAtMs.set(address, clock.nowMs());
      }
    },
    noteReceived: address => void lastReceivedAtMs.set(address, clock.nowMs()),
    next(isLive) {
      removeSilent();
      const isWanted = (address: string) => !isLive(address) && isDue(address);
      const chosen = [...seeds].filter(isWanted);
      for (const address of lastReceivedAtMs.keys()) {
        if (chosen.length >= MAX_PROBES_AT_ONCE) break;
        if (!seeds.has(address) && isWanted(address)) chosen.push(address);
      }
      for (const address of chosen) probedAtMs.set(address, clock.nowMs());
      return chosen;
    },
  };
}
