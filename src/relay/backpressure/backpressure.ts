/** What holds requests back as upstreams ask for, put together. */

import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {Random} from '../../ports/random.js';
import type {UpstreamSignalListener} from '../../ports/relay.js';
import {createAskClient, FIRST_ASK_IDS} from '../fleet/ask_client.js';
import {createAskDesk} from '../fleet/ask_desk.js';
import {rankOwners} from '../fleet/owners.js';
import type {RelayMetrics} from '../relay_metrics.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';
import {createLimitGate, type LimitGate} from './limit_gate.js';
import type {
  PermitAnswer,
  PermitAsk,
  PermitMessage,
} from './permit_messages.js';
import {createPermitSchedule} from './permit_schedule.js';
import {createSignalLog} from './signal_log.js';
import {createUpstreamLimits, type UpstreamLimits} from './upstream_limits.js';

export interface BackpressureHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly metrics: Pick<RelayMetrics, 'count'>;
  readonly hostId: string;
  readonly registry: Pick<UpstreamRegistry, 'get' | 'markLeaving' | 'onLeft'>;
  /** Live hosts that are not about to leave, this one among them. */
  hostIds(): readonly string[];
  tell(hostId: string, message: PermitMessage): void;
  /** Peers should hear of a change at once. */
  onChange(): void;
}

export interface Backpressure {
  readonly gate: LimitGate;
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
  const signalLog = createSignalLog({clock, log, metrics});
  const owners = (id: string) => rankOwners('limit', id, host.hostIds());
  const schedule = createPermitSchedule({clock});
  const gate = createLimitGate({
    clock,
    hostId,
    limits,
    schedule,
    client,
    owners,
  });
  const desk = createAskDesk<PermitAsk, PermitAnswer>({
    clock,
    decide: gate.decide,
    tell: host.tell,
  });
  registry.onLeft(id => {
    limits.forget(id);
    signalLog.forget(id);
    gate.forget(id);
  });

  return {
    gate,
    limits,
    owners,
    signals: {
      heard({id}, signals, sentAtMs) {
        signalLog.note(id, signals);
        if (signals.isLeaving) registry.markLeaving(id);
        limits.noteAnswer(id, signals.limitPerS, sentAtMs);
      },
    },
    receive(fromHostId, message) {
      if (message.kind === 'permit-ask') desk.receive(fromHostId, message);
      else client.receive(fromHostId, message);
    },
  };
}
