/**
 * Places streams for the other hosts of the group, with the same scheduler,
 * queue and load data as this host's own streams.
 *
 * A placement counts in this host's load until the requesting host has
 * announced it in its own load. It counts for at most a second, because that
 * host may die or its announcements may be lost.
 */

import type {Service} from '../../core/routing_types.js';
import type {Clock} from '../../ports/clock.js';
import {
  createCancellation,
  type CancellationSource,
} from '../front/cancellation.js';
import type {EngineScheduler} from './engine_scheduler.js';
import type {Placement, PlacementOutcome} from './placement_types.js';
import type {
  PlacementAnswer,
  PlacementRequest,
  PlacementMessage,
  PlacementWithdrawal,
} from './placement_messages.js';
import {toPriority} from './request_priority.js';
import type {SharedStatistics} from './shared_statistics.js';

export interface PlacementServerHost {
  readonly clock: Clock;
  readonly scheduler: EngineScheduler;
  readonly statistics: SharedStatistics;
  findService(name: string): Service | undefined;
  send(hostId: string, message: PlacementMessage): void;
}

export interface PlacementServer {
  receive(
    fromHostId: string,
    message: PlacementRequest | PlacementWithdrawal,
  ): void;
  /**
   * The host has announced the placements of these requests in its own load.
   */
  releaseAdopted(hostId: string, askIds: readonly number[]): void;
  /** The host died; its requests are dropped. */
  forget(hostId: string): void;
}

/**
 * A placement counts for this long without an announcement by the other host.
 */
const UNCONFIRMED_HOLD_MS = 1_000;
/** A repeated request gets the same answer for this long. */
const ANSWER_RETENTION_MS = 3_000;

interface ServedRequest {
  readonly cancellation: CancellationSource;
  answer: PlacementAnswer;
  placement?: Placement;
}

/** An optional text of a host, if it is one. */
function toText(value: unknown): string | undefined {
  return typeof value === 'string' ? value : undefined;
}

export function createPlacementServer(
  host: PlacementServerHost,
): PlacementServer {
  const {clock, scheduler} = host;
  const requestsByHost = new Map<string, Map<number, ServedRequest>>();

  function requestsOf(hostId: string): Map<number, ServedRequest> {
    let entries = requestsByHost.get(hostId);
    if (!entries) {
      entries = new Map();
      requestsByHost.set(hostId, entries);
    }
    return entries;
  }

  function releasePlacement(entry: ServedRequest): void {
    const {placement} = entry;
    if (!placement) return;
    entry.placement = undefined;
    placement.prefillReservation.end();
    scheduler.release(placement.run);
  }

  function toAnswer(askId: number, outcome: PlacementOutcome): PlacementAnswer {
    switch (outcome.kind) {
      case 'placed': {
        const {decode, prefill} = outcome;
        return {kind: 'placed', askId, decode: decode.id, prefill: prefill?.id};
      }
      case 'refused': {
        const {detail, retryAfterMs} = outcome.error;
        return {kind: 'refused', askId, detail, retryAfterMs};
      }
      case 'cancelled':
        return {kind: 'refused', askId, detail: 'It was withdrawn.'};
    }
  }

  async function serve(
    fromHostId: string,
    request: PlacementRequest,
  ): Promise<void> {
    const {askId} = request;
    const service = host.findService(request.service);
    // The service is missing from this host's older configuration. The
    // requesting host gets no answer and goes on to the next placer.
    if (!service) return;
    const nowMs = clock.nowMs();
    // The placer has the latest data on the time to the first event, so the
    // limits are computed with its mean instead of that of the requesting host.
    const startMs = host.statistics.meanStartMs();
    const slackMs = request.startMs - startMs;
    const entry: ServedRequest = {
      cancellation: createCancellation(),
      answer: {kind: 'queued', askId},
    };
    const entries = requestsOf(fromHostId);
    entries.set(askId, entry);
    const placing = scheduler.place(
      {
        requestId: request.requestId,
        service,
        promptTokens: request.promptTokens,
        expectedOutputTokens: request.expectedOutputTokens,
        startMs,
        waiting: {
          arrivedAtMs: nowMs - request.ageMs,
          onTimeUntilMs: nowMs + request.onTimeMs + slackMs,
          giveUpAtMs: nowMs + request.giveUpMs + slackMs,
          priority: toPriority(request.priority),
        },
        account: toText(request.account),
        version: toText(request.version),
        callerLeftMs: request.callerLeftMs,
      },
      entry.cancellation,
    );
    const queuedTimer = clock.setTimer(0, () =>
      host.send(fromHostId, entry.answer),
    );
    const outcome = await placing;
    clock.clearTimer(queuedTimer);
    entry.answer = toAnswer(askId, outcome);
    if (outcome.kind === 'placed') {
      entry.placement = outcome;
      if (entry.cancellation.isCancelled) releasePlacement(entry);
      clock.setTimer(UNCONFIRMED_HOLD_MS, () => releasePlacement(entry));
    }
    // A host that was declared dead may still be alive; its request, sent again,
    // must not find that it was refused.
    if (outcome.kind !== 'cancelled') host.send(fromHostId, entry.answer);
    clock.setTimer(ANSWER_RETENTION_MS, () => entries.delete(askId));
  }

  return {
    receive(fromHostId, message) {
      const entry = requestsByHost.get(fromHostId)?.get(message.askId);
      switch (message.kind) {
        case 'ask':
          if (entry) host.send(fromHostId, entry.answer);
          else void serve(fromHostId, message);
          return;
        case 'withdraw':
          if (!entry) return;
          entry.cancellation.cancel();
          releasePlacement(entry);
          return;
      }
    },
    releaseAdopted(hostId, askIds) {
      const entries = requestsByHost.get(hostId);
      if (!entries) return;
      for (const askId of askIds) {
        const entry = entries.get(askId);
        if (entry) releasePlacement(entry);
      }
    },
    forget(hostId) {
      for (const entry of requestsByHost.get(hostId)?.values() ?? []) {
        entry.cancellation.cancel();
        releasePlacement(entry);
      }
      requestsByHost.delete(hostId);
    },
  };
}
