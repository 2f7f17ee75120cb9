/** Measures how fast the events of one run arrive. */

import type {Clock} from '../../ports/clock.js';

export interface RunPaceHost {
  readonly clock: Clock;
  /** Called for each stretch of events, with the mean time between them. */
  onMeasured(msPerEvent: number, durationMs: number): void;
}

export interface RunPaceMeter {
  /** Events arrived at once. */
  noteEvents(count: number): void;
  /**
   * Starts a new stretch after a pause that was not the engine's: events that
   * wait for a slow caller would make the engine look slow.
   */
  restart(): void;
}

/**
 * Several events may arrive in one packet, so single gaps are not used. A
 * stretch of this length has a few events, and several of them fit into the
 * second in which a sudden change must show.
 */
const MIN_STRETCH_MS = 200;
/** A longer time between two events is a pause, which shows no speed. */
const MAX_GAP_MS = 1_000;

export function createRunPaceMeter(host: RunPaceHost): RunPaceMeter {
  const {clock} = host;
  /** When the first event of the stretch arrived; it counts only as its start. */
  let startedAtMs: number | undefined;
  let lastAtMs = 0;
  let events = 0;

  return {
    noteEvents(count) {
      const nowMs = clock.nowMs();
      const gapMs = nowMs - lastAtMs;
      lastAtMs = nowMs;
      if (startedAtMs === undefined || gapMs > MAX_GAP_MS) {
        startedAtMs = nowMs;
        events = count - 1;
        return;
      }
      const durationMs = nowMs - startedAtMs;
      if (durationMs < MIN_STRETCH_MS) {
        events += count;
        return;
      }
      host.onMeasured(durationMs / (events + 1), durationMs);
      startedAtMs = nowMs;
      events = count - 1;
    },
    restart() {
      startedAtMs = undefined;
    },
  };
}
