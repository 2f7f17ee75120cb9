/**
 * Polls one engine for load reports and cache events. Only the home of a shard
 * polls its engines: polling every engine from every process would exceed the
 * capacity that a process may use for control traffic (see docs/CAPACITY.md).
 */

import type {Clock, TimerHandle} from '../ports/clock.js';
import type {
  CacheEvent,
  EngineLoadReport,
  EnginePort,
} from '../ports/engine.js';

export interface EnginePollHost {
  readonly clock: Clock;
  readonly engine: EnginePort;
  onLoad(report: EngineLoadReport): void;
  onCacheEvents(events: readonly CacheEvent[]): void;
  /** Called when the engine is unreachable on open and on new connections. */
  onUnreachable(): void;
}

export interface EnginePollOptions {
  readonly intervalMs: number;
  readonly timeoutMs: number;
  /** Consecutive failures before the engine is probed on a new connection. */
  readonly failureLimit: number;
}

export interface EnginePoll {
  stop(): void;
}

export function startEnginePoll(
  host: EnginePollHost,
  options: EnginePollOptions,
): EnginePoll {
  let timer: TimerHandle | undefined;
  let isStopped = false;
  let failureCount = 0;
  let cacheSequence = 0;

  async function pollLoad(): Promise<boolean> {
    const report = await host.engine.load(options.timeoutMs);
    if ('kind' in report) return false;
    if (!isStopped) host.onLoad(report);
    return true;
  }

  async function pollCache(): Promise<void> {
    const events = await host.engine.cacheEvents(
      cacheSequence,
      options.timeoutMs,
    );
    if (!Array.isArray(events) || events.length === 0 || isStopped) return;
    const newEvents = events as readonly CacheEvent[];
    cacheSequence = Math.max(...newEvents.map(event => event.sequence));
    host.onCacheEvents(newEvents);
  }

  async function handleFailure(): Promise<void> {
    failureCount++;
    if (failureCount < options.failureLimit) return;
    // An open connection can stop responding while new ones still work, so the
    // engine is unreachable only if a new connection fails too.
    const probe = await host.engine.probe(options.timeoutMs);
    if (probe !== 'alive' && !isStopped) host.onUnreachable();
    if (probe === 'alive') failureCount = 0;
  }

  async function pollOnce(): Promise<void> {
    if (await pollLoad()) {
      failureCount = 0;
      await pollCache();
    } else {
      await handleFailure();
    }
    if (isStopped) return;
    timer = host.clock.setTimer(options.intervalMs, () => void pollOnce());
  }

  void pollOnce();
  return {
    stop() {
      isStopped = true;
      if (timer) host.clock.clearTimer(timer);
    },
  };
}
