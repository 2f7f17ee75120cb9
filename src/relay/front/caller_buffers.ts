/**
 * Bounds the data that this host holds for callers that read slowly or not at
 * all. Upstreams are paused for such callers, so each holds little, but many
 * together exceed the memory of a small host.
 */

import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {RelayMetrics} from '../relay_metrics.js';

/** The connection of a caller whose request is being answered. */
export interface CallerConnection {
  readonly requestId: string;
  /** Whether the answer is written as its upstream sends it. */
  isStream(): boolean;
  /** Bytes that were written and that the connection has not taken. */
  bufferedBytes(): number;
  close(): void;
}

export interface CallerBuffers {
  /**
   * The connection did not take all that was written. May close it, or the
   * slowest other one.
   */
  noteBlocked(connection: CallerConnection): void;
  /** The connection has taken everything, or is closed. */
  noteFree(connection: CallerConnection): void;
  /** Bytes held for all callers that read slowly. */
  bufferedBytes(): number;
}

export interface CallerBuffersHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: Pick<RelayMetrics, 'count'>;
}

export interface CallerBuffersOptions {
  /** Memory for the process; absent if not known, without a bound for all. */
  readonly memoryMb?: number;
}

/**
 * Twice the largest answer that is collected before it is written (256 KiB): a
 * connection whose upstream is paused holds no more than one of these and a
 * chunk.
 */
const MAX_CONNECTION_BYTES = 512 * 1024;
/**
 * Of the memory, the part for callers that read slowly. The process itself
 * takes 100 MB, so that three quarters must remain on a host with 180 MB.
 */
const MAX_MEMORY_SHARE = 1 / 8;
const BYTES_PER_MB = 1024 * 1024;

/** What the body of an upstream's answer holds while it is paused. */
const PAUSED_BODY_BYTES = 16 * 1024;

type CloseCause = 'one-connection' | 'all-connections';

export function createCallerBuffers(
  host: CallerBuffersHost,
  {memoryMb = 0}: CallerBuffersOptions,
): CallerBuffers {
  const {clock, log, metrics} = host;
  /** Since when each connection has not taken everything; longest first. */
  const blockedSinceMs = new Map<CallerConnection, number>();
  const maxBytes =
    memoryMb > 0 ? memoryMb * BYTES_PER_MB * MAX_MEMORY_SHARE : Infinity;

  const bufferedBytes = () =>
    [...blockedSinceMs.keys()].reduce((sum, connection) => {
      const pausedBytes = connection.isStream() ? PAUSED_BODY_BYTES : 0;
      return sum + connection.bufferedBytes() + pausedBytes;
    }, 0);

  function close(connection: CallerConnection, cause: CloseCause): void {
    const blockedMs =
      clock.nowMs() - (blockedSinceMs.get(connection) ?? clock.nowMs());
    log.warn('A caller that reads too slowly was disconnected.', {
      request: connection.requestId,
      cause,
      bufferedBytes: connection.bufferedBytes(),
      totalBytes: bufferedBytes(),
      blockedMs: Math.round(blockedMs),
    });
    metrics.count('slow_callers_closed', `cause="${cause}"`);
    blockedSinceMs.delete(connection);
    connection.close();
  }

  /** Streams first: other answers are complete and only have to be sent. */
  function findSlowest(): CallerConnection | undefined {
    const blocked = [...blockedSinceMs.keys()];
    return blocked.find(each => each.isStream()) ?? blocked.at(0);
  }

  /** The connections are closed until the rest is within the bound. */
  function enforceTotal(): void {
    while (bufferedBytes() > maxBytes) {
      const slowest = findSlowest();
      if (!slowest) return;
      close(slowest, 'all-connections');
    }
  }

  return {
    noteBlocked(connection) {
      if (!blockedSinceMs.has(connection)) {
        blockedSinceMs.set(connection, clock.nowMs());
      }
      if (connection.bufferedBytes() > MAX_CONNECTION_BYTES) {
        close(connection, 'one-connection');
      }
      enforceTotal();
    },
    noteFree: connection => void blockedSinceMs.delete(connection),
    bufferedBytes,
  };
}
