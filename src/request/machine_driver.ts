/**
 * Runs a pure state machine: applies each event and performs its effects.
 * Events sent while effects run are queued, so no effect observes the state of
 * a later event.
 */

import type {Transition} from '../core/request/transition.js';

export interface MachineDriver<State, Event> {
  send(event: Event): void;
  state(): State;
}

export function createMachineDriver<State, Event, Effect>(
  initial: State,
  step: (state: State, event: Event) => Transition<State, Effect>,
  perform: (effect: Effect) => void,
  onSettled: (state: State) => void,
): MachineDriver<State, Event> {
  let state = initial;
  let isRunning = false;
  const pending: Event[] = [];

  function apply(event: Event): void {
    const transition = step(state, event);
    state = transition.state;
    transition.effects.forEach(perform);
  }

  return {
    send(event) {
      pending.push(event);
      if (isRunning) return;
      isRunning = true;
      try {
        for (let next = pending.shift(); next; next = pending.shift()) {
          apply(next);
        }
      } finally {
        isRunning = false;
      }
      onSettled(state);
    },
    state: () => state,
  };
}
