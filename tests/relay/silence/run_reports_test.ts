import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import type {EngineReport} from '../../../src/ports/relay.js';
import {
  createRunReports,
  type RunAtEngine,
} from '../../../src/relay/silence/run_reports.js';
import {makeEngine} from '../placement/lone_scheduler.js';

const ENGINE = makeEngine('d1');
const STEP_MS = 250;

/** What one report says of the run. */
interface Reported {
  readonly events?: number;
  readonly waitingCount?: number;
}

function toReport({events, waitingCount = 0}: Reported): EngineReport {
  const eventCounts = new Map(events === undefined ? [] : [['q1', events]]);
  const runs = {eventCounts, waitingCount};
  return {role: 'decode', isChanging: false, orderCount: 0, runs};
}

/** The state of a run that fell silent at 0, after a report each 250 ms. */
async function readReports(
  reports: ReadonlyArray<EngineReport | undefined>,
): Promise<readonly RunAtEngine[]> {
  const clock = createVirtualClock();
  const startMs = clock.nowMs();
  const left = [...reports];
  const runReports = createRunReports({
    clock,
    upstreamPort: {report: () => Promise.resolve(left.shift())},
  });
  const states: RunAtEngine[] = [];
  while (left.length > 0) {
    runReports.ask(ENGINE);
    await clock.advance(STEP_MS);
    states.push(runReports.find(ENGINE.id, 'q1', startMs));
  }
  return states;
}

const CASES: Readonly<
  Record<string, readonly [ReadonlyArray<Reported | 'none'>, RunAtEngine]>
> = {
  'makes no events': [
    [{events: 5}, {events: 5}, {events: 5}, {events: 5}],
    'held',
  ],
  'makes events': [
    [{events: 5}, {events: 6}, {events: 7}, {events: 8}],
    'advancing',
  ],
  'made events before the silence': [
    [{events: 4}, {events: 5}, {events: 5}, {events: 5}],
    'held',
  ],
  'has ended': [[{events: 5}, {}, {}], 'absent'],
  'may wait': [[{events: 5}, {}, {waitingCount: 2}], 'waiting'],
  'was reported once': [[{events: 5}, {events: 5}, {events: 6}], 'undecided'],
  'is not in time': [[{events: 5}, {events: 6}], 'undecided'],
  'has no report any more': [[{events: 5}, {events: 5}, 'none'], 'unreported'],
};

// Guards against taking a run that its engine has set aside for a lost one.
for (const [what, [reports, expected]] of Object.entries(CASES)) {
  test(`a silent run that ${what} is ${expected}`, async () => {
    const given = reports.map(each =>
      each === 'none' ? undefined : toReport(each),
    );
    const states = await readReports(given);
    assert.equal(states.at(-1), expected);
  });
}
