/**
 * Keeps this host in the store's registry of hosts, and reads it.
 *
 * The registry is for hosts whose settings name no live one, and for hosts that
 * a cut parted. Of many only those are in it that all others know of.
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
  /** Whether others have to find this host by the registry. */
  isSought(): boolean;
  /** Whether this host knows no other. */
  isAlone(): boolean;
  onHosts(records: readonly HostRecord[]): void;
  /** The registry was read, or could not be. */
  onRead(read: StoreRead<unknown>): void;
}

export interface HostRegistration {
  start(): void;
  /** What this host wrote to the store may be lost, or be back. */
  noteEra(): void;
  /** Takes this host out, now and whenever the store has it again. */
  leave(): void;
  stop(): void;
}

const REGISTER_TIMEOUT_MS = 800;
const READ_TIMEOUT_MS = 600;
/** By then a host that has a right address in its settings knows others. */
const REGISTER_AFTER_MS = 1_000;
const HOSTS_EVERY_MS = 10_000;
const HOSTS_RETRY_MS = 1_000;

export function createHostRegistration(
  host: HostRegistrationHost,
  self: HostRecord,
): HostRegistration {
  const {clock, random, metrics, hostRegistry} = host;
  let isStopped = false;
  let isLeaving = false;
  /** As of the last read of the registry, or the last write. */
  let isRegistered = false;
  /** Ever, so that a row of this host may be there. */
  let hasRegistered = false;
  /** Set while the next look waits; a running one has none. */
  let timer: TimerHandle | undefined;

  const isSelf = ({hostId, peerAddress}: HostRecord) =>
    hostId === self.hostId && peerAddress === self.peerAddress;

  function lookAfter(delayMs: number): void {
    if (isStopped) return;
    timer = clock.setTimer(delayMs, () => {
      timer = undefined;
      void look();
    });
  }

  async function look(): Promise<void> {
    const isSought = host.isSought();
    if (!isSought && !host.isAlone()) return lookAfter(HOSTS_EVERY_MS);
    if (isSought && !isRegistered && !isLeaving) await register();
    const read = await hostRegistry.readAll(READ_TIMEOUT_MS);
    host.onRead(read);
    if (read.kind === 'read') {
      host.onHosts(read.value);
      isRegistered = read.value.some(isSelf);
    }
    const isDone = (isRegistered || !isSought) && read.kind === 'read';
    const isFound = isDone && !host.isAlone();
    lookAfter(isFound ? HOSTS_EVERY_MS : HOSTS_RETRY_MS);
  }

  async function register(): Promise<void> {
    isRegistered = await hostRegistry.register(self, REGISTER_TIMEOUT_MS);
    hasRegistered ||= isRegistered;
    metrics.count('store_calls', `call="register",outcome="${isRegistered}"`);
  }

  function takeOut(): void {
    if (!hasRegistered) return;
    void hostRegistry.remove(self.hostId, REGISTER_TIMEOUT_MS);
  }

  return {
    start: () => lookAfter(REGISTER_AFTER_MS),
    noteEra() {
      if (isLeaving) return takeOut();
      if (!timer || !isRegistered) return;
      clock.clearTimer(timer);
      lookAfter(HOSTS_RETRY_MS * random.nextFloat());
    },
    leave() {
      isLeaving = true;
      takeOut();
    },
    stop() {
      isStopped = true;
      if (timer) clock.clearTimer(timer);
    },
  };
}
