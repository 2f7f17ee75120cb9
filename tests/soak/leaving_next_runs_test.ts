import {SHORT_WORK_MS, testLeavingHosts} from './leaving_scenarios.js';

// Guards against next runs that begin at a leaving host and can't end there.
testLeavingHosts('leaving hosts cut no stream whose engine has ended', {
  'two of four engines end late in the grace': {
    hostCount: 4,
    leavingCount: 2,
    gapMs: 0,
    workMs: SHORT_WORK_MS,
    streamMs: {least: 700, most: 900},
    engines: {prefill: 2, decode: 4},
    engineCrashAfterMs: 5_300,
    graceMs: 8_000,
    deadlineMs: 2_200,
  },
});
