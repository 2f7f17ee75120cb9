/**
 * Selects the engines of a role that can take new requests, as far as this host
 * can tell.
 */

import {
  createEngineHealth,
  DEFAULT_HEALTH,
} from '../../core/scheduling/engine_health.js';
import type {Clock} from '../../ports/clock.js';
import {createEngineBreaker, type EngineProblem} from './engine_breaker.js';
import type {Upstream, UpstreamRole} from '../../core/upstream.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';

export interface EngineCandidatesHost {
  readonly clock: Clock;
  readonly registry: UpstreamRegistry;
  /** Requests of a peer failed on the engine. */
  isSuspect(engineId: string): boolean;
  /** The engine refused requests of a peer a moment ago. */
  isFullAtPeer(engineId: string): boolean;
  /** The engine was ordered to change its role. */
  isChanging(engineId: string): boolean;
  /** The engine takes no requests from this host for now. */
  isPaused(engineId: string): boolean;
  /** Streams that are bound to no version may run at the engine. */
  mayBegin(engine: Upstream): boolean;
}

/** An engine whose actual role differs from the listed one. */
interface RoleMismatch {
  readonly listedRole?: UpstreamRole;
  readonly untilMs: number;
}

/** Consecutive refusals by one engine. */
interface Refusals {
  readonly count: number;
  /** The engine is excluded until then. */
  readonly untilMs: number;
}

export interface EngineCandidates {
  /**
   * Includes engines that failed or refused requests only if there are no
   * others. `version` restricts this and the following lists to engines of one
   * software version.
   */
  prefill(service: string, version?: string): readonly Upstream[];
  /**
   * Decode engines that have neither failed nor refused a request a moment ago.
   * Of one version, those that failed are included if there are no others.
   */
  decodeWithRoom(service: string, version?: string): readonly Upstream[];
  /**
   * Same as `decodeWithRoom`, but includes engines that failed a request
   * recently.
   */
  decodeIncludingFailed(service: string, version?: string): readonly Upstream[];
  /** Same as `prefill`, but includes engines that failed a request recently. */
  prefillIncludingFailed(
    service: string,
    version?: string,
  ): readonly Upstream[];
  recordFailure(engineId: string): void;
  recordSuccess(engineId: string): void;
  /**
   * The engine refused a request. It is excluded for `forMs` if it gave a time.
   */
  recordRefusal(engineId: string, forMs?: number): void;
  /** The engine accepted a request. */
  recordAcceptance(engineId: string): void;
  /** The engine refused a request because it has the other role. */
  recordRoleMismatch(engineId: string): void;
  /** A request was placed on the engine. */
  recordPlacement(engineId: string): void;
  /** Engines whose actual role differs from the listed one. */
  roleMismatches(): readonly string[];
  /** Engines that refused requests of this host a moment ago. */
  full(): readonly string[];
  /** Engines that failed requests of this host and are excluded for a while. */
  suspects(): readonly string[];
}

/**
 * Exclusion after the first refusal for lack of room. The tracked load of the
 * engine is wrong for about this long.
 */
const FIRST_REFUSAL_MS = 250;
/**
 * Each consecutive refusal doubles the exclusion up to this limit. An engine
 * that is changing its role refuses everything for seconds, while the list and
 * the tracked loads show it as empty, so each stream would be sent there first.
 */
const MAX_REFUSAL_MS = 2_000;
/**
 * The list of upstreams shows a changed role after the engine's next heartbeat,
 * but later in a store outage. Until then the engine refuses every request for
 * its listed role, and is excluded for at most this long.
 */
const ROLE_MISMATCH_MS = 8_000;

