/** Calls back when a request state machine first reaches a step. */

import {stepModel} from '../../src/core/request/model_machine.js';
import {stepPlain} from '../../src/core/request/plain_machine.js';
import {stepSingleRun} from '../../src/core/request/single_run_machine.js';
import type {RequestMachines} from '../../src/request/request_host.js';

export type MachineName = 'model' | 'plain' | 'single';

export interface StepWatch {
  readonly machines: RequestMachines;
  /** Calls `callback` once, as soon as the step is reached. */
  onStep(machine: MachineName, step: string, callback: () => void): void;
}

export function createStepWatch(): StepWatch {
  const callbacksByStep = new Map<string, (() => void)[]>();

  function notifyStep(
    machine: MachineName,
    before: string,
    after: string,
  ): void {
    if (before === after) return;
    const name = `${machine} ${after}`;
    const callbacks = callbacksByStep.get(name) ?? [];
    callbacksByStep.delete(name);
    callbacks.forEach(callback => callback());
  }

  return {
    machines: {
      stepModel(facts, state, event) {
        const result = stepModel(facts, state, event);
        notifyStep('model', state.step, result.state.step);
        return result;
      },
      stepPlain(facts, state, event) {
        const result = stepPlain(facts, state, event);
        notifyStep('plain', state.step, result.state.step);
        return result;
      },
      stepSingleRun(facts, state, event) {
        const result = stepSingleRun(facts, state, event);
        notifyStep('single', state.step, result.state.step);
        return result;
      },
    },
    onStep(machine, step, callback) {
      const name = `${machine} ${step}`;
      callbacksByStep.set(name, [
        ...(callbacksByStep.get(name) ?? []),
        callback,
      ]);
    },
  };
}
