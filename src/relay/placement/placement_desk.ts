/**
 * Places streams for the other hosts of a group, with the same scheduler, queue
 * and books as for this host's own.
 *
 * What it gives away counts in its own books until the asking host has
 * announced that it has booked it, or for a second: the asking host may die,
 * or its word may be lost.
 */

import type {Service} from '../../core/routing_types.js';
import type {Clock} from '../../ports/clock.js';
import {
  createCancellation,
  type CancellationSource,
} from '../front/cancellation.js';
import type {
  EngineScheduler,
  Placement,
  PlacementOutcome,
} from './engine_scheduler.js';
import type {
  PlacementAnswer,
  PlacementAsk,
  PlacementMessage,
  PlacementWithdrawal,
} from './placement_messages.js';
import type {SharedLearning} from './shared_learning.js';

export interface PlacementDeskHost {
  readonly clock: Clock;
  readonly scheduler: EngineScheduler;
  readonly learning: SharedLearning;
  findService(name: string): Service | undefined;
  tell(hostId: string, message: PlacementMessage): void;
}

export interface PlacementDesk {
  receive(
    fromHostId: string,
    message: PlacementAsk | PlacementWithdrawal,
  ): void;
  /** The host has booked by itself what it was given for these asks. */
  adopted(hostId: string, askIds: readonly number[]): void;
  /** The host died: nothing it asked for is needed any more. */
  forget(hostId: string): void;
}

/** What was given counts for this long without the other host's word. */
const HELD_FOR_MS = 1_000;
/** A repeated ask gets the same answer for this long. */
const REMEMBERED_MS = 3_000;

interface DeskEntry {
  readonly cancellation: CancellationSource;
  answer: PlacementAnswer;
  held?: Placement;
}

export function createPlacementDesk(host: PlacementDeskHost): PlacementDesk {
  const {clock, scheduler} = host;
  const hosts = new Map<string, Map<number, DeskEntry>>();

  function entriesOf(hostId: string): Map<number, DeskEntry> {
    let entries = hosts.get(hostId);
    if (!entries) {
      entries = new Map();
      hosts.set(hostId, entries);
    }
    return entries;
  }

  function letGo(entry: DeskEntry): void {
    const {held} = entry;
    if (!held) return;
    entry.held = undefined;
    held.prefillBooking.end();
    scheduler.release(held.run);
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

  async function take(fromHostId: string, ask: PlacementAsk): Promise<void> {
    const {askId} = ask;
    const service = host.findService(ask.service);
    // A configuration that has not come here yet: the asking host goes on.
    if (!service) return;
    const nowMs = clock.nowMs();
    // The host that places hears soonest how long starts take by now.
    const startMs = host.learning.meanStartMs();
    const slackMs = ask.startMs - startMs;
    const entry: DeskEntry = {
      cancellation: createCancellation(),
      answer: {kind: 'queued', askId},
    };
    const entries = entriesOf(fromHostId);
    entries.set(askId, entry);
    const placing = scheduler.place(
      {
        requestId: ask.requestId,
        service,
        promptTokens: ask.promptTokens,
        expectedOutputTokens: ask.expectedOutputTokens,
        startMs,
        waiting: {
          arrivedAtMs: nowMs - ask.ageMs,
          onTimeUntilMs: nowMs + ask.onTimeMs + slackMs,
          giveUpAtMs: nowMs + ask.giveUpMs + slackMs,
        },
        callerLeftMs: ask.callerLeftMs,
      },
      entry.cancellation,
    );
    const acknowledge = clock.setTimer(0, () =>
      host.tell(fromHostId, entry.answer),
    );
    const outcome = await placing;
    clock.clearTimer(acknowledge);
    entry.answer = toAnswer(askId, outcome);
    if (outcome.kind === 'placed') {
      entry.held = outcome;
      if (entry.cancellation.isCancelled) letGo(entry);
      clock.setTimer(HELD_FOR_MS, () => letGo(entry));
    }
    host.tell(fromHostId, entry.answer);
    clock.setTimer(REMEMBERED_MS, () => entries.delete(askId));
  }

  return {
    receive(fromHostId, message) {
      const known = hosts.get(fromHostId)?.get(message.askId);
      switch (message.kind) {
        case 'ask':
          if (known) host.tell(fromHostId, known.answer);
          else void take(fromHostId, message);
          return;
        case 'withdraw':
          if (!known) return;
          known.cancellation.cancel();
          letGo(known);
          return;
      }
    },
    adopted(hostId, askIds) {
      const entries = hosts.get(hostId);
      if (!entries) return;
      for (const askId of askIds) {
        const entry = entries.get(askId);
        if (entry) letGo(entry);
      }
    },
    forget(hostId) {
      for (const entry of hosts.get(hostId)?.values() ?? []) {
        entry.cancellation.cancel();
        letGo(entry);
      }
      hosts.delete(hostId);
    },
  };
}
