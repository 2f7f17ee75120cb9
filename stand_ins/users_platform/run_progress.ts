/** How far the runs of an engine stand-in are, as its report shows them. */

import {performance} from 'node:perf_hooks';

/** How an engine sets the runs of streams aside for others. */
export interface Preemption {
  readonly afterEvents: number;
  readonly forMs: number;
  /** Whether a run goes on although its connection has closed. */
  readonly keepsRuns?: boolean;
}

interface Progress {
  eventCount: number;
  preemptedAtMs?: number;
}

export interface RunProgress {
  begin(requestId: string): void;
  noteEvent(requestId: string): void;
  end(requestId: string): void;
  /** Whether the run is set aside now; each is once. */
  isPreempted(requestId: string): boolean;
  /** Each is `[id, tokens in memory, events made, priority]`. */
  report(): ReadonlyArray<readonly [string, number, number, number]>;
}

const TOKENS = 100;
const PRIORITY = 5;

export function createRunProgress(preemption?: Preemption): RunProgress {
  const runs = new Map<string, Progress>();

  function isPreempted(requestId: string): boolean {
    const run = runs.get(requestId);
    if (!preemption || !run) return false;
    if (run.eventCount < preemption.afterEvents) return false;
    run.preemptedAtMs ??= performance.now();
    return performance.now() - run.preemptedAtMs < preemption.forMs;
  }

  return {
    begin: requestId => void runs.set(requestId, {eventCount: 0}),
    noteEvent(requestId) {
      const run = runs.get(requestId);
      if (run) run.eventCount++;
    },
    end: requestId => void runs.delete(requestId),
    isPreempted,
    report: () =>
      [...runs].map(([requestId, {eventCount}]) => [
        requestId,
        TOKENS,
        eventCount,
        PRIORITY,
      ]),
  };
}
