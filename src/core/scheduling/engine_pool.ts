/** The engines of one shard with their state as tracked by its home. */

import type {EngineRole} from '../../ports/engine.js';
import {
  createEngineReservations,
  type EngineReservations,
  type EngineDescription,
} from './engine_reservations.js';
import {createLinkSchedule, type LinkSchedule} from './link_schedule.js';
import {createPrefillBacklog, type PrefillBacklog} from './prefill_backlog.js';

export interface PoolEngine {
  description: EngineDescription;
  readonly reservations: EngineReservations;
  readonly link: LinkSchedule;
  readonly backlog: PrefillBacklog;
  isLeaving: boolean;
  /** Smoothed time between tokens of an answer; 0 if unknown. */
  intervalMs: number;
  /** Slots at which the token pace target is met; at most all slots. */
  paceSlots: number;
  /** Slots that may be used now, as limited by pace, ramp and rebuilding. */
  slotLimit: number;
  /** Usable share of its speed; 0 if it must not receive new work. */
  share: number;
  /** Forecast of answers that end per millisecond. */
  completionsPerMs: number;
}

/** Whether the engine may be used in new grants. */
export function takesNewWork(engine: PoolEngine): boolean {
  return !engine.isLeaving && engine.share > 0;
}

export interface EnginePool {
  readonly prefill: readonly PoolEngine[];
  readonly decode: readonly PoolEngine[];
  get(engineId: string): PoolEngine | undefined;
  all(): IterableIterator<PoolEngine>;
  /** Replaces the engines; returns the ids of added and removed ones. */
  set(descriptions: readonly EngineDescription[]): {
    readonly added: readonly string[];
    readonly removed: readonly string[];
  };
  remove(engineId: string): PoolEngine | undefined;
}

function createPoolEngine(description: EngineDescription): PoolEngine {
  return {
    description,
    reservations: createEngineReservations(
      description.slots,
      description.kvBytes,
    ),
    link: createLinkSchedule(),
    backlog: createPrefillBacklog(),
    isLeaving: false,
    intervalMs: 0,
    paceSlots: description.slots,
    slotLimit: description.slots,
    share: 1,
    completionsPerMs: 0,
  };
}

export function createEnginePool(): EnginePool {
  const engines = new Map<string, PoolEngine>();
  const byRole: Readonly<Record<EngineRole, PoolEngine[]>> = {
    prefill: [],
    decode: [],
  };

  function reindex(): void {
    byRole.prefill.length = 0;
    byRole.decode.length = 0;
    for (const engine of engines.values()) {
      byRole[engine.description.role].push(engine);
    }
  }

  function remove(engineId: string): PoolEngine | undefined {
    const engine = engines.get(engineId);
    engines.delete(engineId);
    reindex();
    return engine;
  }

  function isSameEngine(a: EngineDescription, b: EngineDescription): boolean {
    return a.role === b.role && a.address === b.address;
  }

  return {
    prefill: byRole.prefill,
    decode: byRole.decode,
    get: engineId => engines.get(engineId),
    all: () => engines.values(),
    set(descriptions) {
      const added: string[] = [];
      const removed: string[] = [];
      const wanted = new Set(descriptions.map(each => each.engineId));
      for (const engineId of [...engines.keys()]) {
        if (wanted.has(engineId)) continue;
        engines.delete(engineId);
        removed.push(engineId);
      }
      for (const description of descriptions) {
        const known = engines.get(description.engineId);
        if (known && isSameEngine(known.description, description)) {
          known.description = description;
          continue;
        }
        if (known) removed.push(description.engineId);
        engines.set(description.engineId, createPoolEngine(description));
        added.push(description.engineId);
      }
      reindex();
      return {added, removed};
    },
    remove,
  };
}
