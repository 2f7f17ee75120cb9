/**
 * Which entries callers should use: those that are ready, this host among
 * them. Pure but for what it reads from its host.
 */

import type {Random} from '../../ports/random.js';
import type {Member} from '../fleet/members.js';

export interface EntryAnswer {
  /** `ip:port`, in no order. */
  readonly addresses: readonly string[];
  /** How long a caller may keep the answer. */
  readonly ttlS: number;
}

export interface HostDirectoryHost {
  readonly callerAddress: string;
  isReady(): boolean;
  readonly random: Random;
  peers(): readonly Member[];
}

/**
 * A dead entry costs each caller that picks it a second, so answers are short
 * lived; asking costs an entry a fraction of a millisecond.
 */
const TTL_S = 1.5;
const MAX_ADDRESSES = 64;

/** Some of the list, drawn at random; all if there are no more. */
function draw<T>(list: readonly T[], count: number, random: Random): T[] {
  const drawn = [...list];
  const last = Math.min(count, list.length - 1);
  for (let i = 0; i < last; i++) {
    const other = i + random.nextInt(drawn.length - i);
    [drawn[i], drawn[other]] = [drawn[other], drawn[i]];
  }
  return drawn.slice(0, count);
}

/**
 * Undefined when no entry is ready. Of more entries than an answer holds each
 * answer names others, so that all get their part of the callers.
 */
export function answerDirectory(
  host: HostDirectoryHost,
): EntryAnswer | undefined {
  const ready = host
    .peers()
    .filter(peer => peer.state === 'ready')
    .map(peer => peer.callerAddress);
  const own = host.isReady() ? [host.callerAddress] : [];
  const others = draw(ready, MAX_ADDRESSES - own.length, host.random);
  const addresses = [...own, ...others];
  return addresses.length > 0 ? {addresses, ttlS: TTL_S} : undefined;
}
