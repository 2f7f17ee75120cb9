/**
 * Compares what engines hold with what the owners know, and frees what nobody
 * owns: sessions of entries that died, and sessions that a lost release left.
 */

import type {Clock} from '../ports/clock.js';
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
  /** `unknown` while it cannot be told; such sessions are left alone. */
  ownerState(owner: OwnerTag): 'running' | 'gone' | 'unknown';
  onReaped?(owner: OwnerTag): void;
}

export interface SweepOptions {
  readonly intervalMs: number;
  /** A session is freed when its owner was gone for this long. */
  readonly graceMs: number;
  readonly timeoutMs: number;
}

export const defaultSweepOptions: SweepOptions = {
  intervalMs: 1_000,
  graceMs: 1_500,
  timeoutMs: 500,
};

export interface Sweep {
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

  async function sweepEngine(address: string): Promise<readonly string[]> {
    const engine = host.enginePort(address);
    const sessions = await engine.sessions(options.timeoutMs);
    if ('kind' in sessions) return [];
    const orphans = (sessions as readonly EngineSession[]).filter(
      session => host.ownerState(session.owner) === 'gone',
    );
    for (const {owner} of orphans) await reap(address, owner);
    return orphans.map(({owner}) => orphanName(address, owner));
  }

  function orphanName(address: string, owner: OwnerTag): string {
    return `${address} ${owner.entry} ${owner.attemptId}`;
  }

  /**
   * Waits a grace first: a session may be seen in the moment between the
   * engine's making it and its owner's hearing of it.
   */
  async function reap(address: string, owner: OwnerTag): Promise<void> {
    const name = orphanName(address, owner);
    const sinceMs = orphanSinceMs.get(name) ?? clock.nowMs();
    orphanSinceMs.set(name, sinceMs);
    if (clock.nowMs() - sinceMs < options.graceMs) return;
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
    const seen = await Promise.all(
      host.addresses().map(address => sweepEngine(address).catch(() => [])),
    );
    const orphans = new Set(seen.flat());
    for (const name of orphanSinceMs.keys()) {
      if (!orphans.has(name)) orphanSinceMs.delete(name);
    }
    schedule();
  }

  function schedule(): void {
    if (isStopped) return;
    clock.setTimer(options.intervalMs, () => void round());
  }

  schedule();
  return {
    stop() {
      isStopped = true;
    },
  };
}
