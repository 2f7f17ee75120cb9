/** Connects leaving to the parts of the process that it ends. */

import type {Forwarding} from './forwarding/forwarding.js';
import type {BodyReader} from './front/body_reader.js';
import {
  createLeaving,
  type Leaving,
  type LeavingHost,
} from './front/leaving.js';
import type {RelayFront} from './front/relay_front.js';
import type {PeerExchange} from './fleet/peer_exchange_types.js';
import type {HostStateReader} from './host_state.js';
import type {LiveSettings} from './live_settings.js';
import type {LoopLateness} from './loop_lateness.js';
import type {OpenJobs} from './open_jobs.js';
import type {RelayPlacement} from './placement/relay_placement.js';
import type {Resumption} from './resumption/resumption.js';
import type {StoreWatch} from './store/store_watch.js';

export interface ProcessLeavingHost extends Pick<
  LeavingHost,
  'clock' | 'log' | 'durations'
> {
  readonly live: Pick<LiveSettings, 'current'>;
  readonly loopLateness: Pick<LoopLateness, 'handledUntilMs'>;
  readonly hostState: Pick<HostStateReader, 'hasOtherEntry'>;
  readonly openJobs: Pick<OpenJobs, 'refuseWaiting' | 'endUnanswered'>;
  readonly bodies: Pick<BodyReader, 'refuseOpen'>;
  front(): Pick<RelayFront, 'openCount' | 'cutCount' | 'lastRequestAtMs'>;
  readonly forwarding: Forwarding;
  readonly placement: Pick<RelayPlacement, 'refresh'>;
  readonly peers: Pick<PeerExchange, 'changed'>;
  readonly resumption: Pick<Resumption, 'handOver'>;
  readonly watch: Pick<StoreWatch, 'unregister'>;
}

export function createProcessLeaving(host: ProcessLeavingHost): Leaving {
  const {openJobs, forwarding} = host;
  return createLeaving({
    ...host,
    graceMs: () => host.live.current().leaveGraceMs,
    signalsHandledUntilMs: host.loopLateness.handledUntilMs,
    hasOtherEntry: host.hostState.hasOtherEntry,
    refuseWaiting: openJobs.refuseWaiting,
    endUnanswered(notRun) {
      openJobs.endUnanswered(notRun);
      host.bodies.refuseOpen(notRun);
    },
    openCount: () => host.front().openCount() + forwarding.server.activeCount(),
    cutCount: () => host.front().cutCount() + forwarding.server.activeCount(),
    lastRequestAtMs: () => host.front().lastRequestAtMs(),
    onLeave() {
      host.placement.refresh();
      host.peers.changed('coordinators');
      host.resumption.handOver();
      host.watch.unregister();
    },
  });
}
