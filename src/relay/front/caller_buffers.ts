/**
 * Bounds the data that this host holds for callers that read slowly or not at
 * all. Upstreams are paused for such callers, so each holds little, but many
 * together exceed the memory of a small host.
 */

import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import {heldKinds, type HeldKind} from '../limits/held_kinds.js';
import type {Holding, MemoryBudget} from '../limits/memory_budget.js';
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
   * The connection did not take all that was written. May close it, or another
   * one.
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
  /** Bounds what is held for all callers. */
  readonly memory: Pick<MemoryBudget, 'open'>;
}

/**
 * Twice the largest answer that is collected before it is written (256 KiB): a
 * connection whose upstream is paused holds no more than one of these and a
 * chunk.
 */
const MAX_CONNECTION_BYTES = 512 * 1024;

type CloseCause = 'one-connection' | 'all-connections';

/** A connection that has not taken all that was written. */
interface Blocked {
  readonly sinceMs: number;
  readonly holding: Holding;
}

/** Other answers are complete and only have to be sent, so streams end first. */
const toKind = (connection: CallerConnection): HeldKind =>
  connection.isStream() ? 'caller-buffer' : 'answer';

export function createCallerBuffers(host: CallerBuffersHost): CallerBuffers {
  const {clock, log, metrics, memory} = host;
  const blocked = new Map<CallerConnection, Blocked>();

  const bufferedBytes = () =>
    [...blocked.keys()].reduce((sum, connection) => {
      const {overheadBytes} = heldKinds['caller-buffer'];
      const pausedBytes = connection.isStream() ? overheadBytes : 0;
      return sum + connection.bufferedBytes() + pausedBytes;
    }, 0);

  function free(connection: CallerConnection): void {
    blocked.get(connection)?.holding.close();
    blocked.delete(connection);
  }

  function close(connection: CallerConnection, cause: CloseCause): void {
    const sinceMs = blocked.get(connection)?.sinceMs ?? clock.nowMs();
    log.warn('A caller that reads too slowly was disconnected.', {
      request: connection.requestId,
      cause,
      bufferedBytes: connection.bufferedBytes(),
      totalBytes: bufferedBytes(),
      blockedMs: Math.round(clock.nowMs() - sinceMs),
    });
    metrics.count('slow_callers_closed', `cause="${cause}"`);
    free(connection);
    connection.close();
  }

  function block(connection: CallerConnection): Blocked {
    const holding = memory.open({
      kind: toKind(connection),
      requestId: connection.requestId,
      end: () => close(connection, 'all-connections'),
    });
    const entry = {sinceMs: clock.nowMs(), holding};
    blocked.set(connection, entry);
    return entry;
  }

  return {
    noteBlocked(connection) {
      const {holding} = blocked.get(connection) ?? block(connection);
      if (connection.bufferedBytes() > MAX_CONNECTION_BYTES) {
        close(connection, 'one-connection');
      } else {
        holding.resize(connection.bufferedBytes());
      }
    },
    noteFree: free,
    bufferedBytes,
  };
}
