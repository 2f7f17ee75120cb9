/** Holds back the work of a stand-in that stands still for a while. */

export interface PauseGate {
  readonly isPaused: boolean;
  pause(): void;
  /** Does what was held back, in order. */
  resume(): void;
  /** Does the work at once, or at the end of the pause. */
  run(work: () => void): void;
}

export function createPauseGate(): PauseGate {
  let isPaused = false;
  let held: Array<() => void> = [];
  return {
    get isPaused() {
      return isPaused;
    },
    pause() {
      isPaused = true;
    },
    resume() {
      isPaused = false;
      const works = held;
      held = [];
      for (const work of works) work();
    },
    run(work) {
      if (isPaused) held.push(work);
      else work();
    },
  };
}
