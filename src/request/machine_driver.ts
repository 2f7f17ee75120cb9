/**
 * Runs a pure machine: applies each event and has the effects carried out.
 * Events that arise while effects run wait their turn, so that no effect ever
 * sees a state that a later event has made.
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
  const waiting: Event[] = [];

  function apply(event: Event): void {
    const transition = step(state, event);
    state = transition.state;
    transition.effects.forEach(perform);
  }

  return {
    send(event) {
      waiting.push(event);
      if (isRunning) return;
      isRunning = true;
      try {
        for (let next = waiting.shift(); next; next = waiting.shift()) {
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
