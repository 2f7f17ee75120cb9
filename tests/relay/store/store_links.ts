/** Calls of simulated hosts to a store, over connections that may fail. */

import type {VirtualClock} from '../../../src/core/virtual_clock.js';
import type {StoreConnection, StoreRead} from '../../../src/ports/relay.js';
import type {StoreEra} from '../../../src/relay/store/store_era.js';

const ANSWER_MS = 4;
/** Idle connections in the pool of each host. */
const POOLED_CONNECTIONS = 4;

export interface StoreLinksHost {
  readonly clock: VirtualClock;
  readonly store: {
    readonly era: number;
    calls: number;
    readonly isDown: boolean;
    /** The store gets no call, and no call gets its answer. */
    readonly isSilent: boolean;
    /** How much later its answers arrive than they were made. */
    readonly lateMs: number;
  };
  /** Hosts that cannot reach the store. */
  readonly cut: ReadonlySet<string>;
  /** By host: the era tracker, updated by each answer. */
  readonly eras: ReadonlyMap<string, StoreEra>;
}

export function createStoreLinks({clock, store, cut, eras}: StoreLinksHost) {
  const calls = new Map<string, number>();
  /** By host: pooled connections on which nothing arrives any more. */
  const silentConnections = new Map<string, number>();
  /** Increased when the open connections of a host fall silent. */
  const silences = new Map<string, number>();

  /** Whether nothing arrives over the connection that a call would use. */
  function isSilentFor(hostId: string, connection: StoreConnection): boolean {
    if (store.isSilent) return true;
    const count = silentConnections.get(hostId) ?? 0;
    if (connection === 'new' || count === 0) return false;
    silentConnections.set(hostId, count - 1);
    return true;
  }

  return {
    /** Makes a call that the store answers once `wait` has called back. */
    call<T>(
      hostId: string,
      value: () => T,
      timeoutMs: number,
      connection: StoreConnection = 'pooled',
      wait: (answer: () => void) => void = answer => answer(),
    ): Promise<StoreRead<T>> {
      store.calls++;
      calls.set(hostId, (calls.get(hostId) ?? 0) + 1);
      const silence = silences.get(hostId);
      const isLost = () => store.isSilent || silences.get(hostId) !== silence;
      return new Promise(resolve => {
        clock.setTimer(timeoutMs, () =>
          resolve({kind: 'failed', detail: 'no answer in time'}),
        );
        if (isSilentFor(hostId, connection)) return;
        const makeAnswer = () => {
          if (isLost()) return;
          if (store.isDown || cut.has(hostId)) {
            resolve({kind: 'failed', detail: 'down'});
            return;
          }
          const made = value();
          const {era} = store;
          clock.setTimer(store.lateMs, () => {
            eras.get(hostId)?.note(era);
            resolve({kind: 'read', value: made});
          });
        };
        wait(() => clock.setTimer(ANSWER_MS, makeAnswer));
      });
    },
    callsOf: (hostIds: readonly string[]) =>
      hostIds.reduce((sum, hostId) => sum + (calls.get(hostId) ?? 0), 0),
    /** The open connections of these hosts to the store fall silent. */
    silenceConnections(hostIds: readonly string[]) {
      for (const hostId of hostIds) {
        silences.set(hostId, (silences.get(hostId) ?? 0) + 1);
        silentConnections.set(hostId, POOLED_CONNECTIONS);
      }
    },
  };
}
