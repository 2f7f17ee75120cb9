/**
 * A small shard home for the fault harness. It tracks every grant exactly and
 * serves requests in order of arrival.
 */

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
  releaseEntry(entry: string): void;
  /** Discards all state, as when a new home replaces one that died. */
  restartHome(): void;
  openGrantCount(): number;
  /** Number of grants that expired without a report of their end. */
  expiredGrantCount(): number;
}

interface QueuedRequest {
  readonly request: GrantRequest;
  readonly deadlineMs: number;
  resolve(outcome: Grant | GrantRefusal): void;
}

interface OpenGrant {
  readonly grant: Grant;
  readonly entry: string;
  expiresAtMs: number;
}

const SLOTS_PER_ENGINE = 4;
const GRANT_LIFETIME_MS = 5_000;
const QUEUE_INTERVAL_MS = 50;
const PROBE_INTERVAL_MS = 1_000;
const PROBE_TIMEOUT_MS = 200;

export function createSmallHome(host: SmallHomeHost): SmallHome {
  const {clock} = host;
  const downIds = new Set<string>();
  const leaving = new Set<string>();
  const openGrants = new Map<string, OpenGrant>();
  let queue: readonly QueuedRequest[] = [];
  let nextGrantNumber = 1;
  let homeEpoch = 1;
  let nextEngineIndex = 0;
  let expiredCount = 0;

  function createRefusal(reason: GrantRefusal['reason']): GrantRefusal {
    return {kind: 'refused', reason, retryAfterMs: 50};
  }

  function countOpenGrants(engineId: string): number {
    return [...openGrants.values()].filter(
      ({grant}) =>
        grant.decodeEngineId === engineId || grant.prefillEngineId === engineId,
    ).length;
  }

  function chooseEngine(
    engines: readonly HomeEngine[],
  ): HomeEngine | undefined {
    const usable = engines.filter(
      ({engineId}) =>
        !downIds.has(engineId) &&
        !leaving.has(engineId) &&
        countOpenGrants(engineId) < SLOTS_PER_ENGINE,
    );
    return usable[nextEngineIndex++ % Math.max(1, usable.length)];
  }

  function tryGrant(request: GrantRequest): Grant | undefined {
    const prefill = chooseEngine(host.prefill);
    const decode = chooseEngine(host.decode);
    if (!prefill || !decode) return undefined;
    const grant: Grant = {
      kind: 'granted',
      grantId: `g${nextGrantNumber++}`,
      homeEpoch,
      prefillEngineId: prefill.engineId,
      prefillAddress: prefill.address,
      decodeEngineId: decode.engineId,
      decodeAddress: decode.address,
      lifeMs: GRANT_LIFETIME_MS,
      startInMs: nextEngineIndex % 3 === 0 ? 15 : 0,
    };
    openGrants.set(grant.grantId, {
      grant,
      entry: request.owner.entry,
      expiresAtMs: clock.nowMs() + GRANT_LIFETIME_MS,
    });
    return grant;
  }

  function processQueue(): void {
    for (const [id, openGrant] of openGrants) {
      if (openGrant.expiresAtMs >= clock.nowMs()) continue;
      openGrants.delete(id);
      expiredCount++;
    }
    const requests = queue;
    queue = [];
    for (const queued of requests) {
      const grant = tryGrant(queued.request);
      if (grant) queued.resolve(grant);
      else if (queued.deadlineMs <= clock.nowMs()) {
        queued.resolve(createRefusal('not-feasible'));
      } else queue = [...queue, queued];
    }
    if (queue.length > 0 || openGrants.size > 0) scheduleProcessing();
    else isProcessingScheduled = false;
  }

  let isProcessingScheduled = false;
  function scheduleProcessing(): void {
    isProcessingScheduled = true;
    clock.setTimer(QUEUE_INTERVAL_MS, processQueue);
  }

  async function probeUntilAlive(engine: HomeEngine): Promise<void> {
    const result = await host
      .enginePort(engine.address)
      .probe(PROBE_TIMEOUT_MS);
    if (result === 'alive') downIds.delete(engine.engineId);
    else clock.setTimer(PROBE_INTERVAL_MS, () => void probeUntilAlive(engine));
  }

  function markDown(engineId: string): void {
    const engine = [...host.prefill, ...host.decode].find(
      each => each.engineId === engineId,
    );
    if (!engine || downIds.has(engineId)) return;
    downIds.add(engineId);
    clock.setTimer(PROBE_INTERVAL_MS, () => void probeUntilAlive(engine));
  }

  function report(grant: Grant, progress: GrantProgress): void {
    const openGrant = openGrants.get(grant.grantId);
    if (openGrant) openGrant.expiresAtMs = clock.nowMs() + GRANT_LIFETIME_MS;
    if (progress.kind !== 'ended') return;
    openGrants.delete(grant.grantId);
    if (progress.failedEngineId !== undefined) {
      markDown(progress.failedEngineId);
    }
  }

  return {
    request: (request, signal) =>
      new Promise(resolve => {
        const queued: QueuedRequest = {
          request,
          deadlineMs: clock.nowMs() + Math.max(0, request.waitLeftMs - 100),
          resolve,
        };
        signal.addEventListener('abort', () => {
          if (!queue.includes(queued)) return;
          queue = queue.filter(other => other !== queued);
          resolve(createRefusal('cancelled'));
        });
        // Simulates a round trip to the home.
        clock.setTimer(2, () => {
          const grant = tryGrant(request);
          if (grant) resolve(grant);
          else queue = [...queue, queued];
          if (!isProcessingScheduled) scheduleProcessing();
        });
      }),
    report,
    markLeaving: engineId => void leaving.add(engineId),
    releaseEntry(entry) {
      queue = queue.filter(queued => queued.request.owner.entry !== entry);
      for (const [id, openGrant] of openGrants)
        if (openGrant.entry === entry) openGrants.delete(id);
    },
    restartHome() {
      homeEpoch++;
      openGrants.clear();
      for (const queued of queue) queued.resolve(createRefusal('home-moved'));
      queue = [];
    },
    openGrantCount: () => openGrants.size,
    expiredGrantCount: () => expiredCount,
  };
}
