/** Estimates of the resources and times that a request needs. */

import type {PoolEngine} from '../core/scheduling/engine_pool.js';
import {samplePrefixes} from '../core/scheduling/prefix_index.js';
import type {GrantRequest} from '../ports/grants.js';
import type {GrantReply} from './dispatcher_types.js';
import type {ShardState, QueuedRequest} from './shard_state.js';

/** The parts of a queued request from which cached tokens are estimated. */
type RequestPrefixes = Pick<QueuedRequest, 'request' | 'sampledPrefixes'>;

/**
 * Share of the time left to the first token that a request may wait in the
 * queue if it would be late even without a wait.
 */
const LONG_PROMPT_QUEUE_SHARE = 0.25;

/**
 * Tokens to prefill: the prompt and, for a resumed answer, the tokens already
 * delivered.
 */
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

/**
 * Estimates the time and memory that the request needs, and the latest time at
 * which it may start.
 */
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
  // A request whose prefill, transfer and first token alone take longer than
  // the time left is late on any engine. It may still wait in the queue for a
  // short time.
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

/**
 * Engine time that a request is expected to use; it is charged to its client
 * account.
 */
export function costMs(state: ShardState, queued: QueuedRequest): number {
  const answerMs =
    state.model.expectedTokens(queued.request) * state.model.intervalMs();
  const slots = state.pool.decode[0]?.description.slots ?? 1;
  return queued.prefillMs + answerMs / Math.max(1, slots);
}
