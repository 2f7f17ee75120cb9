/** A small shard home for the fault harness: exact books, first come. */

import type {Clock} from '../../src/ports/clock.js';
import type {EnginePortFactory} from '../../src/ports/engine.js';
import type {
  Grant,
  GrantPort,
  GrantProgress,
  GrantRefusal,
  GrantRequest,
} from '../../src/ports/grants.js';

export interface HomeEngine {
  readonly engineId: string;
  readonly address: string;
}

export interface SmallHomeHost {
  readonly clock: Clock;
  readonly enginePort: EnginePortFactory;
  readonly prefill: readonly HomeEngine[];
  readonly decode: readonly HomeEngine[];
}

export interface SmallHome extends GrantPort {
  markLeaving(engineId: string): void;
  entryGone(entry: string): void;
  /** Loses all that it knows, as a new home after a death. */
  moveHome(): void;
  openGrants(): number;
  /** Grants that lapsed because nobody reported their end. */
  lapsedGrants(): number;
}

interface Waiting {
  readonly request: GrantRequest;
  readonly untilMs: number;
  resolve(outcome: Grant | GrantRefusal): void;
}

interface Open {
  readonly grant: Grant;
  readonly entry: string;
  lapsesAtMs: number;
}

const SLOTS = 4;
const LIFE_MS = 5_000;
const PUMP_MS = 50;
const PROBE_MS = 1_000;
const PROBE_TIMEOUT_MS = 200;

export function createSmallHome(host: SmallHomeHost): SmallHome {
  const {clock} = host;
  const down = new Set<string>();
  const leaving = new Set<string>();
  const open = new Map<string, Open>();
  let queue: readonly Waiting[] = [];
  let nextGrant = 1;
  let homeEpoch = 1;
  let turn = 0;
  let lapsed = 0;

  function refusal(reason: GrantRefusal['reason']): GrantRefusal {
    return {kind: 'refused', reason, retryAfterMs: 50};
  }

  function loadOf(engineId: string): number {
    return [...open.values()].filter(
      ({grant}) =>
        grant.decodeEngineId === engineId || grant.prefillEngineId === engineId,
    ).length;
  }

  function choose(engines: readonly HomeEngine[]): HomeEngine | undefined {
    const usable = engines.filter(
      ({engineId}) =>
        !down.has(engineId) &&
        !leaving.has(engineId) &&
        loadOf(engineId) < SLOTS,
    );
    return usable[turn++ % Math.max(1, usable.length)];
  }

  function tryGrant(request: GrantRequest): Grant | undefined {
    const prefill = choose(host.prefill);
    const decode = choose(host.decode);
    if (!prefill || !decode) return undefined;
    const grant: Grant = {
      kind: 'granted',
      grantId: `g${nextGrant++}`,
      homeEpoch,
      prefillEngineId: prefill.engineId,
      prefillAddress: prefill.address,
      decodeEngineId: decode.engineId,
      decodeAddress: decode.address,
      lifeMs: LIFE_MS,
      startInMs: turn % 3 === 0 ? 15 : 0,
    };
    open.set(grant.grantId, {
      grant,
      entry: request.owner.entry,
      lapsesAtMs: clock.nowMs() + LIFE_MS,
    });
    return grant;
  }

  function pump(): void {
    for (const [id, held] of open) {
      if (held.lapsesAtMs >= clock.nowMs()) continue;
      open.delete(id);
      lapsed++;
    }
    const waiting = queue;
    queue = [];
    for (const place of waiting) {
      const grant = tryGrant(place.request);
      if (grant) place.resolve(grant);
      else if (place.untilMs <= clock.nowMs()) {
        place.resolve(refusal('not-feasible'));
      } else queue = [...queue, place];
    }
    if (queue.length > 0 || open.size > 0) schedulePump();
    else isPumping = false;
  }

  let isPumping = false;
  function schedulePump(): void {
    isPumping = true;
    clock.setTimer(PUMP_MS, pump);
  }

  async function watchDown(engine: HomeEngine): Promise<void> {
    const result = await host
      .enginePort(engine.address)
      .probe(PROBE_TIMEOUT_MS);
    if (result === 'alive') down.delete(engine.engineId);
    else clock.setTimer(PROBE_MS, () => void watchDown(engine));
  }

  function markDown(engineId: string): void {
    const engine = [...host.prefill, ...host.decode].find(
      known => known.engineId === engineId,
    );
    if (!engine || down.has(engineId)) return;
    down.add(engineId);
    clock.setTimer(PROBE_MS, () => void watchDown(engine));
  }

  function report(grant: Grant, progress: GrantProgress): void {
    const held = open.get(grant.grantId);
    if (held) held.lapsesAtMs = clock.nowMs() + LIFE_MS;
    if (progress.kind !== 'ended') return;
    open.delete(grant.grantId);
    if (progress.failedEngineId !== undefined) {
      markDown(progress.failedEngineId);
    }
  }

  return {
    request: (request, signal) =>
      new Promise(resolve => {
        const place: Waiting = {
          request,
          untilMs: clock.nowMs() + Math.max(0, request.waitLeftMs - 100),
          resolve,
        };
        signal.addEventListener('abort', () => {
          if (!queue.includes(place)) return;
          queue = queue.filter(other => other !== place);
          resolve(refusal('cancelled'));
        });
        // A round trip to the home.
        clock.setTimer(2, () => {
          const grant = tryGrant(request);
          if (grant) resolve(grant);
          else queue = [...queue, place];
          if (!isPumping) schedulePump();
        });
      }),
    report,
    markLeaving: engineId => void leaving.add(engineId),
    entryGone(entry) {
      queue = queue.filter(place => place.request.owner.entry !== entry);
      for (const [id, held] of open) if (held.entry === entry) open.delete(id);
    },
    moveHome() {
      homeEpoch++;
      open.clear();
      for (const place of queue) place.resolve(refusal('home-moved'));
      queue = [];
    },
    openGrants: () => open.size,
    lapsedGrants: () => lapsed,
  };
}
