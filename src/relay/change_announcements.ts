/** Applies changes of the configuration and of upstreams, and announces them. */

import type {PlainBalancer} from '../scheduling/plain_balancer.js';
import type {CrashWatch} from './crashes/crash_watch.js';
import type {PeerExchange} from './fleet/peer_exchange_types.js';
import type {StoreReaders} from './fleet/store_readers.js';
import type {RelayFront} from './front/relay_front.js';
import type {RelayPlacement} from './placement/relay_placement.js';
import {applyPlainUpstreams} from './plain/plain_upstreams.js';
import type {Resumption} from './resumption/resumption.js';
import type {RoutingState} from './routing_state.js';
import type {UpstreamRegistry} from './store/upstream_registry.js';

export interface ChangeAnnouncementsHost {
  readonly routing: RoutingState;
  readonly registry: UpstreamRegistry;
  readonly balancer: PlainBalancer;
  readonly front: Pick<RelayFront, 'applyLimits'>;
  readonly placement: Pick<RelayPlacement, 'refresh' | 'onUpstreamsRead'>;
  readonly readers: Pick<StoreReaders, 'isReader'>;
  readonly peers: Pick<PeerExchange, 'isCoordinator' | 'changed'>;
  readonly crashes: Pick<CrashWatch, 'noteList'>;
  readonly resumption: Pick<Resumption, 'noteList'>;
}

export function announceChanges(host: ChangeAnnouncementsHost): void {
  const {routing, registry, front, placement, readers, peers} = host;
  let announcedDigest: number | undefined;
  let announcedLeaving = 0;

  routing.onChange(({limits}) => {
    front.applyLimits(limits);
    placement.refresh();
    applyPlainUpstreams(host);
    // Readers and coordinators announce a new version to all hosts. Others
    // announce it only to nearby hosts: many apply it at once, and the
    // coordinators have it already.
    const isReceivedByAll = readers.isReader() || peers.isCoordinator();
    peers.changed(isReceivedByAll ? 'all' : 'near');
  });
  registry.onChange(() => {
    applyPlainUpstreams(host);
    host.crashes.noteList();
    host.resumption.noteList();
    placement.onUpstreamsRead();
    const leavingCount = registry.leaving('self').length;
    if (leavingCount > announcedLeaving) peers.changed('coordinators');
    announcedLeaving = leavingCount;
    if (registry.digest() === announcedDigest) return;
    announcedDigest = registry.digest();
    if (readers.isReader()) peers.changed('coordinators');
  });
}
