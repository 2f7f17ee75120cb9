import type {LeavingScenario} from './leaving_hosts.js';
import {SHORT_WORK_MS, testLeavingHosts} from './leaving_scenarios.js';

const SHORT_STREAMS = {least: 360, most: 400};

/** Streams take eight times as long as any that has ended before. */
function slowEnginesAfter(afterMs: number): LeavingScenario {
  return {
    hostCount: 6,
    leavingCount: 3,
    gapMs: 0,
    workMs: SHORT_WORK_MS,
    streamMs: SHORT_STREAMS,
    slowdown: {afterMs, streamMs: 2_900},
    graceMs: 8_000,
    deadlineMs: 14_000,
  };
}

// Guards against streams that begin at a leaving host since recent ones were short.
testLeavingHosts(
  'leaving hosts cut no stream that takes longer than recent ones',
  {
    'engines slow down 3 s after the signal': slowEnginesAfter(3_000),
    'engines slow down 4 s after the signal': slowEnginesAfter(4_000),
    'engines slow down 5 s after the signal': slowEnginesAfter(5_000),
  },
);
