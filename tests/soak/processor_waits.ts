/**
 * How long processes had work but no processor, from the scheduler's counters
 * of Linux; zero elsewhere.
 */

import {readFileSync} from 'node:fs';

const NS_PER_MS = 1e6;

/** Counts the time of the main thread, which runs all JavaScript. */
function readWaitedMs(processId: number): number {
  try {
    const text = readFileSync(`/proc/${processId}/schedstat`, 'utf8');
    return Number(text.split(' ')[1]) / NS_PER_MS;
  } catch {
    return 0;
  }
}

/** Returns a function that returns the largest wait of the processes since. */
export function startProcessorWaits(
  processIds: readonly number[],
): () => number {
  const begun = processIds.map(readWaitedMs);
  return () =>
    Math.max(
      0,
      ...processIds.map((id, i) => Math.max(0, readWaitedMs(id) - begun[i])),
    );
}
