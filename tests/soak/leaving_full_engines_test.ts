import type {LeavingScenario} from './leaving_hosts.js';
import {SHORT_WORK_MS, testLeavingHosts} from './leaving_scenarios.js';

/** Streams wait: one arrives each 30 ms, and 16 run at once for 0.6 s. */
const FULL_ENGINES: LeavingScenario = {
  hostCount: 4,
  leavingCount: 2,
  gapMs: 0,
  workMs: SHORT_WORK_MS,
  streamMs: {least: 500, most: 700},
  engines: {prefill: 1, decode: 2},
  graceMs: 8_000,
  deadlineMs: 14_000,
};

// Guards against streams that wait for an engine and begin late in the grace.
testLeavingHosts('leaving hosts cut no stream that has waited for an engine', {
  'engines are full': FULL_ENGINES,
  'engines are full and slow down': {
    ...FULL_ENGINES,
    slowdown: {afterMs: 2_500, streamMs: 2_900},
  },
  'engines leave, too': {
    ...FULL_ENGINES,
    engines: {prefill: 1, decode: 4},
    engineLeaveAfterMs: 2_000,
    slowdown: {afterMs: 2_500, streamMs: 2_900},
  },
});
