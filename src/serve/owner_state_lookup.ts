/**
 * Finds out whether a request that holds memory at an engine still runs, for
 * the sweep. A live entry can fail to release that memory if the call to the
 * engine keeps failing, so the engine's home queries the entry about each
 * request, and again after `RECHECK_INTERVAL_MS`.
 */

import {createClient, type ServiceImpl} from '@connectrpc/connect';
import {RequestPeer} from '../generated/corianderbend/peer_pb.js';
import type {OwnerTag} from '../ports/engine.js';
import {parseEntryTag} from './entry_liveness.js';
import type {Fleet} from './fleet.js';
import type {ProcessAdapters} from './process_adapters.js';

const RECHECK_INTERVAL_MS = 30_000;
const BATCH_DELAY_MS = 200;
const QUERY_TIMEOUT_MS = 1000;
const MAX_CACHED_REQUESTS = 20_000;

export type OwnerState = 'running' | 'gone' | 'dead' | 'unknown';

export interface OwnerStateLookup {
  /** Returns the last known state; queries the owner if it is outdated. */
  ownerState(owner: OwnerTag): OwnerState;
}

interface CachedRequest {
  state: OwnerState;
  queriedAtMs: number;
}

export function createOwnerStateLookup(
  {clock, getTransport}: Pick<ProcessAdapters, 'clock' | 'getTransport'>,
  {liveness, membership}: Pick<Fleet, 'liveness' | 'membership'>,
  isRunningHere: (requestId: string) => boolean,
): OwnerStateLookup {
  const cachedRequests = new Map<string, CachedRequest>();
  const pendingByEntry = new Map<string, Set<string>>();

  async function queryEntry(entry: string): Promise<void> {
    const requestIds = [...(pendingByEntry.get(entry) ?? [])];
    pendingByEntry.delete(entry);
    const {hostId} = parseEntryTag(entry);
    const address = membership.get(hostId)?.address;
    if (!address) return;
    try {
      const client = createClient(RequestPeer, getTransport(address));
      const callOptions = {timeoutMs: QUERY_TIMEOUT_MS};
      const reply = await client.findRunning({requestIds}, callOptions);
      const running = new Set(reply.requestIds);
      for (const requestId of requestIds) {
        const request = cachedRequests.get(requestId);
        if (request)
          request.state = running.has(requestId) ? 'running' : 'gone';
      }
    } catch {
      // Without a reply the states stay unchanged, so that nothing is freed by
      // mistake.
    }
  }

  function scheduleQuery(entry: string, requestId: string): void {
    const pending = pendingByEntry.get(entry);
    if (pending) {
      pending.add(requestId);
      return;
    }
    pendingByEntry.set(entry, new Set([requestId]));
    clock.setTimer(BATCH_DELAY_MS, () => void queryEntry(entry));
  }

  function getRemoteState({entry, requestId}: OwnerTag): OwnerState {
    const nowMs = clock.nowMs();
    const request = cachedRequests.get(requestId);
    if (request && nowMs - request.queriedAtMs < RECHECK_INTERVAL_MS)
      return request.state;
    const state = request?.state ?? 'unknown';
    cachedRequests.delete(requestId);
    cachedRequests.set(requestId, {state, queriedAtMs: nowMs});
    if (cachedRequests.size > MAX_CACHED_REQUESTS)
      cachedRequests.delete(cachedRequests.keys().next().value!);
    scheduleQuery(entry, requestId);
    return state;
  }

  return {
    ownerState(owner) {
      if (!liveness.isAlive(owner.entry)) return 'dead';
      if (owner.entry !== liveness.selfTag()) return getRemoteState(owner);
      return isRunningHere(owner.requestId) ? 'running' : 'gone';
    },
  };
}

/** Replies to homes that query this entry about its requests. */
export function createRequestPeerService(
  isRunningHere: (requestId: string) => boolean,
): ServiceImpl<typeof RequestPeer> {
  return {
    findRunning: ({requestIds}) => ({
      requestIds: requestIds.filter(isRunningHere),
    }),
  };
}
