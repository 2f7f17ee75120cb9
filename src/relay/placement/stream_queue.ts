/**
 * Queues streams until engines have room, one queue for each service. Checks
 * the queues whenever something changes and at short intervals, and answers the
 * requests that start or are refused.
 */

import type {Clock, TimerHandle} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {Cancellation} from '../../ports/relay.js';
import type {
  PlacementOutcome,
  StreamNeed,
  WaitingRequest,
} from './placement_types.js';
import {
  createServiceQueue,
  type QueueOutcome,
  type ServiceQueue,
  type ServiceQueueHost,
  type StreamRefusal,
  type Waiter,
} from './service_queue.js';
import {VERSION_GONE} from './engine_versions.js';
import {compareWaiting} from './wait_rules.js';

export interface StreamQueueHost {
  readonly clock: Clock;
  readonly log: Logger;
  /** What the queue of a service needs to know. */
  queueHost(service: string): Omit<ServiceQueueHost, 'compare'>;
  /** Something that is announced to the peers has changed. */
  onChange(): void;
}

export interface StreamQueue {
  /** Resolves when the request has started, was refused or was cancelled. */
  place(
    need: StreamNeed,
    cancellation: Cancellation,
  ): Promise<PlacementOutcome>;
  /** Starts the waiting requests that now find room. */
  process(): void;
  /** Same, after a short delay that lets further updates arrive. */
  processSoon(): void;
  /** The number of waiting requests. */
  size(): number;
  waitingRequests(): readonly WaitingRequest[];
  counts(): QueueCounts;
}

export interface QueueCounts {
  /** Refused callers that are expected to return. */
  readonly scheduledRetries: number;
  /** Requests refused while they waited, before their time was up. */
  readonly earlyRefusals: number;
}

/** How often the queue is checked without any update. */
const QUEUE_CHECK_MS = 50;
/**
 * With many peers an update arrives each millisecond; one check serves several
 * of them.
 */
const QUEUE_CHECK_DELAY_MS = 6;

export function createStreamQueue(host: StreamQueueHost): StreamQueue {
  const {clock, log} = host;
  const queues = new Map<string, ServiceQueue>();
  const resolvers = new Map<Waiter, (outcome: PlacementOutcome) => void>();
  let earlyRefusals = 0;
  let timer: TimerHandle | undefined;
  let soonTimer: TimerHandle | undefined;

  function queueOf(service: string): ServiceQueue {
    let queue = queues.get(service);
    if (!queue) {
      queue = createServiceQueue({
        ...host.queueHost(service),
        compare: compareWaiting,
      });
      queues.set(service, queue);
    }
    return queue;
  }

  function logRefusal(need: StreamNeed, refusal: StreamRefusal): void {
    const {memory, waiting} = refusal;
    log.info('Stream refused.', {
      request: need.requestId,
      reason: refusal.reason,
      priority: waiting.priority,
      account: need.account,
      isOverShare: waiting.isOverShare,
      ageMs: Math.round(clock.nowMs() - waiting.arrivedAtMs),
      leftMs: Math.round(waiting.giveUpAtMs - clock.nowMs()),
      waitMs: Math.round(refusal.waitMs),
      retryAfterMs: Math.round(refusal.retryAfterMs),
      waitingHere: refusal.waitingHere,
      waitingAtPeers: refusal.waitingAtPeers,
      scheduledRetries: refusal.scheduledRetries,
      runs: memory.runs,
      tokensAtEnd: Math.round(memory.tokensAtEnd),
      meanRunMs: Math.round(memory.meanRunMs),
    });
  }

  function toPlacementOutcome(
    need: StreamNeed,
    outcome: QueueOutcome,
  ): PlacementOutcome {
    if (outcome.kind === 'started') return outcome.placement;
    const {refusal} = outcome;
    if (refusal.reason === 'forecast') earlyRefusals++;
    logRefusal(need, refusal);
    if (refusal.reason === 'version-gone') {
      return {kind: 'refused', error: VERSION_GONE};
    }
    return {
      kind: 'refused',
      error: {
        kind: 'overloaded',
        detail: `Room is expected in ${Math.round(refusal.waitMs)} ms.`,
        retryAfterMs: refusal.retryAfterMs,
      },
    };
  }

  function settle(waiter: Waiter, outcome: PlacementOutcome): void {
    resolvers.get(waiter)?.(outcome);
    resolvers.delete(waiter);
    host.onChange();
  }

  function process(): void {
    for (const each of [timer, soonTimer]) if (each) clock.clearTimer(each);
    timer = undefined;
    soonTimer = undefined;
    if (resolvers.size === 0) return;
    for (const queue of queues.values()) {
      if (queue.waiters().length === 0) continue;
      for (const {waiter, outcome} of queue.process(clock.nowMs())) {
        settle(waiter, toPlacementOutcome(waiter.need, outcome));
      }
    }
    if (resolvers.size > 0) timer = clock.setTimer(QUEUE_CHECK_MS, process);
  }

  function awaitTurn(
    queue: ServiceQueue,
    waiter: Waiter,
    cancellation: Cancellation,
  ): Promise<PlacementOutcome> {
    return new Promise(resolve => {
      resolvers.set(waiter, resolve);
      cancellation.onCancel(() => {
        if (queue.remove(waiter)) settle(waiter, {kind: 'cancelled'});
      });
      host.onChange();
      timer ??= clock.setTimer(QUEUE_CHECK_MS, process);
    });
  }

  return {
    async place(need, cancellation) {
      const queue = queueOf(need.service.name);
      const outcome = queue.add(need, clock.nowMs());
      if (outcome.kind === 'waiting') {
        return awaitTurn(queue, outcome.waiter, cancellation);
      }
      if (outcome.kind === 'started') host.onChange();
      return toPlacementOutcome(need, outcome);
    },
    process,
    processSoon() {
      if (resolvers.size === 0) return;
      soonTimer ??= clock.setTimer(QUEUE_CHECK_DELAY_MS, process);
    },
    size: () => resolvers.size,
    waitingRequests: () =>
      [...queues.values()].flatMap(queue =>
        queue.waiters().map(({need}) => ({
          service: need.service.name,
          waiting: need.waiting,
        })),
      ),
    counts: () => ({
      earlyRefusals,
      scheduledRetries: [...queues.values()].reduce(
        (sum, queue) => sum + queue.scheduledRetries(clock.nowMs()),
        0,
      ),
    }),
  };
}
