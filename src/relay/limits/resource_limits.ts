/**
 * What a process may use, from its settings: memory, connections of callers and
 * descriptors; and what is refused or ended before it uses more.
 */

import type {RequestError} from '../../core/error_kinds.js';
import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {ProcessMemory} from '../../ports/process_memory.js';
import type {RelayMetrics} from '../relay_metrics.js';
import type {RelaySettings} from '../relay_settings.js';
import {heldKinds} from './held_kinds.js';
import {createMemoryBudget, type MemoryBudget} from './memory_budget.js';
import {createMemoryWatch, type MemoryWatch} from './memory_watch.js';

export interface ResourceLimitsHost {
  readonly clock: Clock;
  readonly processMemory: ProcessMemory;
  readonly log: Logger;
  readonly metrics: Pick<RelayMetrics, 'count'>;
  /** Whether another entry takes requests. */
  hasOtherEntry(): boolean;
}

export interface ResourceLimits {
  readonly memory: MemoryBudget;
  readonly watch: MemoryWatch;
  /** The limit of the process in bytes. */
  readonly maxMemoryBytes: number;
  /** Connections of callers that may be open at once. */
  readonly maxCallerConnections: number;
  /** Connections of peers that may be open at once. */
  readonly maxPeerConnections: number;
  /** The refusal of a request for which there is no room. */
  toRefusal(detail: string): RequestError;
}

const BYTES_PER_MB = 1024 * 1024;
/** What the process uses itself, with what it needs for its own work. */
const OWN_MEMORY_MB = 100;
/**
 * Of the rest, the part for what is held for callers. Garbage that has not been
 * collected takes as much again.
 */
const HELD_SHARE = 2 / 5;
const MIN_HELD_SHARE = 1 / 8;

/** Descriptors for files, listening sockets and connections of this host. */
const OWN_DESCRIPTORS = 200;
/**
 * Of the rest, the part for callers. Calls to upstreams need as many, and
 * connections that are being refused half of it.
 */
const CALLER_SHARE = 2 / 5;
/** Of what may be held, the part for connections by themselves. */
const CONNECTION_MEMORY_SHARE = 1 / 4;
/** Connections of peers, as a part of those of callers. */
const PEER_SHARE = 1 / 4;
const MAX_PEER_CONNECTIONS = 320;

/** Short, since a caller can connect to another entry right away. */
const OTHER_ENTRY_RETRY_MS = 20;
/** Requests end within about a second, and free what they hold. */
const RETRY_MS = 1_000;

function toMaxHeldBytes(memoryMb: number): number {
  const heldMb = Math.max(
    (memoryMb - OWN_MEMORY_MB) * HELD_SHARE,
    memoryMb * MIN_HELD_SHARE,
  );
  return heldMb * BYTES_PER_MB;
}

function toMaxConnections(
  maxDescriptors: number,
  maxHeldBytes: number,
): number {
  const count = Math.min(
    (maxDescriptors - OWN_DESCRIPTORS) * CALLER_SHARE,
    (maxHeldBytes * CONNECTION_MEMORY_SHARE) /
      heldKinds.connection.overheadBytes,
  );
  return Math.max(1, Math.floor(count));
}

export function createResourceLimits(
  host: ResourceLimitsHost,
  settings: Pick<RelaySettings, 'memoryMb' | 'maxDescriptors'>,
): ResourceLimits {
  const {log, metrics, processMemory} = host;
  const {memoryMb, maxDescriptors} = settings;
  const maxMemoryBytes =
    memoryMb === undefined
      ? processMemory.maxResidentBytes
      : memoryMb * BYTES_PER_MB;
  const memory = createMemoryBudget({
    maxHeldBytes: () => watch.maxHeldBytes(),
    onGrowth: () => watch.check(),
    onEnded({kind, requestId}, heldBytes) {
      log.warn('A request was ended, as memory is scarce.', {
        request: requestId,
        kind,
        heldBytes,
        totalBytes: memory.heldBytes(),
        maxBytes: Math.round(watch.maxHeldBytes()),
      });
      metrics.count('memory_ends', `kind="${kind}"`);
    },
  });
  const maxHeldBytes = toMaxHeldBytes(maxMemoryBytes / BYTES_PER_MB);
  const watch = createMemoryWatch(
    {...host, memory: processMemory, budget: memory},
    {maxBytes: maxMemoryBytes, maxHeldBytes},
  );
  const maxCallerConnections = toMaxConnections(
    maxDescriptors ?? Infinity,
    maxHeldBytes,
  );
  return {
    memory,
    watch,
    maxMemoryBytes,
    maxCallerConnections,
    maxPeerConnections: Math.min(
      MAX_PEER_CONNECTIONS,
      Math.ceil(maxCallerConnections * PEER_SHARE),
    ),
    toRefusal: detail => ({
      kind: 'host-overloaded',
      detail,
      retryAfterMs: host.hasOtherEntry() ? OTHER_ENTRY_RETRY_MS : RETRY_MS,
    }),
  };
}
