/**
 * Finds engine sessions without an owner and frees them: sessions of entries
 * that died, and sessions whose release was lost.
 */

import type {Clock, TimerHandle} from '../ports/clock.js';
import type {
  EnginePortFactory,
  EngineSession,
  OwnerTag,
} from '../ports/engine.js';
import type {Logger} from '../ports/log.js';

export interface SweepHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly enginePort: EnginePortFactory;
  /** Addresses of the engines that this process sweeps. */
  addresses(): readonly string[];
  /**
   * State of the request that owns a session. `gone`: its entry is alive and
   * doesn't run the request. `dead`: its entry is dead. `unknown`: neither can
   * be determined now, and the session is kept.
   */
  ownerState(owner: OwnerTag): 'running' | 'gone' | 'dead' | 'unknown';
  onOrphanReleased?(owner: OwnerTag): void;
}

export interface SweepOptions {
  readonly intervalMs: number;
  /** A session is freed when its owner has been `gone` for this long. */
  readonly graceMs: number;
  readonly timeoutMs: number;
}

export const defaultSweepOptions: SweepOptions = {
  intervalMs: 1_000,
  graceMs: 1_500,
  timeoutMs: 500,
};

export interface Sweep {
  /** Runs a round at once, for example when an entry was found dead. */
  runNow(): void;
  stop(): void;
}

export function createSweep(
  host: SweepHost,
  options: SweepOptions = defaultSweepOptions,
): Sweep {
  const {clock} = host;
  /** Times at which sessions were first found without an owner. */
  const orphanSinceMs = new Map<string, number>();
  let isStopped = false;
  let isInRound = false;
  let timer: TimerHandle | undefined;

  async function sweepEngine(address: string): Promise<readonly string[]> {
    const engine = host.enginePort(address);
    const sessions = await engine.sessions(options.timeoutMs);
    if ('kind' in sessions) return [];
    const orphans = (sessions as readonly EngineSession[])
      .map(({owner}) => ({owner, state: host.ownerState(owner)}))
      .filter(({state}) => state === 'gone' || state === 'dead');
    await Promise.all(
      orphans.map(({owner, state}) =>
        releaseOrphan(address, owner, state === 'dead'),
      ),
    );
    return orphans.map(({owner}) => orphanKey(address, owner));
  }

  function orphanKey(address: string, owner: OwnerTag): string {
    return `${address} ${owner.entry} ${owner.attemptId}`;
  }

  /**
   * Frees a session after a grace period, since the engine may have created it
   * before its owner got the answer. For a dead entry there is no grace
   * period: failure detection has already waited, and a second wait would
   * hold the memory of its requests for over 6 s.
   */
  async function releaseOrphan(
    address: string,
    owner: OwnerTag,
    isEntryDead: boolean,
  ): Promise<void> {
    const key = orphanKey(address, owner);
    const sinceMs = orphanSinceMs.get(key) ?? clock.nowMs();
    orphanSinceMs.set(key, sinceMs);
    const isInGrace = clock.nowMs() - sinceMs < options.graceMs;
    if (isInGrace && !isEntryDead) return;
    const outcome = await host
      .enginePort(address)
      .cancel(owner, options.timeoutMs);
    if (outcome !== 'released') return;
    host.onOrphanReleased?.(owner);
    host.log.info('Freed an engine session without an owner.', {
      requestId: owner.requestId,
    });
  }

  async function runRound(): Promise<void> {
    if (isInRound) return;
    isInRound = true;
    if (timer) clock.clearTimer(timer);
    const found = await Promise.all(
      host.addresses().map(address => sweepEngine(address).catch(() => [])),
    );
    const orphans = new Set(found.flat());
    for (const key of orphanSinceMs.keys()) {
      if (!orphans.has(key)) orphanSinceMs.delete(key);
    }
    isInRound = false;
    schedule();
  }

  function schedule(): void {
    if (isStopped) return;
    timer = clock.setTimer(options.intervalMs, () => void runRound());
  }

  schedule();
  return {
    runNow() {
      if (!isStopped) void runRound();
    },
    stop() {
      isStopped = true;
      if (timer) clock.clearTimer(timer);
    },
  };
}
