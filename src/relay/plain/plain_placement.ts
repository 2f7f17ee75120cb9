/** Wires up the client and the server for slots of plain services. */

import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {Random} from '../../ports/random.js';
import type {PlainBalancer} from '../../scheduling/plain_balancer.js';
import {FIRST_ASK_ID_RANGE} from '../fleet/peer_request_client.js';
import {createSlotClient, OWN_PART, type SlotClient} from './slot_client.js';
import {createSlotServer} from './slot_server.js';
import type {ServiceShares} from '../accounts/service_shares.js';
import {createOwnPart} from './own_part.js';
import {maxCallsPerKeeper} from './slot_rules.js';
import type {SlotMessage} from './slot_messages.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';

export interface PlainPlacementHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly hostId: string;
  readonly registry: UpstreamRegistry;
  readonly balancer: PlainBalancer;
  /**
   * The hosts that keep the slots, in order of preference; empty where hosts
   * are few.
   */
  keepers(service: string): readonly string[];
  /** Number of hosts that keep slots of the same upstreams. */
  keeperCount(): number;
  /** Number of hosts that serve callers, including this one. */
  hostCount(): number;
  /** The use of plain services by client accounts, in calls. */
  readonly shares: ServiceShares;
  /** Priority of a request whose host did not state one. */
  leastUrgent(service: string): number | undefined;
  send(hostId: string, message: SlotMessage): void;
}

export interface PlainPlacement {
  readonly slots: SlotClient;
  receive(fromHostId: string, message: SlotMessage): void;
  removeHost(hostId: string): void;
  /** Calls that run or wait in the slots kept by this host. */
  openCallCount(): number;
  /** Calls that run or wait in the part that this host uses without keepers. */
  ownPartCallCount(): number;
}

export function createPlainPlacement(host: PlainPlacementHost): PlainPlacement {
  const {clock, random, hostId, registry, balancer} = host;

  /** Delivers messages to this host itself without a datagram. */
  function send(toHostId: string, message: SlotMessage): void {
    if (toHostId === hostId) receive(hostId, message);
    else host.send(toHostId, message);
  }

  const shared = {
    hostId,
    clock,
    random,
    balancer,
    open: registry.open,
    leastUrgent: host.leastUrgent,
  };
  const server = createSlotServer({
    ...shared,
    maxCallsAt: ({slots: count}) =>
      maxCallsPerKeeper(count, host.keeperCount()),
    isOverShare: host.shares.isOverShare,
    onStarted: (service, account) => host.shares.record(service, account, 1),
    send,
  });
  const ownPart = createSlotServer({
    ...shared,
    maxCallsAt: ({slots: count}) => maxCallsPerKeeper(count, 1),
    part: createOwnPart({
      clock,
      open: registry.open,
      hostCount: host.hostCount,
    }),
    send: (_, answer) => slots.receive(OWN_PART, answer),
  });
  const slots = createSlotClient({
    clock,
    log: host.log,
    firstAskId: random.nextInt(FIRST_ASK_ID_RANGE),
    registry,
    balancer,
    keepers: host.keepers,
    hostCount: host.hostCount,
    send,
    sendToOwnPart: message => ownPart.receive(hostId, message),
  });

  function receive(fromHostId: string, message: SlotMessage): void {
    switch (message.kind) {
      case 'slot-ask':
      case 'slot-end':
        return server.receive(fromHostId, message);
      case 'slot-queued':
      case 'slot-given':
      case 'slot-refused':
        return slots.receive(fromHostId, message);
    }
  }

  return {
    slots,
    receive,
    removeHost(goneHostId) {
      server.forget(goneHostId);
      slots.forget(goneHostId);
    },
    openCallCount: server.openCount,
    ownPartCallCount: ownPart.openCount,
  };
}
