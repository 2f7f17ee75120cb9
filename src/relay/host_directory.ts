/**
 * Which entries callers should use: those that are ready, this host among
 * them. Pure but for what it reads from its host.
 */

import type {Peer} from './peer_datagrams.js';

export interface EntryAnswer {
  /** `ip:port`, in no order. */
  readonly addresses: readonly string[];
  /** How long a caller may keep the answer. */
  readonly ttlS: number;
}

export interface HostDirectoryHost {
  readonly callerAddress: string;
  isReady(): boolean;
  peers(): readonly Peer[];
}

/**
 * A dead entry costs each caller that picks it a second, so answers are short
 * lived; asking costs an entry a fraction of a millisecond.
 */
const TTL_S = 1.5;
const MAX_ADDRESSES = 64;

/** Undefined when no entry is ready. */
export function answerDirectory(
  host: HostDirectoryHost,
): EntryAnswer | undefined {
  const ready = host
    .peers()
    .filter(peer => peer.state === 'ready')
    .map(peer => peer.callerAddress);
  const addresses = host.isReady() ? [host.callerAddress, ...ready] : ready;
  if (addresses.length === 0) return undefined;
  return {addresses: addresses.slice(0, MAX_ADDRESSES), ttlS: TTL_S};
}
