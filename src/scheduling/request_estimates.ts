/** Estimates of the resources and times that a request needs. */

import type {PoolEngine} from '../core/scheduling/engine_pool.js';
import {samplePrefixes} from '../core/scheduling/prefix_index.js';
import type {GrantRequest} from '../ports/grants.js';
import type {GrantReply} from './dispatcher_types.js';
import type {ShardState, QueuedRequest} from './shard_state.js';

/** A request with its sampled prefixes. */
type RequestPrefixes = Pick<QueuedRequest, 'request' | 'sampledPrefixes'>;

/** Share of the first-token time that an overlong prompt may wait in queue. */
const LONG_PROMPT_QUEUE_SHARE = 0.25;

/** Tokens to prefill; for a resumed answer with the tokens delivered so far. */
export function prefillTokens(request: GrantRequest): number {
  return request.promptTokenCount + request.resumeOffset;
}

/** Tokens of the prompt expected in an engine's prefix cache. */
export function cachedTokens(
  state: ShardState,
  queued: RequestPrefixes,
  engine: PoolEngine,
): number {
  if (!state.policy.usePrefixCache) return 0;
  const {promptTokenCount, prefixHashes} = queued.request;
  return state.prefixes.expectedCachedTokens(
    engine.description.engineId,
    queued.sampledPrefixes,
    promptTokenCount / Math.max(1, prefixHashes.length),
  );
}

export function prefillMsOn(
  state: ShardState,
  queued: RequestPrefixes,
  engine: PoolEngine,
): number {
  const cached = cachedTokens(state, queued, engine);
  const tokens = prefillTokens(queued.request) - cached;
  return state.model.prefill.estimateMs(Math.max(1, tokens));
}

function transferMs(state: ShardState, promptKvBytes: number): number {
  const [engine] = state.pool.decode;
  if (!engine) return 0;
  return promptKvBytes / Math.max(1, engine.description.linkBytesPerMs);
}

/** Estimates what the request needs and the latest time of its start. */
export function estimateRequest(
  state: ShardState,
  request: GrantRequest,
  reply: GrantReply,
): QueuedRequest {
  const nowMs = state.clock.nowMs();
  const tokens = prefillTokens(request);
  const kvBytesPerToken = state.model.kvBytesPerToken();
  const largestKvBytes = state.pool.decode.reduce(
    (most, each) => Math.max(most, each.description.kvBytes),
    0,
  );
  // `maxTokens` limits the whole answer, including tokens before a resume.
  const wholeTokens = request.promptTokenCount + request.maxTokens;
  const wantedKvBytes = wholeTokens * kvBytesPerToken;
  const prefillMs = state.model.prefill.estimateMs(tokens);
  const promptKvBytes = tokens * kvBytesPerToken;
  const ownMs =
    prefillMs + transferMs(state, promptKvBytes) + state.model.intervalMs();
  const answerMs =
    state.model.expectedTokens(request) * state.model.intervalMs();
  const firstTokenMs = request.ttftLeftMs * (1 - state.policy.admissionMargin);
  const slackMs = firstTokenMs - ownMs;
  // A prompt whose prefill alone exceeds the target is late on any engine. It
  // still gets a short time in the queue.
  const queueMs =
    slackMs > 0 ? slackMs : request.ttftLeftMs * LONG_PROMPT_QUEUE_SHARE;
  const wholeMs = request.waitLeftMs - ownMs - answerMs;
  const isDroppedWhenLate =
    state.policy.refuseEarly || state.policy.order === 'deadline';
  const latestStartMs = isDroppedWhenLate
    ? nowMs + Math.min(queueMs, wholeMs)
    : nowMs + request.waitLeftMs;
  return {
    request,
    account: request.account,
    reply,
    latestStartMs,
    orderMs: state.policy.order === 'deadline' ? latestStartMs : nowMs,
    prefillMs,
    kvBytes: Math.min(wantedKvBytes, largestKvBytes),
    promptKvBytes,
    sampledPrefixes: samplePrefixes(request.prefixHashes),
  };
}

/** Engine time that a request uses, charged to the share of its account. */
export function costMs(state: ShardState, queued: QueuedRequest): number {
  const answerMs =
    state.model.expectedTokens(queued.request) * state.model.intervalMs();
  const slots = state.pool.decode[0]?.description.slots ?? 1;
  return queued.prefillMs + answerMs / Math.max(1, slots);
}
