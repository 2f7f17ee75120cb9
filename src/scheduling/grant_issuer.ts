/**
 * Issues the grant for a request and the engines chosen for it: reserves
 * capacity on the engines and links, charges the cost to the client account and
 * records the grant.
 */

import type {PoolEngine} from '../core/scheduling/engine_pool.js';
import type {Placement} from '../core/scheduling/placement.js';
import type {Grant} from '../ports/grants.js';
import {cachedTokens, costMs} from './request_estimates.js';
import type {ShardState, QueuedRequest} from './shard_state.js';

export interface GrantIssuer {
  issue(queued: QueuedRequest, placement: Placement): void;
}

export function createGrantIssuer(state: ShardState): GrantIssuer {
  let grantCount = 0;

  function issue(queued: QueuedRequest, placement: Placement): void {
    const nowMs = state.clock.nowMs();
    const {request} = queued;
    const {prefill, decode} = placement;
    const grantId = `${state.options.shardId}/${state.options.homeEpoch}/${++grantCount}`;
    const startInMs = Math.max(
      0,
      prefill.backlog.freeAtMs(nowMs) - nowMs - state.policy.prefillAheadMs,
    );
    const grant: Grant = {
      kind: 'granted',
      grantId,
      homeEpoch: state.options.homeEpoch,
      prefillEngineId: prefill.description.engineId,
      prefillAddress: prefill.description.address,
      decodeEngineId: decode.description.engineId,
      decodeAddress: decode.description.address,
      lifeMs: Math.round(state.lifeMs + 2 * (placement.prefillEndMs - nowMs)),
      startInMs: Math.round(startInMs),
    };
    const cached = cachedTokens(state, queued, prefill);
    prefill.reservations.reserve(grantId, queued.promptKvBytes, nowMs);
    prefill.backlog.add(grantId, placement.prefillMs, nowMs);
    decode.reservations.reserve(grantId, queued.kvBytes, nowMs);
    reserveLinks(grantId, prefill, decode, placement);
    state.shares.charge(request.account, costMs(state, queued), nowMs);
    recordUse(prefill);
    recordUse(decode);
    state.ledger.add({
      grant,
      request,
      prefill,
      decode,
      phase: 'reserved',
      expectedCached: cached,
      kvBytes: queued.kvBytes,
      promptKvBytes: queued.promptKvBytes,
      prefillMs: placement.prefillMs,
      grantedAtMs: nowMs,
      expiresAtMs: nowMs + grant.lifeMs,
      tokensDelivered: request.resumeOffset,
      tokensAtMs: nowMs,
    });
    if (state.policy.usePrefixCache) {
      state.prefixes.recordComputed(
        prefill.description.engineId,
        request.prefixHashes,
      );
    }
    queued.reply(grant);
  }

  /**
   * Records the request and updates the usable share of the engine, so that an
   * engine on probation after an ejection gets only one request per probe
   * interval.
   */
  function recordUse(engine: PoolEngine): void {
    const nowMs = state.clock.nowMs();
    const {engineId} = engine.description;
    state.health.recordUse(engineId, nowMs);
    if (state.policy.watchHealth)
      engine.share = state.health.share(engineId, nowMs);
  }

  function reserveLinks(
    grantId: string,
    prefill: PoolEngine,
    decode: PoolEngine,
    times: {readonly transferStartMs: number; readonly transferMs: number},
  ): void {
    if (!state.policy.scheduleLinks) return;
    prefill.link.book(grantId, times.transferStartMs, times.transferMs);
    decode.link.book(grantId, times.transferStartMs, times.transferMs);
  }

  return {issue};
}
