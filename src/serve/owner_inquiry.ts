/**
 * Whether the owner of something at an engine still knows of it, for the sweep.
 *
 * An entry that lives can lose a release (its call failed too often), and the
 * engine's memory would stay held. The engine's home therefore asks the entry
 * itself, once for each request and then every `RECHECK_MS`.
 */

import {createClient, type ServiceImpl} from '@connectrpc/connect';
import {RequestPeer} from '../generated/corianderbend/peer_pb.js';
import type {OwnerTag} from '../ports/engine.js';
import {splitEntryTag} from './entry_liveness.js';
import type {Fleet} from './fleet.js';
import type {World} from './world.js';

const RECHECK_MS = 30_000;
const GATHER_MS = 200;
const ASK_TIMEOUT_MS = 1000;
const MAX_KNOWN = 20_000;

export type OwnerState = 'running' | 'gone' | 'dead' | 'unknown';

export interface OwnerInquiry {
  /** What is known now; asks the owner when that is old. */
  ownerState(owner: OwnerTag): OwnerState;
}

interface KnownRequest {
  state: OwnerState;
  askedAtMs: number;
}

export function createOwnerInquiry(
  {clock, getTransport}: Pick<World, 'clock' | 'getTransport'>,
  {liveness, membership}: Pick<Fleet, 'liveness' | 'membership'>,
  isRunningHere: (requestId: string) => boolean,
): OwnerInquiry {
  const known = new Map<string, KnownRequest>();
  const pendingByEntry = new Map<string, Set<string>>();

  async function ask(entry: string): Promise<void> {
    const requestIds = [...(pendingByEntry.get(entry) ?? [])];
    pendingByEntry.delete(entry);
    const {hostId} = splitEntryTag(entry);
    const address = membership.get(hostId)?.address;
    if (!address) return;
    try {
      const client = createClient(RequestPeer, getTransport(address));
      const limit = {timeoutMs: ASK_TIMEOUT_MS};
      const reply = await client.findRunning({requestIds}, limit);
      const running = new Set(reply.requestIds);
      for (const requestId of requestIds) {
        const request = known.get(requestId);
        if (request)
          request.state = running.has(requestId) ? 'running' : 'gone';
      }
    } catch {
      // No answer tells nothing: what the entry holds is left alone.
    }
  }

  function schedule(entry: string, requestId: string): void {
    const pending = pendingByEntry.get(entry);
    if (pending) {
      pending.add(requestId);
      return;
    }
    pendingByEntry.set(entry, new Set([requestId]));
    clock.setTimer(GATHER_MS, () => void ask(entry));
  }

  function findRemote({entry, requestId}: OwnerTag): OwnerState {
    const nowMs = clock.nowMs();
    const request = known.get(requestId);
    if (request && nowMs - request.askedAtMs < RECHECK_MS) return request.state;
    const state = request?.state ?? 'unknown';
    known.delete(requestId);
    known.set(requestId, {state, askedAtMs: nowMs});
    if (known.size > MAX_KNOWN) known.delete(known.keys().next().value!);
    schedule(entry, requestId);
    return state;
  }

  return {
    ownerState(owner) {
      if (!liveness.isAlive(owner.entry)) return 'dead';
      if (owner.entry !== liveness.selfTag()) return findRemote(owner);
      return isRunningHere(owner.requestId) ? 'running' : 'gone';
    },
  };
}

/** Answers the homes that ask this entry. */
export function createRequestPeerService(
  isRunningHere: (requestId: string) => boolean,
): ServiceImpl<typeof RequestPeer> {
  return {
    findRunning: ({requestIds}) => ({
      requestIds: requestIds.filter(isRunningHere),
    }),
  };
}
