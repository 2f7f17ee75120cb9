/** What one stream has been through so far, shared by the steps that run it. */

import type {PrefillResultPlace} from '../../ports/relay.js';
import type {Placement, StreamNeed} from '../placement/engine_scheduler.js';
import type {RelayJob} from '../relay_types.js';

export interface StreamState {
  readonly job: RelayJob;
  readonly need: StreamNeed;
  placement: Placement;
  /** Engines that may have run it, in order. */
  readonly ran: string[];
  /** Engines not to be asked again. */
  readonly avoid: Set<string>;
  /** The prompt as a prefill engine read it, until it is used. */
  source?: PrefillResultPlace;
  /** Calls so far that the service counts. */
  countedCalls: number;
  /** An engine has read the prompt for it. */
  wasRead: boolean;
  lastEventId?: string;
  events: number;
  firstByteAtMs?: number;
}
