/**
 * The cells of the fault matrix. A cell sends the calls of its column and
 * injects the fault of its row when a call reaches the step of the column.
 */

import {runWithFaults, type RunResult} from './fault_run.js';
import type {CallKind, CallSpec} from './site_callers.js';
import {
  faultKinds,
  injectFault,
  pairedKinds,
  type FaultEvent,
  type FaultKind,
} from './site_faults.js';
import {createStepWatch, type MachineName} from './step_watch.js';

/** A fault without which a call never reaches the step of the column. */
interface PriorFault {
  readonly atStep: string;
  readonly kind: FaultKind;
  readonly targets: readonly number[];
}

export interface MatrixColumn {
  readonly machine: MachineName;
  readonly step: string;
  readonly calls: readonly CallSpec[];
  readonly priorFault?: PriorFault;
}

/** The faults of the rows: those of the site, and two caused by a caller. */
export type MatrixFault = FaultKind | 'caller hangs up' | 'request is poison';

export const matrixFaults: readonly MatrixFault[] = [
  ...faultKinds,
  'caller hangs up',
  'request is poison',
];

export const secondFaults: readonly FaultKind[] = pairedKinds;

const START_MS = 500;
const FAULT_MS = 900;
const WAIT_MS = 2_500;
const TARGETS = [0, 1, 2];

function createCall(
  sender: string,
  kind: CallKind,
  overrides: Partial<CallSpec> = {},
): CallSpec {
  return {
    id: sender,
    sender,
    kind,
    isPoison: false,
    entryIndex: 0,
    atMs: START_MS,
    waitMs: WAIT_MS,
    maxSends: overrides.key === undefined ? 1 : 3,
    ...overrides,
  };
}

const modelCalls: readonly CallSpec[] = [
  createCall('m0', 'patient', {key: 'k0'}),
  createCall('m1', 'model', {key: 'k1', entryIndex: 1, atMs: START_MS + 5}),
  createCall('m2', 'model', {entryIndex: 2, atMs: START_MS + 9}),
];
const adoptedCalls: readonly CallSpec[] = [
  createCall('m0', 'patient', {key: 'k0'}),
  createCall('m1', 'patient', {
    id: 'm0',
    key: 'k0',
    entryIndex: 1,
    atMs: START_MS + 60,
  }),
];
const plainCalls: readonly CallSpec[] = [createCall('p0', 'plain')];
const singleCalls: readonly CallSpec[] = [
  createCall('s0', 'single', {key: 'k0'}),
];
const concurrentCalls: readonly CallSpec[] = [
  createCall('s0', 'single', {key: 'k0'}),
  createCall('s1', 'single', {
    id: 's0',
    key: 'k0',
    entryIndex: 1,
    atMs: START_MS + 2,
  }),
];
const shortWaitCalls: readonly CallSpec[] = [
  createCall('s0', 'single', {key: 'k0', waitMs: 120}),
];

const decodeEngineCrash: PriorFault = {
  atStep: 'decoding',
  kind: 'decode engine dies',
  targets: [0, 1],
};

function createColumns(
  machine: MachineName,
  calls: readonly CallSpec[],
  steps: readonly string[],
  priorFault?: PriorFault,
): readonly MatrixColumn[] {
  return steps.map(step => ({machine, step, calls, priorFault}));
}

export const matrixColumns: readonly MatrixColumn[] = [
  ...createColumns('model', modelCalls, [
    'looking-up',
    'awaiting-grant',
    'awaiting-start',
    'prefilling',
    'importing',
    'decoding',
  ]),
  ...createColumns(
    'model',
    modelCalls,
    ['probing', 'asking-retry', 'backing-off'],
    decodeEngineCrash,
  ),
  ...createColumns('model', adoptedCalls, ['adopted']),
  ...createColumns('model', modelCalls, ['ended']),
  ...createColumns('plain', plainCalls, ['calling', 'ended']),
  ...createColumns('plain', plainCalls, ['probing', 'asking-retry'], {
    atStep: 'calling',
    kind: 'service dies',
    targets: [0, 1],
  }),
  ...createColumns('single', singleCalls, [
    'awaiting-intent',
    'calling',
    'recording',
    'ended',
  ]),
  ...createColumns('single', concurrentCalls, ['waiting']),
  ...createColumns('single', singleCalls, ['asking-retry'], {
    atStep: 'awaiting-intent',
    kind: 'service dies',
    targets: [0, 1],
  }),
  ...createColumns('single', shortWaitCalls, ['lingering'], {
    atStep: 'calling',
    kind: 'service freezes',
    targets: [0, 1],
  }),
];

export interface CellResult {
  readonly isReached: boolean;
  readonly runs: readonly RunResult[];
}

function createFaultEvents(
  kind: MatrixFault,
  target: number,
): readonly FaultEvent[] {
  if (kind === 'caller hangs up' || kind === 'request is poison') return [];
  return [{kind, atMs: START_MS, durationMs: FAULT_MS, target}];
}

async function runTarget(
  column: MatrixColumn,
  first: MatrixFault,
  second: FaultKind | undefined,
  target: number,
): Promise<RunResult & {readonly isReached: boolean}> {
  const watch = createStepWatch();
  const {machine, step, priorFault} = column;
  const faults = [
    ...createFaultEvents(first, target),
    ...(second ? createFaultEvents(second, target + 1) : []),
  ];
  const priorEvents = (priorFault?.targets ?? []).flatMap(each =>
    createFaultEvents(priorFault!.kind, each),
  );
  let isReached = false;
  const calls = column.calls.map(each => ({
    ...each,
    isPoison: first === 'request is poison' && each.id === column.calls[0].id,
  }));
  const result = await runWithFaults(
    {seed: 1 + target, calls, faults: [...priorEvents, ...faults]},
    {name: 'watch', machines: watch.machines},
    (site, callers) => {
      if (priorFault) {
        watch.onStep(machine, priorFault.atStep, () => {
          site.clock.setTimer(0, () =>
            priorEvents.forEach(fault => injectFault(site, fault)),
          );
        });
      }
      watch.onStep(machine, step, () => {
        isReached = true;
        site.clock.setTimer(0, () => {
          faults.forEach(fault => injectFault(site, fault));
          if (first === 'caller hangs up') callers.hangUp('m0', 'p0', 's0');
        });
      });
    },
  );
  return {...result, isReached};
}

/** Runs a cell once for each process or upstream that the fault can affect. */
export async function runCell(
  column: MatrixColumn,
  first: MatrixFault,
  second?: FaultKind,
): Promise<CellResult> {
  const runs: (RunResult & {readonly isReached: boolean})[] = [];
  for (const target of TARGETS) {
    runs.push(await runTarget(column, first, second, target));
  }
  return {isReached: runs.some(run => run.isReached), runs};
}
