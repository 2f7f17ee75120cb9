/** What a simulated run consists of. */

import type {EngineDescription} from '../../src/core/scheduling/engine_reservations.js';
import type {VirtualClock} from '../../src/core/virtual_clock.js';
import type {Random} from '../../src/ports/random.js';
import type {DecodeFake, PrefillFake} from './engine_fakes.js';
import type {Scheduler} from './scheduler.js';
import type {Shape} from './workload.js';

export interface FaultContext {
  readonly clock: VirtualClock;
  readonly cluster: Cluster;
  readonly scheduler: Scheduler;
  readonly random: Random;
}

export interface FaultPlan {
  readonly name: string;
  schedule(context: FaultContext): void;
}

export interface RunPlan {
  readonly shape: Shape;
  readonly seed: number;
  /** Offered rate as a multiple of capacity. */
  readonly load: number;
  readonly durationMs: number;
  readonly warmUpMs: number;
  readonly reportLagMs: number;
  readonly cacheLossShare: number;
  readonly cancelShare: number;
  /** How often a refused caller retries, at the time advised by the refusal. */
  readonly returns: number;
  readonly faults: FaultPlan;
}

export interface Cluster {
  readonly prefills: ReadonlyMap<string, PrefillFake>;
  readonly decodes: ReadonlyMap<string, DecodeFake>;
  readonly descriptions: readonly EngineDescription[];
}
