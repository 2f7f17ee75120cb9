/**
 * Chooses the decode and prefill engines that can take a stream now, if any.
 * Prefers the engines of this host's own group, whose loads it knows exactly,
 * over engines of other groups that have room to spare.
 */

import type {EngineTraits} from '../../core/routing_types.js';
import type {Random} from '../../ports/random.js';
import type {EngineLoads} from './engine_loads.js';
import type {EngineCandidates} from './engine_candidates.js';
import {EVEN_SPEEDS, type SpeedFactors} from './engine_speeds.js';
import {
  countPrefillRoom,
  countRoom,
  pickDecode,
  pickPrefill,
  plannedTokens,
  withoutSlowed,
  type EngineState,
  type TokenNeed,
} from './placement_rules.js';
import type {PlacementGroups} from './placement_groups.js';
import type {Upstream} from '../../core/upstream.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';
import {findCommonVersions, type EngineFilter} from './engine_versions.js';

export interface EngineChoiceHost {
  readonly random: Random;
  readonly registry: UpstreamRegistry;
  readonly engineLoads: EngineLoads;
  readonly candidates: EngineCandidates;
  readonly groups: PlacementGroups;
  /** Prefill speed of an engine, averaged over all hosts. */
  tokensPerMs(): number;
  /** Relative speeds of the engines; equal if absent. */
  readonly speeds?: SpeedFactors;
  /** Requests are waiting at hosts that prefer the engine. */
  hasWaiters(engineId: string): boolean;
}

/** Requirements of a stream, and the service that it needs. */
export interface ChoiceNeed extends TokenNeed {
  readonly service: {readonly name: string};
  /** Set if only engines of this software version may run the stream. */
  readonly version?: string;
}

export interface ChosenEngines {
  readonly decode: Upstream;
  /** Absent when the decode engine is to prefill the prompt itself. */
  readonly prefill?: Upstream;
}

export interface EngineChoice {
  /** Chooses engines for a new request that is behind `ahead` others. */
  choose(
    need: ChoiceNeed,
    traits: EngineTraits,
    ahead: number,
  ): ChosenEngines | undefined;
  /**
   * Chooses other engines for a request that has already started. Accepts a
   * prefill engine however long its backlog is.
   */
  chooseAgain(
    need: ChoiceNeed,
    traits: EngineTraits,
    avoid: ReadonlySet<string>,
    wantsPrefill: boolean,
  ): ChosenEngines | undefined;
  /** Chooses another prefill engine for a request that has already started. */
  choosePrefill(
    need: ChoiceNeed,
    decode: Upstream,
    avoid: ReadonlySet<string>,
  ): Upstream | undefined;
  hasDecode(service: string): boolean;
}

/** Which engines of a role are chosen from. */
interface ChoiceRules {
  readonly select: EngineSelection;
  /** Whether the stream may run at the decode engine. */
  readonly mayRun: EngineFilter;
  /** Tokens that must remain free at the decode engine. */
  readonly spareTokens: number;
}

/** Leaves out some engines. */
type EngineSelection = (engines: readonly Upstream[]) => readonly Upstream[];

/**
 * Prefill engines with a longer backlog get no new request. It would reserve
 * decode memory while it waits there, for longer than it would have waited in
 * the queue.
 */
const MAX_PREFILL_BACKLOG_MS = 400;
/**
 * Loads of another group's engines are up to a second old, and other hosts
 * decide by the same old data. Such an engine is used only if this many times
 * the required memory is free; otherwise all groups would reserve the same
 * memory.
 */
const OTHER_GROUP_FREE_FACTOR = 4;
/**
 * Takes the better of two engines picked at random, so that hosts with the same
 * old data do not all choose the same engine.
 */
const SAMPLED_ENGINES = 2;
/** Memory of scarce engines that new streams leave free, as a share. */
const SCARCE_SPARE_SHARE = 0.25;

