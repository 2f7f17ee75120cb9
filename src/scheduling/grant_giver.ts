/** Turns a placement into a grant: books, links, shares and the ledger. */

import type {PoolEngine} from '../core/scheduling/engine_pool.js';
import type {Placement} from '../core/scheduling/placement.js';
import type {Grant} from '../ports/grants.js';
import {cachedTokens, costMs} from './request_estimates.js';
import type {ShardState, Waiting} from './shard_state.js';

export interface GrantGiver {
  give(waiting: Waiting, placement: Placement): void;
}

export function createGrantGiver(state: ShardState): GrantGiver {
  let grantCount = 0;

  function give(waiting: Waiting, placement: Placement): void {
    const nowMs = state.clock.nowMs();
    const {request} = waiting;
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
    const cached = cachedTokens(state, waiting, prefill);
    prefill.book.reserve(grantId, waiting.promptKvBytes, nowMs);
    prefill.backlog.add(grantId, placement.prefillMs, nowMs);
    decode.book.reserve(grantId, waiting.kvBytes, nowMs);
    bookLinks(grantId, prefill, decode, placement);
    state.shares.charge(request.account, costMs(state, waiting), nowMs);
    noteUse(prefill);
    noteUse(decode);
    state.ledger.add({
      grant,
      request,
      prefill,
      decode,
      phase: 'promised',
      expectedCached: cached,
      kvBytes: waiting.kvBytes,
      promptKvBytes: waiting.promptKvBytes,
      prefillMs: placement.prefillMs,
      grantedAtMs: nowMs,
      lapsesAtMs: nowMs + grant.lifeMs,
      tokensDelivered: request.resumeOffset,
      tokensAtMs: nowMs,
    });
    if (state.policy.usePrefixCache) {
      state.prefixes.noteComputed(
        prefill.description.engineId,
        request.prefixHashes,
      );
    }
    waiting.reply(grant);
  }

  /** An engine that is tried again gets no second request at once. */
  function noteUse(engine: PoolEngine): void {
    const nowMs = state.clock.nowMs();
    const {engineId} = engine.description;
    state.health.noteUse(engineId, nowMs);
    if (state.policy.watchHealth)
      engine.share = state.health.share(engineId, nowMs);
  }

  function bookLinks(
    grantId: string,
    prefill: PoolEngine,
    decode: PoolEngine,
    times: {readonly transferStartMs: number; readonly transferMs: number},
  ): void {
    if (!state.policy.scheduleLinks) return;
    prefill.link.book(grantId, times.transferStartMs, times.transferMs);
    decode.link.book(grantId, times.transferStartMs, times.transferMs);
  }

  return {give};
}
