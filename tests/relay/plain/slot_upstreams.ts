/**
 * Upstreams of a plain service in virtual time: six slots each, and a queue that
 * halves the speed when it is long. They can be slow, pause or be lost.
 */

import {createSeededRandom} from '../../../src/core/seeded_random.js';
import type {Clock} from '../../../src/ports/clock.js';
import type {Random} from '../../../src/ports/random.js';

export interface SlotUpstreamsHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly startMs: number;
}

export interface SlotUpstreamsOptions {
  readonly seed: number;
  /** Mean duration of a call without waiting at the upstream. */
  readonly workMs?: number;
  /** Share of the seconds in which calls at an upstream take 2.5 times as long. */
  readonly slowShare?: number;
  /** From this time on, all calls take this many times as long. */
  readonly slowdown?: {readonly fromMs: number; readonly factor: number};
  /** Do no work in this time; connections to them are accepted. */
  readonly paused?: UpstreamFault;
  /** Close each new connection in this time, once the call was written. */
  readonly resetting?: UpstreamFault;
  /** Break off their calls and refuse connections in this time. */
  readonly lost?: UpstreamFault;
}

export interface UpstreamFault {
  /** Number of upstreams. */
  readonly count: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** How a call ends at an upstream. */
export type WorkEnd = 'ok' | 'full' | 'broken' | 'reset' | 'unreachable';

export const SLOTS = 6;
const QUEUE = 24;
const WORK_MS = 43;
const SLOW_FACTOR = 2.5;
/** Until a resetting upstream has closed a connection. */
const RESET_MS = 10;

interface UpstreamModel {
  running: number;
  readonly queue: Array<() => void>;
}

export function createSlotUpstreams(
  {clock, random, startMs}: SlotUpstreamsHost,
  options: SlotUpstreamsOptions,
  ids: readonly string[],
) {
  const models = new Map<string, UpstreamModel>();
  for (const id of ids) models.set(id, {running: 0, queue: []});
  let maxConcurrency = 0;

  const slowRandom = createSeededRandom(options.seed + 1_000);
  const slowSeconds = new Map<string, boolean>();
  function slowFactor(id: string): number {
    const {slowdown} = options;
    if (slowdown && clock.nowMs() - startMs >= slowdown.fromMs) {
      return slowdown.factor;
    }
    const key = `${id} ${Math.floor(clock.nowMs() / 1_000)}`;
    const isSlow =
      slowSeconds.get(key) ?? slowRandom.nextFloat() < (options.slowShare ?? 0);
    slowSeconds.set(key, isSlow);
    return isSlow ? SLOW_FACTOR : 1;
  }

  function isIn(fault: UpstreamFault | undefined, id: string): boolean {
    const atMs = clock.nowMs() - startMs;
    if (!fault || ids.indexOf(id) >= fault.count) return false;
    return atMs >= fault.fromMs && atMs < fault.untilMs;
  }

  /** What was to be done during a pause. */
  let held: Array<() => void> = [];
  if (options.paused) {
    clock.setTimer(options.paused.untilMs, () => {
      const resumed = held;
      held = [];
      for (const resume of resumed) resume();
    });
  }

  function enter(id: string, end: (how: WorkEnd) => void): void {
    if (isIn(options.paused, id)) return void held.push(() => enter(id, end));
    const model = models.get(id)!;
    const {queue} = model;
    if (isIn(options.resetting, id)) {
      clock.setTimer(RESET_MS, () => end('reset'));
      return;
    }
    if (queue.length >= QUEUE) return end('full');
    const finish = () => {
      if (isIn(options.paused, id)) return void held.push(finish);
      model.running--;
      end(isIn(options.lost, id) ? 'broken' : 'ok');
      queue.shift()?.();
    };
    const run = () => {
      model.running++;
      const factor = queue.length > QUEUE / 4 ? 2 : 1;
      const meanMs = (options.workMs ?? WORK_MS) * slowFactor(id) * factor;
      clock.setTimer(meanMs * (0.5 + random.nextFloat()), finish);
    };
    if (model.running < SLOTS) run();
    else queue.push(run);
    const atOnce = model.running + queue.length;
    maxConcurrency = Math.max(maxConcurrency, atOnce);
  }

  return {
    work: (id: string): Promise<WorkEnd> =>
      isIn(options.lost, id)
        ? Promise.resolve('unreachable')
        : new Promise(resolve => enter(id, resolve)),
    /** Share of the slots that are free, without those of lost upstreams. */
    freeShare(): number {
      const open = ids.filter(id => !isIn(options.lost, id));
      const running = open.map(id => models.get(id)!.running);
      const busy = running.reduce((sum, count) => sum + count, 0);
      return 1 - busy / (open.length * SLOTS);
    },
    maxConcurrency: () => maxConcurrency,
  };
}
