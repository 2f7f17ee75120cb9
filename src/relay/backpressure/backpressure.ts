/** What holds requests back as upstreams ask for, put together. */

import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {Random} from '../../ports/random.js';
import type {UpstreamSignalListener} from '../../ports/relay.js';
import {createAskClient, FIRST_ASK_IDS} from '../fleet/ask_client.js';
import {createAskDesk} from '../fleet/ask_desk.js';
import {createOwnerRanking} from '../fleet/owners.js';
import type {RelayMetrics} from '../relay_metrics.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';
import {createLimitGate} from './limit_gate.js';
import type {
  PermitAnswer,
  PermitAsk,
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
   * Live hosts that are not about to leave, this one among them; the same array
   * until one changes.
   */
  hostIds(): readonly string[];
  tell(hostId: string, message: PermitMessage): void;
  /** Peers should hear of a change at once. */
  onChange(): void;
}

export interface Backpressure {
  readonly gate: SendGate;
  readonly limits: UpstreamLimits;
  readonly signals: UpstreamSignalListener;
  /** Who owns the upstream's limit, first choice first. */
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
  const client = createAskClient<PermitAsk, PermitAnswer>({
    clock,
    firstAskId: random.nextInt(FIRST_ASK_IDS),
    tell: host.tell,
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
  const desk = createAskDesk<PermitAsk, PermitAnswer>({
    clock,
    decide: limitGate.decide,
    tell: host.tell,
  });

  return {
    gate: createSendGate({registry, rests, limitGate}),
    limits,
    owners,
    signals: {
      heard({id}, signals, sentAtMs) {
        countSignals(metrics, signals);
        const {isLeaving, restMs} = signals;
        if (isLeaving) registry.markLeaving(id);
        if (restMs !== undefined) rests.note(id, restMs);
        limits.noteAnswer(id, signals.limitPerS, sentAtMs);
      },
    },
    receive(fromHostId, message) {
      if (message.kind === 'permit-ask') desk.receive(fromHostId, message);
      else client.receive(fromHostId, message);
    },
  };
}
