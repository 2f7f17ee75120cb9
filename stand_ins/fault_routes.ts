/** `PUT /faults`, alike for all stand-ins. */

import type {FaultGate} from './fault_gate.js';
import type {FrontHandler, HttpFront} from './http_front.js';

interface FaultyCore {
  readonly gate: FaultGate;
  crash(): void;
  setFaults(patch: Readonly<Record<string, unknown>>): void;
  setLeaving?(isLeaving: boolean): void;
}

/** Body of `PUT /faults`: what to switch; all else goes to `setFaults`. */
interface FaultPatch {
  readonly frozen?: boolean;
  readonly silence?: boolean;
  readonly crash?: boolean;
  readonly leaving?: boolean;
  readonly [name: string]: unknown;
}

/** Answers before it crashes, so that the one who asked for it knows. */
export function createFaultHandler(
  core: FaultyCore,
  front: () => HttpFront,
): FrontHandler {
  return async request => {
    const {frozen, silence, crash, leaving, ...rest} =
      request.json() as FaultPatch;
    core.setFaults(rest);
    if (frozen === true) core.gate.freeze();
    if (frozen === false) core.gate.thaw();
    if (leaving !== undefined) core.setLeaving?.(leaving);
    if (silence) setImmediate(() => front().silenceConnections());
    if (crash) setImmediate(() => core.crash());
    return {status: 200, body: {}};
  };
}
