/** What this process holds for its callers, and the limits on it. */

import {createProcessMemory} from '../adapters/process_memory.js';
import type {Clock} from '../ports/clock.js';
import type {Logger} from '../ports/log.js';
import {createBodyReader, type BodyReader} from './front/body_reader.js';
import {
  createCallerBuffers,
  type CallerBuffers,
} from './front/caller_buffers.js';
import {
  createConnectionLimit,
  type ConnectionLimit,
} from './limits/connection_limit.js';
import {
  createResourceLimits,
  type ResourceLimits,
} from './limits/resource_limits.js';
import type {RelayMetrics} from './relay_metrics.js';
import type {RelaySettings} from './relay_settings.js';

export interface CallerResourcesHost {
  readonly clock: Clock;
  readonly createLogger: (part: string) => Logger;
  readonly metrics: RelayMetrics;
  /** Whether another entry takes requests. */
  hasOtherEntry(): boolean;
  /** Time for the head of a request, once a configuration states it. */
  headerTimeoutMs(): number | undefined;
}

export interface CallerResources {
  readonly resources: ResourceLimits;
  readonly memory: ResourceLimits['memory'];
  readonly bodies: BodyReader;
  readonly callerBuffers: CallerBuffers;
  /** Connections of callers. */
  readonly connections: ConnectionLimit;
  /** Creates the limit of another server. */
  limitConnections(server: string, maxConnections: number): ConnectionLimit;
}

export function createCallerResources(
  host: CallerResourcesHost,
  settings: Pick<RelaySettings, 'memoryMb' | 'maxDescriptors'>,
): CallerResources {
  const {clock, createLogger, metrics} = host;
  const log = createLogger('limits');
  const resources = createResourceLimits(
    {
      clock,
      processMemory: createProcessMemory(),
      log,
      metrics,
      hasOtherEntry: host.hasOtherEntry,
    },
    settings,
  );
  const {memory} = resources;
  const limit = (
    server: string,
    maxConnections: number,
    headerTimeoutMs: () => number | undefined,
  ) =>
    createConnectionLimit(
      {clock, log, metrics, memory},
      {server, maxConnections, headerTimeoutMs},
    );
  return {
    resources,
    memory,
    bodies: createBodyReader({
      clock,
      log: createLogger('bodies'),
      metrics,
      resources,
    }),
    callerBuffers: createCallerBuffers({
      clock,
      log: createLogger('front'),
      metrics,
      memory,
    }),
    connections: limit(
      'callers',
      resources.maxCallerConnections,
      host.headerTimeoutMs,
    ),
    // A request that has only begun may be closed for another one.
    limitConnections: (server, maxConnections) =>
      limit(server, maxConnections, () => 0),
  };
}
