/** Prefills assigned to one engine that have not finished. */

interface Job {
  readonly grantId: string;
  readonly estimateMs: number;
}

/** Expected remaining time of a late prefill as a share of its overrun. */
const OVERRUN_SHARE = 0.5;

export interface PrefillBacklog {
  add(grantId: string, estimateMs: number, nowMs: number): void;
  /** Removes a prefill; returns its start time if it was running. */
  remove(grantId: string, nowMs: number): number | undefined;
  /** Returns the time at which the engine is expected to be idle. */
  freeAtMs(nowMs: number): number;
  count(): number;
}

export function createPrefillBacklog(): PrefillBacklog {
  const jobs: Job[] = [];
  let waitingMs = 0;
  let currentSinceMs = 0;

  return {
    add(grantId, estimateMs, nowMs) {
      if (jobs.length === 0) currentSinceMs = nowMs;
      else waitingMs += estimateMs;
      jobs.push({grantId, estimateMs});
    },
    remove(grantId, nowMs) {
      const index = jobs.findIndex(job => job.grantId === grantId);
      if (index < 0) return undefined;
      const [removed] = jobs.splice(index, 1);
      if (index > 0) {
        waitingMs -= removed.estimateMs;
        return undefined;
      }
      const sinceMs = currentSinceMs;
      currentSinceMs = nowMs;
      if (jobs.length > 0) waitingMs -= jobs[0].estimateMs;
      else waitingMs = 0;
      return sinceMs;
    },
    freeAtMs(nowMs) {
      if (jobs.length === 0) return nowMs;
      const elapsedMs = nowMs - currentSinceMs;
      const leftMs = jobs[0].estimateMs - elapsedMs;
      const remainingMs = leftMs >= 0 ? leftMs : -leftMs * OVERRUN_SHARE;
      return nowMs + remainingMs + waitingMs;
    },
    count: () => jobs.length,
  };
}