export function createEngineChoice(host: EngineChoiceHost): EngineChoice {
  const {random, registry, engineLoads, candidates, groups} = host;
  const {speeds = EVEN_SPEEDS} = host;
  const state: EngineState = {loads: engineLoads, speeds};

  const isPreferred = ({id}: Upstream) => groups.isPreferred(id);
  /** Engines that have slowed down get no work while others have room. */
  const usual: EngineSelection = engines => withoutSlowed(engines, speeds);
  const maxBacklogTokens = () => MAX_PREFILL_BACKLOG_MS * host.tokensPerMs();

  /**
   * Starts the list at a random engine. Of several equal engines the first is
   * taken, so hosts without any load data would all take the same one.
   */
  function rotate(engines: readonly Upstream[]): readonly Upstream[] {
    if (engines.length < 2) return engines;
    const first = random.nextInt(engines.length);
    return [...engines.slice(first), ...engines.slice(0, first)];
  }

  /**
   * The engines that this host's group prefers, or all if it prefers none of
   * them.
   */
  function preferredOf(engines: readonly Upstream[]): readonly Upstream[] {
    const own = engines.filter(isPreferred);
    return rotate(own.length > 0 ? own : engines);
  }

  function sample(engines: readonly Upstream[]): readonly Upstream[] {
    if (engines.length <= SAMPLED_ENGINES) return engines;
    return Array.from(
      {length: SAMPLED_ENGINES},
      () => engines[random.nextInt(engines.length)],
    );
  }

  /**
   * The engine that will finish the prompt first, if its backlog is short
   * enough.
   */
  function pickShortBacklog(
    engines: readonly Upstream[],
    decode: Upstream,
    {promptTokens}: TokenNeed,
  ): Upstream | undefined {
    return pickPrefill(engines, state, {
      promptTokens,
      decode,
      maxBacklogTokens: maxBacklogTokens(),
    });
  }

  /** Adds a prefill engine; undefined when all backlogs are too long. */
  function withPrefill(
    need: TokenNeed,
    decode: Upstream,
    prefillEngines: readonly Upstream[],
    includingFailed: readonly Upstream[],
  ): ChosenEngines | undefined {
    if (prefillEngines.length === 0) return {decode};
    // Engines that failed recently are tried next, because an engine that loses
    // two of five answers still prefills three of five prompts. When three such
    // engines were excluded, the only other one prefilled 13 prompts a second
    // in a burst of 28 a second, and the decode engines stayed half empty.
    const prefill =
      pickShortBacklog(prefillEngines, decode, need) ??
      pickShortBacklog(includingFailed, decode, need);
    return prefill && {decode, prefill};
  }

  function choosePreferred(
    need: ChoiceNeed,
    traits: EngineTraits,
    ahead: number,
    {select, mayRun, spareTokens}: ChoiceRules,
  ): ChosenEngines | undefined {
    const {version} = need;
    const {name} = need.service;
    const engines = select(
      preferredOf(candidates.decodeWithRoom(name, version).filter(mayRun)),
    );
    // An engine that loses some answers still serves most requests. If it were
    // excluded while the healthy engines are full, callers that it could serve
    // would wait or leave.
    const decode =
      pickDecode(engines, state, traits, need, spareTokens) ??
      pickDecode(
        select(
          candidates
            .decodeIncludingFailed(name, version)
            .filter(each => mayRun(each) && isPreferred(each)),
        ),
        state,
        traits,
        need,
        spareTokens,
      );
    if (!decode) return undefined;
    const prefillEngines = select(
      preferredOf(candidates.prefill(name, decode.version)),
    );
    const includingFailed = select(
      preferredOf(candidates.prefillIncludingFailed(name, decode.version)),
    );
    if (ahead > 0) {
      // Leaves room for the requests ahead. Otherwise all hosts would take the
      // same room at the moment it becomes free.
      const room = Math.min(
        countRoom(engines, engineLoads, traits, need),
        countPrefillRoom(
          includingFailed,
          engineLoads,
          speeds,
          maxBacklogTokens(),
        ),
      );
      if (room <= ahead) return undefined;
    }
    const chosen = withPrefill(need, decode, prefillEngines, includingFailed);
    if (chosen || need.version !== undefined) return chosen;
    // The prefill engines of this version are busy; those of another may not be.
    const mayRunOther: EngineFilter = each =>
      mayRun(each) && each.version !== decode.version;
    if (!engines.some(mayRunOther)) return undefined;
    const rules = {select, spareTokens, mayRun: mayRunOther};
    return choosePreferred(need, traits, ahead, rules);
  }

  function chooseOther(
    need: ChoiceNeed,
    traits: EngineTraits,
    {mayRun, spareTokens}: ChoiceRules,
  ): ChosenEngines | undefined {
    const {name} = need.service;
    const all = candidates.decodeWithRoom(name, need.version).filter(mayRun);
    // Old data shows room that waiting requests have already taken. Without
    // this check all groups would send to the engine that last showed room.
    const others = usual(all).filter(
      engine => !isPreferred(engine) && !host.hasWaiters(engine.id),
    );
    const spare =
      plannedTokens(need) * (OTHER_GROUP_FREE_FACTOR - 1) + spareTokens;
    const decode = pickDecode(sample(others), state, traits, need, spare);
    if (!decode) return undefined;
    const prefillEngines = usual(candidates.prefill(name, decode.version));
    return withPrefill(need, decode, sample(prefillEngines), []);
  }

  function chooseBy(
    need: ChoiceNeed,
    traits: EngineTraits,
    ahead: number,
    rules: Omit<ChoiceRules, 'select'>,
  ): ChosenEngines | undefined {
    const chosen =
      choosePreferred(need, traits, ahead, {...rules, select: usual}) ??
      chooseOther(need, traits, {...rules, select: usual});
    if (chosen || !speeds.hasSlowed()) return chosen;
    return choosePreferred(need, traits, ahead, {...rules, select: all => all});
  }

  return {
    choose(need, traits, ahead) {
      const isCommon =
        need.version === undefined
          ? findCommonVersions(registry.open(need.service.name))
          : undefined;
      if (!isCommon) {
        return chooseBy(need, traits, ahead, {
          mayRun: () => true,
          spareTokens: 0,
        });
      }
      return (
        chooseBy(need, traits, ahead, {mayRun: isCommon, spareTokens: 0}) ??
        chooseBy(need, traits, ahead, {
          mayRun: each => !isCommon(each),
          spareTokens: traits.kvTokens * SCARCE_SPARE_SHARE,
        })
      );
    },
    chooseAgain(need, traits, avoid, wantsPrefill) {
      const {name} = need.service;
      const {promptTokens} = need;
      const engines = candidates
        .decodeWithRoom(name, need.version)
        .filter(({id}) => !avoid.has(id));
      const decode =
        pickDecode(usual(engines).filter(isPreferred), state, traits, need) ??
        pickDecode(usual(engines), state, traits, need) ??
        pickDecode(engines, state, traits, need);
      if (!decode) return undefined;
      const prefillEngines = wantsPrefill
        ? usual(preferredOf(candidates.prefill(name, decode.version)))
        : [];
      const prefill = pickPrefill(prefillEngines, state, {
        promptTokens,
        decode,
      });
      return {decode, prefill};
    },
    choosePrefill({service, promptTokens}, decode, avoid) {
      const engines = candidates
        .prefill(service.name, decode.version)
        .filter(({id}) => !avoid.has(id));
      return pickPrefill(usual(preferredOf(engines)), state, {
        promptTokens,
        decode,
      });
    },
    hasDecode: service =>
      registry.open(service).some(({role}) => role === 'decode'),
  };
}
