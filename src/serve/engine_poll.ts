/**
 * Polls one engine for its home: load reports and cache events. A home alone
 * polls its engines; watching every engine from every process would cost more
 * than a process may spend on control (see docs/CAPACITY.md).
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
  /** The engine is reachable by no connection, old or fresh. */
  onGone(): void;
}

export interface EnginePollOptions {
  readonly intervalMs: number;
  readonly timeoutMs: number;
  /** Failures in a row before the engine counts as gone. */
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
  let failures = 0;
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
    const list = events as readonly CacheEvent[];
    cacheSequence = Math.max(...list.map(event => event.sequence));
    host.onCacheEvents(list);
  }

  async function noteFailure(): Promise<void> {
    failures++;
    if (failures < options.failureLimit) return;
    // An old connection can go silent for good while new ones work; only an
    // engine that a fresh one cannot reach either is gone.
    const probe = await host.engine.probe(options.timeoutMs);
    if (probe !== 'alive' && !isStopped) host.onGone();
    if (probe === 'alive') failures = 0;
  }

  async function run(): Promise<void> {
    if (await pollLoad()) {
      failures = 0;
      await pollCache();
    } else {
      await noteFailure();
    }
    if (isStopped) return;
    timer = host.clock.setTimer(options.intervalMs, () => void run());
  }

  void run();
  return {
    stop() {
      isStopped = true;
      if (timer) host.clock.clearTimer(timer);
    },
  };
}
