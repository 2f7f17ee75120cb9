/**
 * Compares what engines hold with what the owners know, and frees what nobody
 * owns: sessions of entries that died, and sessions that a lost release left.
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
   * `gone`: the entry lives and does not know the request. `dead`: the entry
   * itself is gone. `unknown` while it cannot be told; such sessions are left
   * alone.
   */
  ownerState(owner: OwnerTag): 'running' | 'gone' | 'dead' | 'unknown';
  onReaped?(owner: OwnerTag): void;
}

export interface SweepOptions {
  readonly intervalMs: number;
  /** A session is freed when its living entry did not know it for this long. */
  readonly graceMs: number;
  readonly timeoutMs: number;
}

export const defaultSweepOptions: SweepOptions = {
  intervalMs: 1_000,
  graceMs: 1_500,
  timeoutMs: 500,
};

export interface Sweep {
  /** Looks now: an entry was found dead. */
  nudge(): void;
  stop(): void;
}

export function createSweep(
  host: SweepHost,
  options: SweepOptions = defaultSweepOptions,
): Sweep {
  const {clock} = host;
  /** When a session was first seen without an owner. */
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
      orphans.map(({owner, state}) => reap(address, owner, state === 'dead')),
    );
    return orphans.map(({owner}) => orphanName(address, owner));
  }

  function orphanName(address: string, owner: OwnerTag): string {
    return `${address} ${owner.entry} ${owner.attemptId}`;
  }

  /**
   * Waits a grace first: a session may be seen in the moment between the
   * engine's making it and its owner's hearing of it. A dead entry hears of
   * nothing, and its suspicion was grace enough: waiting once more kept the
   * memory of its requests held for over six seconds.
   */
  async function reap(
    address: string,
    owner: OwnerTag,
    isEntryDead: boolean,
  ): Promise<void> {
    const name = orphanName(address, owner);
    const sinceMs = orphanSinceMs.get(name) ?? clock.nowMs();
    orphanSinceMs.set(name, sinceMs);
    const isInGrace = clock.nowMs() - sinceMs < options.graceMs;
    if (isInGrace && !isEntryDead) return;
    const outcome = await host
      .enginePort(address)
      .cancel(owner, options.timeoutMs);
    if (outcome !== 'released') return;
    host.onReaped?.(owner);
    host.log.info('Freed a session whose owner is gone.', {
      requestId: owner.requestId,
    });
  }

  async function round(): Promise<void> {
    if (isInRound) return;
    isInRound = true;
    if (timer) clock.clearTimer(timer);
    const seen = await Promise.all(
      host.addresses().map(address => sweepEngine(address).catch(() => [])),
    );
    const orphans = new Set(seen.flat());
    for (const name of orphanSinceMs.keys()) {
      if (!orphans.has(name)) orphanSinceMs.delete(name);
    }
    isInRound = false;
    schedule();
  }

  function schedule(): void {
    if (isStopped) return;
    timer = clock.setTimer(options.intervalMs, () => void round());
  }

  schedule();
  return {
    nudge() {
      if (!isStopped) void round();
    },
    stop() {
      isStopped = true;
      if (timer) clock.clearTimer(timer);
    },
  };
}
