/**
 * What is promised of each model engine's memory and time, by this host and,
 * from their announcements, by its peers. Pure bookkeeping.
 *
 * Decode memory binds in bursts: a request holds its prompt and all it has
 * generated until its end. A request admitted by its prompt alone makes the
 * engine preempt others later; one admitted by the largest answer it may give
 * leaves memory unused. The books count what a run holds now and what it is
 * forecast to hold at its end.
 */

import type {HostLoad} from './host_load.js';
import {createPeerLoads} from './peer_loads.js';

/** Use of one decode engine, in tokens of KV cache. */
export interface DecodeLoad {
  readonly runs: number;
  /** Held now, with prompts that are on their way. */
  readonly tokensNow: number;
  /** Forecast at the end of the runs. */
  readonly tokensAtEnd: number;
}

/** Use of one prefill engine. */
export interface PrefillLoad {
  readonly prompts: number;
  readonly tokens: number;
}

export interface DecodeRun {
  readonly engineId: string;
  readonly promptTokens: number;
  readonly expectedOutputTokens: number;
  outputTokens: number;
}

export interface EngineBooks {
  /** Books a run; it counts from now on, its prompt included. */
  startRun(run: Omit<DecodeRun, 'outputTokens'>): DecodeRun;
  grow(run: DecodeRun, outputTokens: number): void;
  endRun(run: DecodeRun): void;
  startPrefill(engineId: string, tokens: number): void;
  endPrefill(engineId: string, tokens: number): void;
  decodeLoad(engineId: string): DecodeLoad;
  prefillLoad(engineId: string): PrefillLoad;
  /** Own promises, for the peers. */
  own(): HostLoad;
  /** All promises, for those that do not hear the others. */
  total(): HostLoad;
  /**
   * Engines that the last `own()` names, and those that it no longer names:
   * who uses these has to hear that they are free again.
   */
  usedEngineIds(): readonly string[];
  /** Replaces what is known of a peer; undefined once it is gone. */
  setPeer(hostId: string, load: HostLoad | undefined): void;
}

/**
 * Once a run has outgrown its forecast, the rest is taken to be this share of
 * what it has made: lengths spread by about half around the estimate.
 */
const OVERRUN_SHARE = 0.35;

/** Tokens that a run is expected to make still. */
export function remainingTokens(run: DecodeRun): number {
  const left = run.expectedOutputTokens - run.outputTokens;
  return Math.max(left, run.outputTokens * OVERRUN_SHARE);
}

interface MutableHostLoad {
  readonly decode: Record<string, readonly [number, number, number]>;
  readonly prefill: Record<string, readonly [number, number]>;
}

interface MutableLoad {
  runs: number;
  now: number;
  end: number;
}

export function createEngineBooks(): EngineBooks {
  const runs = new Map<string, Set<DecodeRun>>();
  const prefills = new Map<string, {prompts: number; tokens: number}>();
  const peers = createPeerLoads();
  let announced: readonly string[] = [];
  let used: readonly string[] = [];

  function ownDecode(engineId: string): MutableLoad {
    const load = {runs: 0, now: 0, end: 0};
    for (const run of runs.get(engineId) ?? []) {
      const held = run.promptTokens + run.outputTokens;
      load.runs++;
      load.now += held;
      load.end += held + remainingTokens(run);
    }
    return load;
  }

  function decodeLoad(engineId: string): DecodeLoad {
    const load = ownDecode(engineId);
    const [count, now, end] = peers.decode(engineId);
    return {
      runs: load.runs + count,
      tokensNow: load.now + now,
      tokensAtEnd: load.end + end,
    };
  }

  function prefillLoad(engineId: string): PrefillLoad {
    const own = prefills.get(engineId);
    const [count, more] = peers.prefill(engineId);
    return {
      prompts: (own?.prompts ?? 0) + count,
      tokens: (own?.tokens ?? 0) + more,
    };
  }

  return {
    startRun(start) {
      const run: DecodeRun = {...start, outputTokens: 0};
      const ofEngine = runs.get(run.engineId) ?? new Set();
      ofEngine.add(run);
      runs.set(run.engineId, ofEngine);
      return run;
    },
    grow(run, outputTokens) {
      run.outputTokens = outputTokens;
    },
    endRun(run) {
      const ofEngine = runs.get(run.engineId);
      ofEngine?.delete(run);
      if (ofEngine?.size === 0) runs.delete(run.engineId);
    },
    startPrefill(engineId, tokens) {
      const load = prefills.get(engineId) ?? {prompts: 0, tokens: 0};
      load.prompts++;
      load.tokens += tokens;
      prefills.set(engineId, load);
    },
    endPrefill(engineId, tokens) {
      const load = prefills.get(engineId);
      if (!load) return;
      load.prompts--;
      load.tokens -= tokens;
      if (load.prompts <= 0) prefills.delete(engineId);
    },
    decodeLoad,
    prefillLoad,
    total() {
      const named = [...runs.keys(), ...prefills.keys()];
      const load: MutableHostLoad = {decode: {}, prefill: {}};
      for (const engineId of new Set([...named, ...peers.engineIds()])) {
        const run = decodeLoad(engineId);
        const {prompts, tokens} = prefillLoad(engineId);
        if (run.runs > 0) {
          const sums = [run.runs, run.tokensNow, run.tokensAtEnd] as const;
          const [count, now, end] = sums.map(Math.round);
          load.decode[engineId] = [count, now, end];
        }
        if (prompts > 0) {
          load.prefill[engineId] = [prompts, Math.round(tokens)];
        }
      }
      return load;
    },
    own() {
      const decode: Record<string, readonly [number, number, number]> = {};
      for (const engineId of runs.keys()) {
        const load = ownDecode(engineId);
        decode[engineId] = [
          load.runs,
          Math.round(load.now),
          Math.round(load.end),
        ];
      }
      const prefill: Record<string, readonly [number, number]> = {};
      for (const [engineId, {prompts, tokens}] of prefills) {
        prefill[engineId] = [prompts, Math.round(tokens)];
      }
      const named = [...Object.keys(decode), ...Object.keys(prefill)];
      used = [...new Set([...named, ...announced])];
      announced = named;
      return {decode, prefill};
    },
    usedEngineIds: () => used,
    setPeer: peers.set,
  };
}
