/**
 * Which decode and prefill engine a stream gets now, if any: those of this
 * host's own group by its exact books, else those of others with room to spare.
 */

import type {EngineTraits} from '../../core/routing_types.js';
import type {Random} from '../../ports/random.js';
import type {EngineBooks} from './engine_books.js';
import type {EngineCandidates} from './engine_candidates.js';
import {
  countPrefillRoom,
  countRoom,
  pickDecode,
  pickPrefill,
  plannedTokens,
  type TokenNeed,
} from './placement_rules.js';
import type {PlacementGroups} from './placement_groups.js';
import type {Upstream} from '../../core/upstream.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';

export interface EngineChoiceHost {
  readonly random: Random;
  readonly registry: UpstreamRegistry;
  readonly books: EngineBooks;
  readonly candidates: EngineCandidates;
  readonly groups: PlacementGroups;
  /** How fast a prefill engine reads, as all hosts learned. */
  tokensPerMs(): number;
  /** Requests wait at hosts that use the engine first. */
  isAwaited(engineId: string): boolean;
}

/** What a stream needs, and of which service. */
export interface ChoiceNeed extends TokenNeed {
  readonly service: {readonly name: string};
}

export interface ChosenEngines {
  readonly decode: Upstream;
  /** Absent when the decode engine is to read the prompt. */
  readonly prefill?: Upstream;
}

export interface EngineChoice {
  /** For a new request that comes after `ahead` others. */
  choose(
    need: ChoiceNeed,
    traits: EngineTraits,
    ahead: number,
  ): ChosenEngines | undefined;
  /** For a request under way, however long the prefill engines' backlogs. */
  chooseAgain(
    need: ChoiceNeed,
    traits: EngineTraits,
    avoid: ReadonlySet<string>,
    wantsPrefill: boolean,
  ): ChosenEngines | undefined;
  /** Another prefill engine for a request under way. */
  choosePrefill(
    service: string,
    decode: Upstream,
    avoid: ReadonlySet<string>,
  ): Upstream | undefined;
  hasDecode(service: string): boolean;
  /** Runs on the engines that this host's group uses first. */
  countRuns(service: string): number;
}

/**
 * Beyond this backlog of a prefill engine a request keeps decode memory
 * reserved for longer than it would wait.
 */
const MAX_PREFILL_BACKLOG_MS = 400;
/**
 * What is known of another group's engine is up to a second old, and others
 * look at the same old news. An engine of theirs is used only while so many
 * times the need is free, or all groups promise the same memory.
 */
const OTHER_GROUP_NEEDS = 4;
/**
 * Of several engines with room two are drawn and the better one is taken, so
 * that hosts with the same old news don't all choose the same one.
 */
const DRAWN_ENGINES = 2;

