/** Scenarios of parts of prompts that crash upstreams. */

import type {PartScenario} from './crashing_parts.js';
import {CRASHING_PARTS_KIND} from './fault_kinds.js';

const MIN_COMPARED = 20;
const usual: PartScenario = {
  kind: 'crashing-part',
  port: 'closed',
  places: [1],
  minCompared: MIN_COMPARED,
};

/** Played by `npm test`. */
const MAIN_SCENARIOS: Readonly<Record<string, PartScenario>> = {
  'second of three or four parts': usual,
  'any place but the last': {
    ...usual,
    places: [0, 1, 2],
  },
  'streams that run once, an event comes first': {
    ...usual,
    kind: 'crashing-part-once',
    answersFirst: true,
  },
  'few sound requests': {...usual, soundPerS: 2.5, minCompared: 5},
  'beside a part that is rare in sound requests': {
    ...usual,
    places: [2],
    companionOneIn: 30,
  },
  'no part, upstreams end for other reasons': {
    ...usual,
    places: [],
    hasOtherEnds: true,
  },
};

const MORE_SCENARIOS: Readonly<Record<string, PartScenario>> = {
  'first part': {...usual, places: [0]},
  'the port resets': {...usual, port: 'resetting'},
  'the port is silent': {...usual, port: 'silent'},
  'two parts at once': {...usual, partCount: 2},
  'upstreams also end for other reasons': {...usual, hasOtherEnds: true},
  'streams that run once': {...usual, kind: 'crashing-part-once'},
  'an event comes first': {...usual, answersFirst: true},
  'another instance has the port at once': {...usual, restartMs: 5},
  'first part, two at once, upstreams also end for other reasons': {
    ...usual,
    places: [0],
    partCount: 2,
    hasOtherEnds: true,
  },
  'requests come often': {...usual, badEveryMs: 120},
  'often, beside a rare part': {
    ...usual,
    places: [2],
    companionOneIn: 100,
    badEveryMs: 150,
  },
};

export const MAIN_SCENARIO_COUNT = Object.keys(MAIN_SCENARIOS).length;

const SCENARIOS = Object.entries({...MAIN_SCENARIOS, ...MORE_SCENARIOS});

/** Returns the scenario with this number, in turn, and how to play it. */
export function toPartOptions(seed: number) {
  const [name, parts] = SCENARIOS[seed % SCENARIOS.length];
  return {
    name,
    seed,
    durationMs: 0,
    hostCount: 4,
    callerCount: 0,
    engineCounts: {prefill: 2, decode: 10},
    kinds: [],
    faults: [{kind: CRASHING_PARTS_KIND, atMs: 0, forMs: 0, parts}],
  } as const;
}
