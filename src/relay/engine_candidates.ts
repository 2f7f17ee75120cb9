/** Which engines of a role take new work now, as far as this host can tell. */

import {
  createEngineHealth,
  DEFAULT_HEALTH,
} from '../core/scheduling/engine_health.js';
import type {Clock} from '../ports/clock.js';
import type {
  Upstream,
  UpstreamRegistry,
  UpstreamRole,
} from './upstream_registry.js';

export interface EngineCandidatesHost {
  readonly clock: Clock;
  readonly registry: UpstreamRegistry;
  /** A peer's requests failed there. */
  isSuspect(engineId: string): boolean;
  /** It was told to change its role. */
  isChanging(engineId: string): boolean;
}

export interface EngineCandidates {
  /** Those that failed are named only if there are no others. */
  ofRole(service: string, role: UpstreamRole): readonly Upstream[];
  /** Decode engines that did not refuse a request a moment ago. */
  decodeWithRoom(service: string): readonly Upstream[];
  /** As above, with those that failed a request lately. */
  decodeInNeed(service: string): readonly Upstream[];
  /** All that read prompts, with those that failed a request lately. */
  prefillInNeed(service: string): readonly Upstream[];
  noteFailure(engineId: string): void;
  noteSuccess(engineId: string): void;
  noteFull(engineId: string): void;
  /** Engines that failed this host and are left out for a while. */
  suspects(): readonly string[];
}

/** After a refusal for lack of room the books are wrong for about this long. */
const FULL_FOR_MS = 250;

export function createEngineCandidates(
  host: EngineCandidatesHost,
): EngineCandidates {
  const {clock, registry} = host;
  const health = createEngineHealth(DEFAULT_HEALTH);
  /** The role in which an engine is compared with others. */
  const known = new Map<string, UpstreamRole>();
  const fullUntil = new Map<string, number>();

  function learn(engines: readonly Upstream[]): void {
    for (const {id, role} of engines) {
      if (!role || known.get(id) === role) continue;
      known.set(id, role);
      health.remove(id);
      health.add(id, role, clock.nowMs(), true);
    }
    for (const id of known.keys()) {
      if (registry.get(id)) continue;
      known.delete(id);
      fullUntil.delete(id);
      health.remove(id);
    }
  }

  function listed(service: string, role: UpstreamRole): readonly Upstream[] {
    const all = registry
      .open(service)
      .filter(each => each.role === role && !host.isChanging(each.id));
    learn(all);
    return all;
  }

  function withoutFull(engines: readonly Upstream[]): readonly Upstream[] {
    const nowMs = clock.nowMs();
    return engines.filter(({id}) => (fullUntil.get(id) ?? 0) <= nowMs);
  }

  function ofRole(service: string, role: UpstreamRole): readonly Upstream[] {
    const nowMs = clock.nowMs();
    const all = listed(service, role);
    const sound = all.filter(
      ({id}) => health.isUsable(id, nowMs) && !host.isSuspect(id),
    );
    return sound.length > 0 ? sound : all;
  }

  return {
    ofRole,
    decodeWithRoom: service => withoutFull(ofRole(service, 'decode')),
    decodeInNeed: service => withoutFull(listed(service, 'decode')),
    prefillInNeed: service => listed(service, 'prefill'),
    noteFailure: id => health.failure(id, clock.nowMs()),
    noteSuccess: id => health.success(id, clock.nowMs()),
    noteFull: id => void fullUntil.set(id, clock.nowMs() + FULL_FOR_MS),
    suspects() {
      const nowMs = clock.nowMs();
      return [...known.keys()].filter(id => !health.isUsable(id, nowMs));
    },
  };
}
