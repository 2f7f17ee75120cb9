/** Samples the memory of processes, and ends those that exceed their limit. */

import {readFileSync} from 'node:fs';
import type {RelayChild} from './relay_child.js';

export interface MemoryWatch {
  /** Most MB of each host's processes so far, by host. */
  readonly peakMb: ReadonlyMap<string, number>;
  /** Hosts whose processes were ended at their limit. */
  readonly ended: readonly string[];
  stop(): void;
}

const SAMPLE_EVERY_MS = 25;
const KB_PER_MB = 1024;

function readMb(status: string, field: 'VmRSS' | 'VmHWM'): number {
  const kb = new RegExp(`^${field}:\\s+(\\d+)`, 'm').exec(status)?.[1];
  return Number(kb ?? 0) / KB_PER_MB;
}

function readStatus(processId: number): string {
  try {
    return readFileSync(`/proc/${processId}/status`, 'utf8');
  } catch {
    // It has exited since.
    return '';
  }
}

/** Ends a process by SIGKILL, as the platform does. */
export function watchMemory(
  children: readonly RelayChild[],
  maxMb: number,
  onEnd: (child: RelayChild) => unknown = () => undefined,
): MemoryWatch {
  const peakMb = new Map<string, number>();
  const ended: string[] = [];
  const endedIds = new Set<number>();
  const timer = setInterval(() => {
    for (const child of children) {
      const processId = child.processId();
      if (processId === undefined || endedIds.has(processId)) continue;
      const {hostId} = child.settings;
      const status = readStatus(processId);
      const mostMb = Math.max(peakMb.get(hostId) ?? 0, readMb(status, 'VmHWM'));
      peakMb.set(hostId, mostMb);
      if (readMb(status, 'VmRSS') <= maxMb) continue;
      endedIds.add(processId);
      ended.push(hostId);
      child.signal('SIGKILL');
      onEnd(child);
    }
  }, SAMPLE_EVERY_MS);
  return {peakMb, ended, stop: () => clearInterval(timer)};
}
