/**
 * Registers this host in the store's registry of hosts, and reads the registry.
 *
 * The registry helps hosts whose settings name no live host, and hosts
 * separated by a network partition. In a large deployment, only the
 * coordinators register.
 */

import type {Clock, TimerHandle} from '../../ports/clock.js';
import type {Random} from '../../ports/random.js';
import type {HostRecord, HostRegistry, StoreRead} from '../../ports/relay.js';
import type {RelayMetrics} from '../relay_metrics.js';

export interface HostRegistrationHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: RelayMetrics;
  readonly hostRegistry: HostRegistry;
  /** Whether other hosts need to find this host in the registry. */
  isRegistrationNeeded(): boolean;
  /** Whether this host knows no other host. */
  isAlone(): boolean;
  onHosts(records: readonly HostRecord[]): void;
  /** The registry was read, or the read failed. */
  onRead(read: StoreRead<unknown>): void;
}

export interface HostRegistration {
  start(): void;
  /**
   * The store's era changed: this host's row may be lost, or may have returned.
   */
  onNewEra(): void;
  /**
   * Removes this host's row, now and whenever a restored store has it again.
   */
  unregister(): void;
  stop(): void;
}

const REGISTER_TIMEOUT_MS = 800;
const READ_TIMEOUT_MS = 600;
/** A host with a correct seed address has found other hosts by then. */
const REGISTRATION_DELAY_MS = 1_000;
const REFRESH_INTERVAL_MS = 10_000;
const REFRESH_RETRY_MS = 1_000;

export function createHostRegistration(
  host: HostRegistrationHost,
  self: HostRecord,
): HostRegistration {
  const {clock, random, metrics, hostRegistry} = host;
  let isStopped = false;
  let isLeaving = false;
  /** As of the last read or write of the registry. */
  let isRegistered = false;
  /** Whether a row of this host may exist because a write has succeeded. */
  let hasRegistered = false;
  /** Set while the next refresh is scheduled; undefined during a refresh. */
  let timer: TimerHandle | undefined;

  const isSelf = ({hostId, peerAddress}: HostRecord) =>
    hostId === self.hostId && peerAddress === self.peerAddress;

  function refreshAfter(delayMs: number): void {
    if (isStopped) return;
    timer = clock.setTimer(delayMs, () => {
      timer = undefined;
      void refresh();
    });
  }

  async function refresh(): Promise<void> {
    const isSought = host.isRegistrationNeeded();
    if (!isSought && !host.isAlone()) return refreshAfter(REFRESH_INTERVAL_MS);
    if (isSought && !isRegistered && !isLeaving) await register();
    const read = await hostRegistry.readAll(READ_TIMEOUT_MS);
    host.onRead(read);
    if (read.kind === 'read') {
      host.onHosts(read.value);
      isRegistered = read.value.some(isSelf);
    }
    const isUpToDate = (isRegistered || !isSought) && read.kind === 'read';
    const isSettled = isUpToDate && !host.isAlone();
    refreshAfter(isSettled ? REFRESH_INTERVAL_MS : REFRESH_RETRY_MS);
  }

  async function register(): Promise<void> {
    isRegistered = await hostRegistry.register(self, REGISTER_TIMEOUT_MS);
    hasRegistered ||= isRegistered;
    metrics.count('store_calls', `call="register",outcome="${isRegistered}"`);
  }

  function removeSelf(): void {
    if (!hasRegistered) return;
    void hostRegistry.remove(self.hostId, REGISTER_TIMEOUT_MS);
  }

  return {
    start: () => refreshAfter(REGISTRATION_DELAY_MS),
    onNewEra() {
      if (isLeaving) return removeSelf();
      if (!timer || !isRegistered) return;
      clock.clearTimer(timer);
      refreshAfter(REFRESH_RETRY_MS * random.nextFloat());
    },
    unregister() {
      isLeaving = true;
      removeSelf();
    },
    stop() {
      isStopped = true;
      if (timer) clock.clearTimer(timer);
    },
  };
}
