/**
 * Simulates the queue of a placer in virtual time under the streams of a
 * deployment with three priorities: 6.3, 18.6 and 9.3 streams a second with
 * goals of 0.8, 1.0 and 2.0 s, and a burst of them. Refused callers return once,
 * if the retry time is at most a third of the time that they have left.
 */

import type {Route, Service} from '../../../src/core/routing_types.js';
import {createSeededRandom} from '../../../src/core/seeded_random.js';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import type {
  Placement,
  StreamNeed,
} from '../../../src/relay/placement/placement_types.js';
import {plannedTokens} from '../../../src/relay/placement/placement_rules.js';
import {
  createServiceQueue,
  type QueueOutcome,
} from '../../../src/relay/placement/service_queue.js';
import type {CompareWaiting} from '../../../src/relay/placement/queue_forecasts.js';
import {
  compareWaiting,
  toWaiting,
} from '../../../src/relay/placement/wait_rules.js';
import {makeService} from './lone_scheduler.js';

export interface PriorityLoad {
  readonly seed: number;
  /** `compareWaiting` by default. */
  readonly compare?: CompareWaiting;
  /** The burst, as a multiple of the usual rate. */
  readonly burstFactor: number;
  readonly burstMs: number;
  /** Decode engines; 24 by default, which complete some 55 streams a second. */
  readonly engines?: number;
  readonly routes?: readonly LoadRoute[];
  /** Accounts that count as over their share. */
  readonly overShare?: ReadonlySet<string>;
}

export interface LoadRoute {
  readonly priority?: number;
  readonly perS: number;
  readonly goalMs: number;
  readonly account?: string;
}

export interface RouteResult {
  onTime: number;
  late: number;
  refused: number;
  /** Refused callers that were served when they returned. */
  servedAgain: number;
  retries: number;
}

export interface PriorityResult {
  readonly routes: readonly RouteResult[];
  /** What was decided, in order. */
  readonly decisions: readonly string[];
}

export const THREE_ROUTES: readonly LoadRoute[] = [
  {priority: 0, perS: 6.3, goalMs: 800},
  {priority: 1, perS: 18.6, goalMs: 1_000},
  {priority: 2, perS: 9.3, goalMs: 2_000},
];

const DEFAULT_ENGINES = 24;
const KV_TOKENS = 29_292;
const START_MS = 250;
const EVENT_MS = 39;
const EVENTS = 72;
const TOKENS_PER_EVENT = 14;
const CALM_MS = 4_000;
const TIMEOUT_MS = 14_000;
const CHECK_MS = 50;

const service: Service = makeService(KV_TOKENS);

function makeRoute({goalMs, priority}: LoadRoute): Route {
  return {
    name: `route-${priority}`,
    host: 'mesto.example',
    prefix: '/',
    kind: 'stream',
    targets: [{service: service.name, weight: 1}],
    maxAttempts: 1,
    timeoutMs: TIMEOUT_MS,
    goalMs,
    gapGoalMs: 300,
    priority: priority ?? 0,
    isResumable: false,
    isPublic: true,
  };
}

interface Run {
  readonly engine: number;
  readonly planned: number;
  readonly atEnd: number;
}

