/** Tells when a machine of the site first reaches a step. */

import {stepModel} from '../../src/core/request/model_machine.js';
import {stepPlain} from '../../src/core/request/plain_machine.js';
import {stepSingleRun} from '../../src/core/request/single_run_machine.js';
import type {RequestMachines} from '../../src/request/request_host.js';

export type MachineName = 'model' | 'plain' | 'single';

export interface StepWatch {
  readonly machines: RequestMachines;
  /** Calls back once, in the moment when the step is reached. */
  onStep(machine: MachineName, step: string, callback: () => void): void;
}

export function createStepWatch(): StepWatch {
  const waiting = new Map<string, (() => void)[]>();

  function note(machine: MachineName, before: string, after: string): void {
    if (before === after) return;
    const name = `${machine} ${after}`;
    const callbacks = waiting.get(name) ?? [];
    waiting.delete(name);
    callbacks.forEach(callback => callback());
  }

  return {
    machines: {
      stepModel(facts, state, event) {
        const result = stepModel(facts, state, event);
        note('model', state.step, result.state.step);
        return result;
      },
      stepPlain(facts, state, event) {
        const result = stepPlain(facts, state, event);
        note('plain', state.step, result.state.step);
        return result;
      },
      stepSingleRun(facts, state, event) {
        const result = stepSingleRun(facts, state, event);
        note('single', state.step, result.state.step);
        return result;
      },
    },
    onStep(machine, step, callback) {
      const name = `${machine} ${step}`;
      waiting.set(name, [...(waiting.get(name) ?? []), callback]);
    },
  };
}
