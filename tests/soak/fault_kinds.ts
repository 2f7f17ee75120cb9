/** Kinds of faults of the soak, the mixes to draw from, and their context. */

import type {Random} from '../../src/ports/random.js';
import type {Crash} from '../../stand_ins/users_platform/engine_stand_in_types.js';
import type {CallKind} from './call_kinds.js';
import type {PartScenario} from './crashing_parts.js';
import type {PauseScenario} from './engine_pauses.js';
import type {CutScenario, HostCut} from './host_cuts.js';
import type {ExitedProcess} from './soak_checks.js';
import type {SoakCallers} from './soak_callers.js';
import type {SoakSite} from './soak_site.js';

export const FAULT_KINDS = [
  'kill',
  'freeze',
  'terminate',
  'roll',
  'hang-up',
  'store-cut',
  'store-down',
  'store-lossy',
  'history-lost',
  'upstream-crash',
  'upstream-leaves',
  'upstream-link',
  'connections-reset',
  'answers-lost',
  'refusals',
  'configure',
] as const;

/** Upstreams that signal backpressure. */
export const BACKPRESSURE_KINDS = [
  'names-limit',
  'says-leaving',
  'asks-rest',
] as const;

/** Not in `FAULT_KINDS`, so that existing seeds still draw the same faults. */
export const OLDER_COPY_KIND = 'store-older-copy';

export const CRASHING_KIND = 'crashing-requests';

/** Requests whose only likeness is a part of their prompts. */
export const CRASHING_PARTS_KIND = 'crashing-parts';

/** Answers without length, and streams that end inside an event. */
export const BROKEN_STREAMS_KIND = 'broken-streams';

export const HOST_CUT_KIND = 'host-cut';

/** Engines of several software versions in one service. */
export const ENGINE_VERSIONS_KIND = 'engine-versions';

/** Sound engines stand still for a while. */
export const ENGINE_PAUSE_KIND = 'engine-pause';

/** Open connections fall silent for good, while new ones work. */
export const SILENT_CONNECTIONS_KIND = 'silent-connections';

/** All hosts receive SIGTERM at once, or in turn before the last has ended. */
export const LEAVE_TOGETHER_KIND = 'leave-together';

/** Configurations that add and drop routes, one after another. */
export const CONFIGURATIONS_KIND = 'configurations';

/** All answers of the store are late; its connections are then reset. */
export const SLOW_STORE_KIND = 'store-slow';

/** Load on all hosts that would take more than their processes may use. */
export const OVERLOAD_KIND = 'overload';

export type FaultKind =
  | typeof OVERLOAD_KIND
  | typeof SLOW_STORE_KIND
  | typeof CONFIGURATIONS_KIND
  | typeof LEAVE_TOGETHER_KIND
  | (typeof FAULT_KINDS)[number]
  | (typeof BACKPRESSURE_KINDS)[number]
  | typeof OLDER_COPY_KIND
  | typeof CRASHING_KIND
  | typeof CRASHING_PARTS_KIND
  | typeof BROKEN_STREAMS_KIND
  | typeof HOST_CUT_KIND
  | typeof ENGINE_VERSIONS_KIND
  | typeof ENGINE_PAUSE_KIND
  | typeof SILENT_CONNECTIONS_KIND;

export const ALL_KINDS: readonly FaultKind[] = [
  ...FAULT_KINDS,
  ...BACKPRESSURE_KINDS,
  OLDER_COPY_KIND,
  CRASHING_KIND,
  BROKEN_STREAMS_KIND,
  HOST_CUT_KIND,
  ENGINE_VERSIONS_KIND,
  ENGINE_PAUSE_KIND,
  SILENT_CONNECTIONS_KIND,
];
/** Drawn beside series of configurations. */
export const CONFIGURATIONS_SOAK_KINDS: readonly FaultKind[] = [
  ...ALL_KINDS,
  SLOW_STORE_KIND,
  'store-down',
];

/**
 * Restores from an older copy, with faults whose writes the restore may lose.
 */
export const OLDER_COPY_SOAK_KINDS: readonly FaultKind[] = [
  OLDER_COPY_KIND,
  OLDER_COPY_KIND,
  'upstream-leaves',
  'upstream-leaves',
  'upstream-leaves',
  'upstream-crash',
  'configure',
  'kill',
  'store-cut',
];
/**
 * Backpressure, with faults in which hosts lose their state or miss updates.
 */
export const BACKPRESSURE_SOAK_KINDS: readonly FaultKind[] = [
  ...BACKPRESSURE_KINDS,
  'kill',
  'store-down',
];

/** Requests that crash upstreams, with faults that look like crashes. */
export const CRASH_SOAK_KINDS: readonly FaultKind[] = [
  CRASHING_KIND,
  CRASHING_KIND,
  CRASHING_KIND,
  'kill',
  'freeze',
  'upstream-link',
  'connections-reset',
  'answers-lost',
  'store-cut',
];