export async function simulatePriorities(
  load: PriorityLoad,
): Promise<PriorityResult> {
  const clock = createVirtualClock(10_000);
  const random = createSeededRandom(load.seed);
  const routes = load.routes ?? THREE_ROUTES;
  const used = new Array<number>(load.engines ?? DEFAULT_ENGINES).fill(0);
  const runs = new Set<Run>();
  const decisions: string[] = [];
  const results: readonly RouteResult[] = routes.map(() => ({
    onTime: 0,
    late: 0,
    refused: 0,
    servedAgain: 0,
    retries: 0,
  }));
  const listeners = new Map<StreamNeed, (outcome: QueueOutcome) => void>();
  let nextId = 0;

  const queue = createServiceQueue({
    compare: load.compare ?? compareWaiting,
    waitingAtPeers: () => [],
    runningMemory: () => ({
      runs: runs.size,
      tokensAtEnd: [...runs].reduce((sum, {atEnd}) => sum + atEnd, 0),
      meanRunMs: START_MS + EVENTS * EVENT_MS,
    }),
    leastUrgentPriority: () => undefined,
    isOverShare: account => load.overShare?.has(account) ?? false,
    onPlaced: () => undefined,
    retrySpread: () => 0,
    isServed: () => true,
    tryPlace,
  });

  function tryPlace(need: StreamNeed, ahead: number): Placement | undefined {
    const planned = plannedTokens(need);
    const free = used.map(tokens => KV_TOKENS * 0.97 - tokens);
    const room = free.reduce(
      (sum, each) => sum + Math.max(0, Math.floor(each / planned)),
      0,
    );
    if (room <= ahead) return undefined;
    const engine = free.indexOf(Math.max(...free));
    const atEnd = need.promptTokens + need.expectedOutputTokens;
    const run: Run = {engine, planned, atEnd};
    used[engine] += planned;
    runs.add(run);
    const events = need.expectedOutputTokens / TOKENS_PER_EVENT;
    clock.setTimer(START_MS + events * EVENT_MS, () => {
      used[engine] -= planned;
      runs.delete(run);
      process();
    });
    // The queue only passes the placement on.
    return {kind: 'placed'} as Placement;
  }

  function process(): void {
    for (const {waiter, outcome} of queue.process(clock.nowMs())) {
      answer(waiter.need, outcome);
    }
  }

  function answer(need: StreamNeed, outcome: QueueOutcome): void {
    const atMs = Math.round(clock.nowMs());
    decisions.push(`${atMs} ${need.requestId} ${outcome.kind}`);
    listeners.get(need)?.(outcome);
    listeners.delete(need);
  }

  function request(
    index: number,
    deadlineAtMs: number,
    isRetry: boolean,
    tokens: {readonly prompt: number; readonly output: number},
  ): void {
    const arrivedAtMs = clock.nowMs();
    const result = results[index];
    const {priority, account} = routes[index];
    const route = makeRoute(routes[index]);
    const startMs = START_MS;
    const waiting = toWaiting({route, arrivedAtMs, deadlineAtMs, startMs});
    const need: StreamNeed = {
      requestId: String(nextId++),
      service,
      promptTokens: tokens.prompt,
      expectedOutputTokens: tokens.output,
      waiting: {...waiting, priority},
      account,
      startMs,
      callerLeftMs: deadlineAtMs - arrivedAtMs,
    };
    const conclude = (outcome: QueueOutcome) => {
      const heldMs = clock.nowMs() - arrivedAtMs;
      if (outcome.kind === 'started') {
        if (isRetry) result.servedAgain++;
        if (heldMs + START_MS <= route.goalMs) result.onTime++;
        else result.late++;
        return;
      }
      const {retryAfterMs} = outcome.refusal;
      const leftMs = deadlineAtMs - clock.nowMs();
      if (isRetry || retryAfterMs > leftMs / 3) {
        result.refused++;
        return;
      }
      result.retries++;
      clock.setTimer(retryAfterMs, () =>
        request(index, deadlineAtMs, true, tokens),
      );
    };
    listeners.set(need, conclude);
    const outcome = queue.add(need, arrivedAtMs);
    if (outcome.kind !== 'waiting') answer(need, outcome);
  }

  const spread = (mean: number, width: number) =>
    mean * (1 - width + 2 * width * random.nextFloat());

  function offer(index: number): void {
    const sinceMs = clock.nowMs() - 10_000;
    const endMs = 2 * CALM_MS + load.burstMs;
    if (sinceMs >= endMs) return;
    const isBurst = sinceMs >= CALM_MS && sinceMs < CALM_MS + load.burstMs;
    const perS = routes[index].perS * (isBurst ? load.burstFactor : 1);
    request(index, clock.nowMs() + TIMEOUT_MS, false, {
      prompt: spread(3_200, 0.6),
      output: spread(EVENTS * TOKENS_PER_EVENT, 0.5),
    });
    const pauseMs = (-Math.log(1 - random.nextFloat()) * 1_000) / perS;
    clock.setTimer(pauseMs, () => offer(index));
  }

  function check(): void {
    process();
    clock.setTimer(CHECK_MS, check);
  }

  routes.forEach((_, index) => offer(index));
  check();
  await clock.advance(2 * CALM_MS + load.burstMs + 2 * TIMEOUT_MS);
  return {routes: results, decisions};
}