export function createEngineCandidates(
  host: EngineCandidatesHost,
): EngineCandidates {
  const {clock, registry} = host;
  const health = createEngineHealth(DEFAULT_HEALTH);
  /** The role in which each engine's health is compared with that of others. */
  const roles = new Map<string, UpstreamRole>();
  const refusals = new Map<string, Refusals>();
  const breaker = createEngineBreaker({clock});
  /** Engines whose actual role differs from the listed one. */
  const mismatches = new Map<string, RoleMismatch>();

  function trackRoles(engines: readonly Upstream[]): void {
    for (const {id, role} of engines) {
      if (!role || roles.get(id) === role) continue;
      roles.set(id, role);
      health.remove(id);
      health.add(id, role, clock.nowMs(), true);
    }
    for (const id of roles.keys()) {
      if (registry.get(id)) continue;
      roles.delete(id);
      refusals.delete(id);
      breaker.forget(id);
      health.remove(id);
    }
  }

  function listEngines(
    service: string,
    role: UpstreamRole,
    version?: string,
  ): readonly Upstream[] {
    const all = registry
      .open(service)
      .filter(each => each.role === role && !host.isChanging(each.id))
      .filter(each => !hasRoleMismatch(each.id));
    trackRoles(all);
    return all.filter(each =>
      version === undefined ? host.mayBegin(each) : each.version === version,
    );
  }

  function hasRoleMismatch(id: string): boolean {
    const mismatch = mismatches.get(id);
    if (!mismatch) return false;
    const isListUnchanged = registry.get(id)?.role === mismatch.listedRole;
    if (isListUnchanged && clock.nowMs() < mismatch.untilMs) return true;
    mismatches.delete(id);
    return false;
  }

  const hasRefused = (id: string) =>
    (refusals.get(id)?.untilMs ?? 0) > clock.nowMs();

  const isFull = (id: string) => hasRefused(id) || host.isPaused(id);

  function excludeFull(engines: readonly Upstream[]): readonly Upstream[] {
    if (engines.length === 0) return engines;
    const failing = findFailing(engines[0]);
    return engines.filter(
      ({id}) =>
        !isFull(id) &&
        !host.isFullAtPeer(id) &&
        !isRepeatedlyFailing(id, failing),
    );
  }

  const isFailing = (id: string) =>
    !health.isUsable(id, clock.nowMs()) || host.isSuspect(id);

  /**
   * The engines of a role that failed requests here or at a peer. If most seem
   * to fail, they more likely paused together, and none is left out for it.
   */
  function findFailing({
    service,
    role,
  }: Pick<Upstream, 'service' | 'role'>): ReadonlySet<string> {
    const all = registry.open(service).filter(each => each.role === role);
    const failing = all.map(({id}) => id).filter(isFailing);
    return new Set(failing.length * 2 > all.length ? [] : failing);
  }

  function problemOf(id: string, failing: ReadonlySet<string>): EngineProblem {
    if (failing.has(id)) return 'failing';
    return isFull(id) || host.isFullAtPeer(id) ? 'full' : 'none';
  }

  /**
   * Whether the engine failed again after being readmitted. Such engines are
   * not used even when all others are full.
   */
  const isRepeatedlyFailing = (id: string, failing: ReadonlySet<string>) =>
    !breaker.mayUse(id, problemOf(id, failing)) && breaker.isRepeating(id);

  /** A prompt may wait at a full engine if there is no other. */
  function preferNotFull(engines: readonly Upstream[]): readonly Upstream[] {
    const open = excludeFull(engines);
    return open.length > 0 ? open : engines;
  }

  function recordRefusal(id: string, forMs?: number): void {
    const before = refusals.get(id)?.count ?? 0;
    const nowMs = clock.nowMs();
    if (forMs !== undefined) {
      refusals.set(id, {count: before, untilMs: nowMs + forMs});
      return;
    }
    const count = before + 1;
    const durationMs = Math.min(
      FIRST_REFUSAL_MS * 2 ** (count - 1),
      MAX_REFUSAL_MS,
    );
    refusals.set(id, {count, untilMs: nowMs + durationMs});
  }

  /** Full engines count as usable here; callers that need room exclude them. */
  function isUsable(id: string, failing: ReadonlySet<string>): boolean {
    const problem = problemOf(id, failing);
    const mayUse = breaker.mayUse(id, problem);
    return problem === 'full' || mayUse;
  }

  function usableEngines(
    service: string,
    role: UpstreamRole,
    version?: string,
  ): readonly Upstream[] {
    const all = listEngines(service, role, version);
    const failing = findFailing({service, role});
    const usable = all.filter(({id}) => isUsable(id, failing));
    return usable.length > 0 ? usable : all;
  }

  function decodeWithRoom(
    service: string,
    version?: string,
  ): readonly Upstream[] {
    const open = excludeFull(usableEngines(service, 'decode', version));
    if (open.length > 0 || version === undefined) return open;
    // Nothing else can go on with the stream.
    return listEngines(service, 'decode', version).filter(
      ({id}) => !isFull(id) && !host.isFullAtPeer(id),
    );
  }

  return {
    prefill: (service, version) =>
      preferNotFull(usableEngines(service, 'prefill', version)),
    decodeWithRoom,
    decodeIncludingFailed: (service, version) =>
      excludeFull(listEngines(service, 'decode', version)),
    prefillIncludingFailed: (service, version) =>
      preferNotFull(listEngines(service, 'prefill', version)),
    recordFailure(id) {
      // A host for which a placer chooses the engines does not list them, so it
      // may not track their roles yet.
      const service = registry.get(id)?.service;
      if (service !== undefined) trackRoles(registry.open(service));
      health.failure(id, clock.nowMs());
    },
    recordSuccess: id => health.success(id, clock.nowMs()),
    recordRefusal,
    recordAcceptance: id => void refusals.delete(id),
    recordRoleMismatch(id) {
      const listedRole = registry.get(id)?.role;
      const untilMs = clock.nowMs() + ROLE_MISMATCH_MS;
      mismatches.set(id, {listedRole, untilMs});
    },
    recordPlacement: breaker.recordPlacement,
    roleMismatches: () => [...mismatches.keys()].filter(hasRoleMismatch),
    full: () => [...refusals.keys()].filter(hasRefused),
    suspects() {
      const nowMs = clock.nowMs();
      return [...roles.keys()].filter(id => !health.isUsable(id, nowMs));
    },
  };
}
