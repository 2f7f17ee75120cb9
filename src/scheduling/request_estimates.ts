/** What one home expects a request to need. */

import type {PoolEngine} from '../core/scheduling/engine_pool.js';
import {samplePrefixes} from '../core/scheduling/prefix_index.js';
import type {GrantRequest} from '../ports/grants.js';
import type {GrantReply} from './dispatcher_types.js';
import type {ShardState, Waiting} from './shard_state.js';

/** A request with its sampled prefixes. */
type PrefixOwner = Pick<Waiting, 'request' | 'sampledPrefixes'>;

/** Share of its first-token time that a too long prompt may queue. */
const LONG_PROMPT_QUEUE_SHARE = 0.25;

/** Tokens to compute: a resumed answer is computed again up to its cut. */
export function prefillTokens(request: GrantRequest): number {
  return request.promptTokenCount + request.resumeOffset;
}

/** Tokens of the prompt expected in an engine's prefix cache. */
export function cachedTokens(
  state: ShardState,
  waiting: PrefixOwner,
  engine: PoolEngine,
): number {
  if (!state.policy.usePrefixCache) return 0;
  const {promptTokenCount, prefixHashes} = waiting.request;
  return state.prefixes.expectedCachedTokens(
    engine.description.engineId,
    waiting.sampledPrefixes,
    promptTokenCount / Math.max(1, prefixHashes.length),
  );
}

export function prefillMsOn(
  state: ShardState,
  waiting: PrefixOwner,
  engine: PoolEngine,
): number {
  const cached = cachedTokens(state, waiting, engine);
  const tokens = prefillTokens(waiting.request) - cached;
  return state.model.prefill.estimateMs(Math.max(1, tokens));
}

function transferMs(state: ShardState, promptKvBytes: number): number {
  const [engine] = state.pool.decode;
  if (!engine) return 0;
  return promptKvBytes / Math.max(1, engine.description.linkBytesPerMs);
}

/** What the request needs, and when it must start at the latest. */
export function estimateRequest(
  state: ShardState,
  request: GrantRequest,
  reply: GrantReply,
): Waiting {
  const nowMs = state.clock.nowMs();
  const tokens = prefillTokens(request);
  const perToken = state.model.kvBytesPerToken();
  const largest = state.pool.decode.reduce(
    (most, each) => Math.max(most, each.description.kvBytes),
    0,
  );
  // A whole answer has `maxTokens` at most, resumed or not.
  const wholeTokens = request.promptTokenCount + request.maxTokens;
  const wantedKv = wholeTokens * perToken;
  const prefillMs = state.model.prefill.estimateMs(tokens);
  const promptKvBytes = tokens * perToken;
  const ownMs =
    prefillMs + transferMs(state, promptKvBytes) + state.model.intervalMs();
  const answerMs =
    state.model.expectedTokens(request) * state.model.intervalMs();
  const firstTokenMs = request.ttftLeftMs * (1 - state.policy.admissionMargin);
  const slackMs = firstTokenMs - ownMs;
  // A prompt so long that its own prefill breaks the target is late on any
  // engine; it still gets a short time in the queue rather than none.
  const queueMs =
    slackMs > 0 ? slackMs : request.ttftLeftMs * LONG_PROMPT_QUEUE_SHARE;
  const wholeMs = request.waitLeftMs - ownMs - answerMs;
  const isDropped =
    state.policy.refuseEarly || state.policy.order === 'deadline';
  const latestStartMs = isDropped
    ? nowMs + Math.min(queueMs, wholeMs)
    : nowMs + request.waitLeftMs;
  return {
    request,
    account: request.account,
    reply,
    latestStartMs,
    orderMs: state.policy.order === 'deadline' ? latestStartMs : nowMs,
    prefillMs,
    kvBytes: Math.min(wantedKv, largest),
    promptKvBytes,
    sampledPrefixes: samplePrefixes(request.prefixHashes),
  };
}

/** Engine time that a request uses, for the shares of accounts. */
export function costMs(state: ShardState, waiting: Waiting): number {
  const answerMs =
    state.model.expectedTokens(waiting.request) * state.model.intervalMs();
  const slots = state.pool.decode[0]?.description.slots ?? 1;
  return waiting.prefillMs + answerMs / Math.max(1, slots);
}
