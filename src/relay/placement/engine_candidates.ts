/** Which engines of a role take new work now, as far as this host can tell. */

import {
  createEngineHealth,
  DEFAULT_HEALTH,
} from '../../core/scheduling/engine_health.js';
import type {Clock} from '../../ports/clock.js';
import {createEngineProbation, type EngineTrouble} from './engine_probation.js';
import type {Upstream, UpstreamRole} from '../../core/upstream.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';

export interface EngineCandidatesHost {
  readonly clock: Clock;
  readonly registry: UpstreamRegistry;
  /** A peer's requests failed there. */
  isSuspect(engineId: string): boolean;
  /** A peer's requests were refused there a moment ago. */
  isFullAtPeer(engineId: string): boolean;
  /** It was told to change its role. */
  isChanging(engineId: string): boolean;
  /** It takes nothing from this host for now. */
  isHeld(engineId: string): boolean;
}

/** An engine that turned out not to have its listed role. */
interface MisplacedEngine {
  readonly listedRole?: UpstreamRole;
  readonly untilMs: number;
}

/** Refusals in a row of one engine. */
interface Refusals {
  readonly count: number;
  /** It is left out until then. */
  readonly untilMs: number;
}

export interface EngineCandidates {
  /** Those that failed or refused are named only if there are no others. */
  prefill(service: string): readonly Upstream[];
  /** Decode engines that did not refuse a request a moment ago. */
  decodeWithRoom(service: string): readonly Upstream[];
  /** As above, with those that failed a request lately. */
  decodeInNeed(service: string): readonly Upstream[];
  /** All that read prompts, with those that failed a request lately. */
  prefillInNeed(service: string): readonly Upstream[];
  noteFailure(engineId: string): void;
  noteSuccess(engineId: string): void;
  /** The engine refused a request; it is left out for `forMs` if it says so. */
  noteFull(engineId: string, forMs?: number): void;
  /** The engine took a request. */
  noteTaken(engineId: string): void;
  /** The engine refused a request that is for the other role. */
  noteOtherRole(engineId: string): void;
  /** A request was placed there. */
  notePlaced(engineId: string): void;
  /** Engines that have another role than the list says. */
  inOtherRole(): readonly string[];
  /** Engines that refused this host a moment ago. */
  full(): readonly string[];
  /** Engines that failed this host and are left out for a while. */
  suspects(): readonly string[];
}

/** After a refusal for lack of room the books are wrong for about this long. */
const FULL_FOR_MS = 250;
/**
 * An engine that goes on refusing is left out twice as long each time. One
 * that changes its role refuses all for seconds, while the list and the books
 * show it as empty, so that each stream would be sent there first.
 */
const MOST_FULL_MS = 2_000;
/**
 * The list shows a change of role after a heartbeat; in an outage of the store
 * it shows it late, and until then the engine refuses all that is sent there.
 */
const OTHER_ROLE_FOR_MS = 8_000;

export function createEngineCandidates(
  host: EngineCandidatesHost,
): EngineCandidates {
  const {clock, registry} = host;
  const health = createEngineHealth(DEFAULT_HEALTH);
  /** The role in which an engine is compared with others. */
  const known = new Map<string, UpstreamRole>();
  const refusals = new Map<string, Refusals>();
  const probation = createEngineProbation({clock});
  /** Engines that are not in the role in which the list has them. */
  const otherRole = new Map<string, MisplacedEngine>();

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
      refusals.delete(id);
      probation.forget(id);
      health.remove(id);
    }
  }

  function listed(service: string, role: UpstreamRole): readonly Upstream[] {
    const all = registry
      .open(service)
      .filter(each => each.role === role && !host.isChanging(each.id))
      .filter(each => !isInOtherRole(each.id));
    learn(all);
    return all;
  }

  function isInOtherRole(id: string): boolean {
    const misplaced = otherRole.get(id);
    if (!misplaced) return false;
    const isListedSo = registry.get(id)?.role === misplaced.listedRole;
    if (isListedSo && clock.nowMs() < misplaced.untilMs) return true;
    otherRole.delete(id);
    return false;
  }

  const hasRefused = (id: string) =>
    (refusals.get(id)?.untilMs ?? 0) > clock.nowMs();

  const isFull = (id: string) => hasRefused(id) || host.isHeld(id);

  function withoutFull(engines: readonly Upstream[]): readonly Upstream[] {
    return engines.filter(
      ({id}) => !isFull(id) && !host.isFullAtPeer(id) && !isHopeless(id),
    );
  }

  function troubleOf(id: string): EngineTrouble {
    const isFailing = !health.isUsable(id, clock.nowMs()) || host.isSuspect(id);
    if (isFailing) return 'failing';
    return isFull(id) || host.isFullAtPeer(id) ? 'full' : 'none';
  }

  /** Failed again when it was tried: not used while others are full, either. */
  const isHopeless = (id: string) =>
    !probation.mayUse(id, troubleOf(id)) && probation.isRepeating(id);

  /** A prompt may wait where it was refused, rather than nowhere. */
  function preferWithoutFull(
    engines: readonly Upstream[],
  ): readonly Upstream[] {
    const open = withoutFull(engines);
    return open.length > 0 ? open : engines;
  }

  function noteFull(id: string, forMs?: number): void {
    const before = refusals.get(id)?.count ?? 0;
    const nowMs = clock.nowMs();
    if (forMs !== undefined) {
      refusals.set(id, {count: before, untilMs: nowMs + forMs});
      return;
    }
    const count = before + 1;
    const durationMs = Math.min(FULL_FOR_MS * 2 ** (count - 1), MOST_FULL_MS);
    refusals.set(id, {count, untilMs: nowMs + durationMs});
  }

  /** A full engine is left out elsewhere, where that is asked for. */
  function isSound(id: string): boolean {
    const trouble = troubleOf(id);
    const mayUse = probation.mayUse(id, trouble);
    return trouble === 'full' || mayUse;
  }

  function ofRole(service: string, role: UpstreamRole): readonly Upstream[] {
    const all = listed(service, role);
    const sound = all.filter(({id}) => isSound(id));
    return sound.length > 0 ? sound : all;
  }

  return {
    prefill: service => preferWithoutFull(ofRole(service, 'prefill')),
    decodeWithRoom: service => withoutFull(ofRole(service, 'decode')),
    decodeInNeed: service => withoutFull(listed(service, 'decode')),
    prefillInNeed: service => preferWithoutFull(listed(service, 'prefill')),
    noteFailure(id) {
      // A host that only books what others chose has compared none yet.
      const service = registry.get(id)?.service;
      if (service !== undefined) learn(registry.open(service));
      health.failure(id, clock.nowMs());
    },
    noteSuccess: id => health.success(id, clock.nowMs()),
    noteFull,
    noteTaken: id => void refusals.delete(id),
    noteOtherRole(id) {
      const listedRole = registry.get(id)?.role;
      const untilMs = clock.nowMs() + OTHER_ROLE_FOR_MS;
      otherRole.set(id, {listedRole, untilMs});
    },
    notePlaced: probation.notePlaced,
    inOtherRole: () => [...otherRole.keys()].filter(isInOtherRole),
    full: () => [...refusals.keys()].filter(hasRefused),
    suspects() {
      const nowMs = clock.nowMs();
      return [...known.keys()].filter(id => !health.isUsable(id, nowMs));
    },
  };
}
