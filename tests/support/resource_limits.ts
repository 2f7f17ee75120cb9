import type {RelaySettings} from '../../src/relay/relay_settings.js';
import {
  createResourceLimits,
  type ResourceLimits,
} from '../../src/relay/limits/resource_limits.js';
import {createVirtualClock} from '../../src/core/virtual_clock.js';
import {silentLog} from './silent_log.js';

/** Limits of a process that is alone. */
export function makeResourceLimits(
  settings: Pick<RelaySettings, 'memoryMb' | 'maxDescriptors'> = {},
): ResourceLimits {
  return createResourceLimits(
    {
      clock: createVirtualClock(),
      processMemory: {
        maxResidentBytes: Infinity,
        usage: () => ({residentBytes: 0, heapBytes: 0, maxHeapBytes: 1}),
        collect: () => undefined,
      },
      log: silentLog,
      metrics: {count: () => undefined},
      hasOtherEntry: () => false,
    },
    settings,
  );
}
