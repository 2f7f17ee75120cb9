/** The addresses of other hosts that the settings state. */

import {splitAddress} from '../../adapters/listen.js';
import type {RelaySettings} from '../relay_settings.js';

type SeedSettings = Pick<RelaySettings, 'peerAddress' | 'seedAddresses'>;

/** All hosts use the same peer port, but a seed may contain another port. */
export function toSeedAddresses(settings: SeedSettings): readonly string[] {
  const {port} = splitAddress(settings.peerAddress);
  return settings.seedAddresses.map(seed => `${splitAddress(seed).ip}:${port}`);
}

/** Whether the settings name any host but this one. */
export function hasOtherSeeds(settings: SeedSettings): boolean {
  const {ip} = splitAddress(settings.peerAddress);
  return settings.seedAddresses.some(seed => splitAddress(seed).ip !== ip);
}