export function createEngineChoice(host: EngineChoiceHost): EngineChoice {
  const {random, registry, books, candidates, groups} = host;

  const isOwn = ({id}: Upstream) => groups.isOwn(id);
  const maxBacklogTokens = () => MAX_PREFILL_BACKLOG_MS * host.tokensPerMs();

  /**
   * Begins at a drawn engine, for the first of several equal ones is taken:
   * hosts whose books are empty would all take the same one.
   */
  function rotate(engines: readonly Upstream[]): readonly Upstream[] {
    if (engines.length < 2) return engines;
    const first = random.nextInt(engines.length);
    return [...engines.slice(first), ...engines.slice(0, first)];
  }

  /** Those of the own group, or all where it has none. */
  function ownOf(engines: readonly Upstream[]): readonly Upstream[] {
    const own = engines.filter(isOwn);
    return rotate(own.length > 0 ? own : engines);
  }

  function draw(engines: readonly Upstream[]): readonly Upstream[] {
    if (engines.length <= DRAWN_ENGINES) return engines;
    return Array.from(
      {length: DRAWN_ENGINES},
      () => engines[random.nextInt(engines.length)],
    );
  }

  /** The one that is done first, if its backlog is short enough. */
  function pickReader(
    engines: readonly Upstream[],
    decode: Upstream,
  ): Upstream | undefined {
    const picked = pickPrefill(engines, books, decode);
    if (!picked || picked.backlogTokens > maxBacklogTokens()) {
      return undefined;
    }
    return picked.engine;
  }

  /** Adds the prefill engine; undefined when all backlogs are too long. */
  function withPrefill(
    decode: Upstream,
    prefillEngines: readonly Upstream[],
    inNeed: readonly Upstream[],
  ): ChosenEngines | undefined {
    if (prefillEngines.length === 0) return {decode};
    // One that loses two answers in five still reads three prompts in five.
    // With three such engines left out but one, it read 13 prompts a second
    // in a burst of 28, while decode engines were half empty.
    const prefill =
      pickReader(prefillEngines, decode) ?? pickReader(inNeed, decode);
    return prefill && {decode, prefill};
  }

  function chooseOwn(
    need: ChoiceNeed,
    traits: EngineTraits,
    ahead: number,
  ): ChosenEngines | undefined {
    const {name} = need.service;
    const engines = ownOf(candidates.decodeWithRoom(name));
    // An engine that loses some answers still serves most; left out while the
    // sound ones are full, it makes callers wait or leave that it could serve.
    const decode =
      pickDecode(engines, books, traits, need) ??
      pickDecode(
        candidates.decodeInNeed(name).filter(isOwn),
        books,
        traits,
        need,
      );
    if (!decode) return undefined;
    const prefillEngines = ownOf(candidates.prefill(name));
    const inNeed = ownOf(candidates.prefillInNeed(name));
    if (ahead > 0) {
      // Room for those ahead is theirs: without this all hosts would take the
      // same room at the moment it shows.
      const room = Math.min(
        countRoom(engines, books, traits, need),
        countPrefillRoom(inNeed, books, maxBacklogTokens()),
      );
      if (room <= ahead) return undefined;
    }
    return withPrefill(decode, prefillEngines, inNeed);
  }

  function chooseOther(
    need: ChoiceNeed,
    traits: EngineTraits,
  ): ChosenEngines | undefined {
    const {name} = need.service;
    const all = candidates.decodeWithRoom(name);
    // Old news shows room where those who wait have taken it by now: without
    // this all groups pour into the engine that was last seen with some.
    const others = all.filter(
      engine => !isOwn(engine) && !host.isAwaited(engine.id),
    );
    const spare = plannedTokens(need) * (OTHER_GROUP_NEEDS - 1);
    const decode = pickDecode(draw(others), books, traits, need, spare);
    if (!decode) return undefined;
    const prefillEngines = candidates.prefill(name);
    return withPrefill(decode, draw(prefillEngines), []);
  }

  return {
    choose: (need, traits, ahead) =>
      chooseOwn(need, traits, ahead) ?? chooseOther(need, traits),
    chooseAgain(need, traits, avoid, wantsPrefill) {
      const {name} = need.service;
      const engines = candidates
        .decodeWithRoom(name)
        .filter(({id}) => !avoid.has(id));
      const decode =
        pickDecode(engines.filter(isOwn), books, traits, need) ??
        pickDecode(engines, books, traits, need);
      if (!decode) return undefined;
      const prefillEngines = wantsPrefill
        ? ownOf(candidates.prefill(name))
        : [];
      const prefill = pickPrefill(prefillEngines, books, decode)?.engine;
      return {decode, prefill};
    },
    choosePrefill(service, decode, avoid) {
      const engines = candidates
        .prefill(service)
        .filter(({id}) => !avoid.has(id));
      return pickPrefill(ownOf(engines), books, decode)?.engine;
    },
    hasDecode: service =>
      registry.open(service).some(({role}) => role === 'decode'),
    countRuns: service =>
      registry
        .open(service)
        .filter(engine => engine.role === 'decode' && isOwn(engine))
        .reduce((sum, {id}) => sum + books.decodeLoad(id).runs, 0),
  };
}
