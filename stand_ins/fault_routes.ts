/** Handler of `PUT /faults`, shared by all stand-ins. */

import type {FaultGate} from './fault_gate.js';
import type {RouteHandler, StandInServer} from './stand_in_server.js';

interface FaultyCore {
  readonly gate: FaultGate;
  crash(): void;
  setFaults(patch: Readonly<Record<string, unknown>>): void;
  setLeaving?(isLeaving: boolean): void;
}

/** Body of `PUT /faults`; fields not listed here go to `setFaults`. */
interface FaultPatch {
  readonly frozen?: boolean;
  readonly silence?: boolean;
  readonly crash?: boolean;
  readonly leaving?: boolean;
  readonly [name: string]: unknown;
}

/** Sends the response before a crash, so that the caller gets it. */
export function createFaultHandler(
  core: FaultyCore,
  server: () => StandInServer,
): RouteHandler {
  return async request => {
    const {frozen, silence, crash, leaving, ...rest} =
      request.json() as FaultPatch;
    core.setFaults(rest);
    if (frozen === true) core.gate.freeze();
    if (frozen === false) core.gate.thaw();
    if (leaving !== undefined) core.setLeaving?.(leaving);
    if (silence) setImmediate(() => server().silenceConnections());
    if (crash) setImmediate(() => core.crash());
    return {status: 200, body: {}};
  };
}
