/**
 * `npm run bench -- policy [PART...] [--seeds N]`: measures scheduling in
 * virtual time with fake engines. Parts: splits, bars, ideas, faults,
 * weights, returns, takeover, shards, plots (writes docs/operators/plots); all if none.
 */

import {parseArgs} from 'node:util';
import {bestSplit, listSplits} from './policy/capacity_bound.js';
import {runBars, runFaultBars} from './policy/bars.js';
import {runIdeas} from './policy/ideas.js';
import {runReturns, runWeights} from './policy/weights_and_returns.js';
import {runPlots} from './policy/plots.js';
import {runShards} from './policy/shards.js';
import {runTakeovers} from './policy/takeover.js';
import {SHAPES} from './policy/workload.js';

const DEFAULT_SEEDS = 10;

function printSplits(): void {
  for (const shape of Object.values(SHAPES)) {
    const best = bestSplit(shape);
    console.log(
      `\n${shape.name}: requests/s that ${shape.engines} engines carry`,
    );
    console.log('prefill+decode  by prefill  by slots  by memory  by links');
    for (const split of listSplits(shape)) {
      if (Math.abs(split.prefillEngines - best.prefillEngines) > 2) continue;
      const mark = split.prefillEngines === best.prefillEngines ? ' <' : '';
      console.log(
        `${split.prefillEngines}+${split.decodeEngines}`.padEnd(16) +
          [split.byPrefill, split.bySlots, split.byMemory, split.byLinks]
            .map(each => each.toFixed(1).padStart(9))
            .join(' ') +
          mark,
      );
    }
  }
}

const parts: Readonly<Record<string, (seeds: number) => void | Promise<void>>> =
  {
    splits: printSplits,
    bars: runBars,
    ideas: runIdeas,
    faults: runFaultBars,
    weights: runWeights,
    returns: runReturns,
    takeover: runTakeovers,
    shards: runShards,
    plots: runPlots,
  };

export async function run(args: readonly string[]): Promise<void> {
  const {values, positionals} = parseArgs({
    args: [...args],
    allowPositionals: true,
    options: {seeds: {type: 'string'}},
  });
  const seeds = Number(values.seeds ?? DEFAULT_SEEDS);
  const selectedParts =
    positionals.length > 0 ? positionals : Object.keys(parts);
  for (const name of selectedParts) await parts[name](seeds);
}
