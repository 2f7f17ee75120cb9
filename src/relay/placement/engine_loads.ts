/**
 * Tracks the decode memory and prefill work reserved on each engine, by this
 * host and, from their announcements, by its peers. Does no I/O.
 *
 * Decode memory is the bottleneck in bursts: a request holds its prompt and all
 * its output until it ends. Admitting requests by their prompts alone makes the
 * engine preempt some of them later; admitting them by their longest possible
 * output leaves memory unused. So two numbers are tracked for each run: the
 * tokens that it holds now and those that it is forecast to hold at its end.
 */

import type {HostLoad} from './host_load.js';
import {createPeerLoads} from './peer_loads.js';

/** Use of one decode engine, in tokens of KV cache. */
export interface DecodeLoad {
  readonly runs: number;
  /** Held now, including prompts that are still being prefilled. */
  readonly tokensNow: number;
  /** Forecast for the end of the runs. */
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

export interface EngineLoads {
  /**
   * Reserves memory for a run, which counts from now on with its whole prompt.
   */
  startRun(run: Omit<DecodeRun, 'outputTokens'>): DecodeRun;
  setOutputTokens(run: DecodeRun, outputTokens: number): void;
  endRun(run: DecodeRun): void;
  startPrefill(engineId: string, tokens: number): void;
  endPrefill(engineId: string, tokens: number): void;
  decodeLoad(engineId: string): DecodeLoad;
  prefillLoad(engineId: string): PrefillLoad;
  /** Load reserved by this host, to announce to the peers. */
  ownLoad(): HostLoad;
  /**
   * Load reserved by this host and its peers, to send to hosts that do not
   * receive the announcements of the others.
   */
  totalLoad(): HostLoad;
  /**
   * Engines in the last two announced loads. The one before the last is
   * included because the hosts that use an engine must also be told once this
   * host has released it.
   */
  usedEngineIds(): readonly string[];
  /** Replaces the load of a peer; undefined removes it. */
  setPeerLoad(hostId: string, load: HostLoad | undefined): void;
}

/**
 * Once a run exceeds its forecast, its remaining output is estimated as this
 * share of its output so far, because output lengths vary by about half around
 * the estimate.
 */
const OVERRUN_SHARE = 0.35;

/** Output tokens that a run is still expected to produce. */
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

export function createEngineLoads(): EngineLoads {
  const runs = new Map<string, Set<DecodeRun>>();
  const prefills = new Map<string, {prompts: number; tokens: number}>();
  const peers = createPeerLoads();
  let announcedIds: readonly string[] = [];
  let usedIds: readonly string[] = [];

  function ownDecodeLoad(engineId: string): MutableLoad {
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
    const load = ownDecodeLoad(engineId);
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
      const engineRuns = runs.get(run.engineId) ?? new Set();
      engineRuns.add(run);
      runs.set(run.engineId, engineRuns);
      return run;
    },
    setOutputTokens(run, outputTokens) {
      run.outputTokens = outputTokens;
    },
    endRun(run) {
      const engineRuns = runs.get(run.engineId);
      engineRuns?.delete(run);
      if (engineRuns?.size === 0) runs.delete(run.engineId);
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
    totalLoad() {
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
    ownLoad() {
      const decode: Record<string, readonly [number, number, number]> = {};
      for (const engineId of runs.keys()) {
        const load = ownDecodeLoad(engineId);
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
      usedIds = [...new Set([...named, ...announcedIds])];
      announcedIds = named;
      return {decode, prefill};
    },
    usedEngineIds: () => usedIds,
    setPeerLoad: peers.set,
  };
}
