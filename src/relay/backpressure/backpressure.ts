/** Creates and connects the parts that apply the limits named by upstreams. */

import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {Random} from '../../ports/random.js';
import type {UpstreamSignalListener} from '../../ports/relay.js';
import {
  createPeerRequestClient,
  FIRST_ASK_ID_RANGE,
} from '../fleet/peer_request_client.js';
import {createPeerRequestServer} from '../fleet/peer_request_server.js';
import {createOwnerRanking} from '../fleet/owners.js';
import type {RelayMetrics} from '../relay_metrics.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';
import {createLimitGate} from './limit_gate.js';
import type {
  PermitReply,
  PermitRequest,
  PermitMessage,
} from './permit_messages.js';
import {createPermitSchedule} from './permit_schedule.js';
import {createSendGate, type SendGate} from './send_gate.js';
import {countSignals} from './signal_counts.js';
import {createUpstreamLimits, type UpstreamLimits} from './upstream_limits.js';
import {createUpstreamRests} from './upstream_rests.js';

export interface BackpressureHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly metrics: Pick<RelayMetrics, 'count'>;
  readonly hostId: string;
  readonly registry: Pick<UpstreamRegistry, 'get' | 'getOpen' | 'markLeaving'>;
  /**
   * Returns the live hosts that aren't leaving, including this one. The array
   * stays the same until the set changes.
   */
  hostIds(): readonly string[];
  send(hostId: string, message: PermitMessage): void;
  /** Called after a change that peers should receive at once. */
  onChange(): void;
}

export interface Backpressure {
  readonly gate: SendGate;
  readonly limits: UpstreamLimits;
  readonly signals: UpstreamSignalListener;
  /** Returns the owners of the upstream's limit, by descending priority. */
  owners(upstreamId: string): readonly string[];
  receive(fromHostId: string, message: PermitMessage): void;
}

export function createBackpressure(host: BackpressureHost): Backpressure {
  const {clock, random, log, metrics, hostId, registry} = host;
  const limits = createUpstreamLimits({
    clock,
    log,
    isKnown: id => registry.get(id) !== undefined,
    onChange: host.onChange,
  });
  const client = createPeerRequestClient<PermitRequest, PermitReply>({
    clock,
    firstAskId: random.nextInt(FIRST_ASK_ID_RANGE),
    tell: host.send,
  });
  const rests = createUpstreamRests({clock, log});
  const owners = createOwnerRanking('limit', {candidates: host.hostIds});
  const schedule = createPermitSchedule({clock});
  const limitGate = createLimitGate({
    clock,
    hostId,
    limits,
    schedule,
    client,
    owners,
  });
  const server = createPeerRequestServer<PermitRequest, PermitReply>({
    decide: limitGate.handleRequest,
    tell: host.send,
  });

  return {
    gate: createSendGate({registry, rests, limitGate}),
    limits,
    owners,
    signals: {
      onSignals({id}, signals, sentAtMs) {
        countSignals(metrics, signals);
        const {isLeaving, restMs} = signals;
        if (isLeaving) registry.markLeaving(id);
        if (restMs !== undefined) rests.note(id, restMs);
        limits.noteAnswer(id, signals.limitPerS, sentAtMs);
      },
    },
    receive(fromHostId, message) {
      if (message.kind === 'permit-ask') server.receive(fromHostId, message);
      else client.receive(fromHostId, message);
    },
  };
}