/** Parts of prompts that crash upstreams, with faults that look like crashes. */
export const PARTS_SOAK_KINDS: readonly FaultKind[] = [
  CRASHING_PARTS_KIND,
  CRASHING_PARTS_KIND,
  CRASHING_PARTS_KIND,
  'kill',
  'freeze',
  'upstream-crash',
  'connections-reset',
  'answers-lost',
  'store-cut',
];

/** Streams that break off, with faults that resets and resumptions add to. */
export const BROKEN_STREAMS_SOAK_KINDS: readonly FaultKind[] = [
  BROKEN_STREAMS_KIND,
  BROKEN_STREAMS_KIND,
  BROKEN_STREAMS_KIND,
  'connections-reset',
  'upstream-link',
  'upstream-crash',
  'freeze',
];

/** Hosts without upstreams, with faults of those that serve for them. */
export const HOST_CUT_SOAK_KINDS: readonly FaultKind[] = [
  HOST_CUT_KIND,
  HOST_CUT_KIND,
  'kill',
  'freeze',
  'upstream-crash',
  'upstream-link',
  'answers-lost',
  'configure',
];

/** Several versions, with faults in which hosts lose what they know. */
export const ENGINE_VERSIONS_SOAK_KINDS: readonly FaultKind[] = [
  ENGINE_VERSIONS_KIND,
  ENGINE_VERSIONS_KIND,
  ENGINE_VERSIONS_KIND,
  'kill',
  'kill',
  'terminate',
  'freeze',
  'store-cut',
  'upstream-crash',
  'connections-reset',
  HOST_CUT_KIND,
];

/** Pauses, with faults that silence connections or take engines away. */
export const ENGINE_PAUSE_SOAK_KINDS: readonly FaultKind[] = [
  ENGINE_PAUSE_KIND,
  ENGINE_PAUSE_KIND,
  ENGINE_PAUSE_KIND,
  ENGINE_PAUSE_KIND,
  SILENT_CONNECTIONS_KIND,
  SILENT_CONNECTIONS_KIND,
  'configure',
  'refusals',
  'kill',
  'freeze',
  'store-cut',
  'upstream-crash',
  'upstream-leaves',
  'connections-reset',
];

/** Hosts that leave, with faults that hold requests or their process up. */
export const LEAVING_SOAK_KINDS: readonly FaultKind[] = [
  LEAVE_TOGETHER_KIND,
  LEAVE_TOGETHER_KIND,
  'terminate',
  'roll',
  'hang-up',
  'configure',
  'freeze',
  'refusals',
  'store-cut',
  'upstream-leaves',
  ENGINE_PAUSE_KIND,
];

/** Load, with faults that stop hosts or keep them from the store meanwhile. */
export const OVERLOAD_SOAK_KINDS: readonly FaultKind[] = [
  OVERLOAD_KIND,
  OVERLOAD_KIND,
  OVERLOAD_KIND,
  OVERLOAD_KIND,
  LEAVE_TOGETHER_KIND,
  'terminate',
  'roll',
  'hang-up',
  'kill',
  'configure',
  'store-cut',
  'store-down',
  'history-lost',
  SLOW_STORE_KIND,
];

export interface CrashScenario extends Crash {
  /** Absent if upstreams end for other reasons. */
  readonly kind?: CallKind;
  /** How long an upstream is away; another instance then has its address. */
  readonly restartMs?: number;
  /** Callers disconnect after this time. */
  readonly patienceMs?: number;
  /** Every nth run fails with status 500 and leaves its upstream alive. */
  readonly failsEvery?: number;
}

export interface PlannedFault {
  readonly kind: FaultKind;
  readonly atMs: number;
  readonly forMs: number;
  /** Only for requests that crash upstreams; drawn if absent. */
  readonly crash?: CrashScenario;
  /** Only for parts that crash upstreams; drawn if absent. */
  readonly parts?: PartScenario;
  /** Only for hosts that are cut off; drawn if absent. */
  readonly cut?: CutScenario;
  /** Only for pauses of engines; drawn if absent. */
  readonly pause?: PauseScenario;
}

/** A span in which a host was disrupted; checks excuse such hosts. */
export interface DisruptedSpan {
  readonly hostId: string;
  readonly fromMs: number;
  toMs: number;
  /** Its process was stopped or started, and may have lost state. */
  readonly isOfProcess: boolean;
  /** It received SIGTERM, so that it could end its requests. */
  readonly isPlanned?: boolean;
}

export interface FaultContext {
  readonly site: SoakSite;
  readonly random: Random;
  now(): number;
  /** Sends one request and resolves at its end. */
  call(kind: CallKind, patienceMs?: number): Promise<unknown>;
  callWithParts: SoakCallers['callWithParts'];
  /** Sends first tries of all kinds to all hosts in turn. */
  callEachHost(durationMs: number): Promise<unknown>;
  recordCut(cut: HostCut): void;
  recordDisruption(span: DisruptedSpan): void;
  /** Records the exit of a process that received SIGTERM. */
  recordExit(exit: ExitedProcess): void;
}
