/** The cells of the fault matrix: what is sent, and when which fault strikes. */

import {runPrepared, type RunResult} from './fault_run.js';
import type {CallKind, CallSpec} from './site_callers.js';
import {
  faultKinds,
  injectFault,
  pairedKinds,
  type FaultEvent,
  type FaultKind,
} from './site_faults.js';
import {createStepWatch, type MachineName} from './step_watch.js';

/** A fault that a column needs before its step can be reached at all. */
interface Preparation {
  readonly atStep: string;
  readonly kind: FaultKind;
  readonly targets: readonly number[];
}

export interface MatrixColumn {
  readonly machine: MachineName;
  readonly step: string;
  readonly calls: readonly CallSpec[];
  readonly preparation?: Preparation;
}

/** Rows: faults of the harness, and two that lie in the caller. */
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

function call(
  sender: string,
  kind: CallKind,
  patch: Partial<CallSpec> = {},
): CallSpec {
  return {
    id: sender,
    sender,
    kind,
    isPoison: false,
    entryIndex: 0,
    atMs: START_MS,
    waitMs: WAIT_MS,
    maxSends: patch.key === undefined ? 1 : 3,
    ...patch,
  };
}

const modelCalls: readonly CallSpec[] = [
  call('m0', 'patient', {key: 'k0'}),
  call('m1', 'model', {key: 'k1', entryIndex: 1, atMs: START_MS + 5}),
  call('m2', 'model', {entryIndex: 2, atMs: START_MS + 9}),
];
const adoptedCalls: readonly CallSpec[] = [
  call('m0', 'patient', {key: 'k0'}),
  call('m1', 'patient', {
    id: 'm0',
    key: 'k0',
    entryIndex: 1,
    atMs: START_MS + 60,
  }),
];
const plainCalls: readonly CallSpec[] = [call('p0', 'plain')];
const singleCalls: readonly CallSpec[] = [call('s0', 'single', {key: 'k0'})];
const racingCalls: readonly CallSpec[] = [
  call('s0', 'single', {key: 'k0'}),
  call('s1', 'single', {
    id: 's0',
    key: 'k0',
    entryIndex: 1,
    atMs: START_MS + 2,
  }),
];
const hurriedCalls: readonly CallSpec[] = [
  call('s0', 'single', {key: 'k0', waitMs: 120}),
];

const engineDeath: Preparation = {
  atStep: 'decoding',
  kind: 'decode engine dies',
  targets: [0, 1],
};

function columnsOf(
  machine: MachineName,
  calls: readonly CallSpec[],
  steps: readonly string[],
  preparation?: Preparation,
): readonly MatrixColumn[] {
  return steps.map(step => ({machine, step, calls, preparation}));
}

export const matrixColumns: readonly MatrixColumn[] = [
  ...columnsOf('model', modelCalls, [
    'looking-up',
    'awaiting-grant',
    'awaiting-start',
    'prefilling',
    'importing',
    'decoding',
  ]),
  ...columnsOf(
    'model',
    modelCalls,
    ['probing', 'asking-retry', 'backing-off'],
    engineDeath,
  ),
  ...columnsOf('model', adoptedCalls, ['adopted']),
  ...columnsOf('model', modelCalls, ['ended']),
  ...columnsOf('plain', plainCalls, ['calling', 'ended']),
  ...columnsOf('plain', plainCalls, ['probing', 'asking-retry'], {
    atStep: 'calling',
    kind: 'service dies',
    targets: [0, 1],
  }),
  ...columnsOf('single', singleCalls, [
    'awaiting-intent',
    'calling',
    'recording',
    'ended',
  ]),
  ...columnsOf('single', racingCalls, ['waiting']),
  ...columnsOf('single', singleCalls, ['asking-retry'], {
    atStep: 'awaiting-intent',
    kind: 'service dies',
    targets: [0, 1],
  }),
  ...columnsOf('single', hurriedCalls, ['lingering'], {
    atStep: 'calling',
    kind: 'service freezes',
    targets: [0, 1],
  }),
];

export interface CellResult {
  readonly isReached: boolean;
  readonly runs: readonly RunResult[];
}

function faultEvents(kind: MatrixFault, target: number): readonly FaultEvent[] {
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
  const {machine, step, preparation} = column;
  const faults = [
    ...faultEvents(first, target),
    ...(second ? faultEvents(second, target + 1) : []),
  ];
  const prepared = (preparation?.targets ?? []).flatMap(each =>
    faultEvents(preparation!.kind, each),
  );
  let isReached = false;
  const calls = column.calls.map(each => ({
    ...each,
    isPoison: first === 'request is poison' && each.id === column.calls[0].id,
  }));
  const result = await runPrepared(
    {seed: 1 + target, calls, faults: [...prepared, ...faults]},
    {name: 'watch', machines: watch.machines},
    (site, callers) => {
      if (preparation) {
        watch.onStep(machine, preparation.atStep, () => {
          site.clock.setTimer(0, () =>
            prepared.forEach(fault => injectFault(site, fault)),
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

/** Runs a cell once for each process or upstream that the fault may strike. */
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
