/**
 * An entry's way to engines where many hosts share them: it asks the host that
 * places for its group, which knows exactly what is promised and who waits.
 *
 * Hosts that decide by old news give the same room away, and small hosts
 * cannot bear to hear each change of all others at once.
 *
 * Guards against a placer that is dead, frozen or cut off before anyone has
 * noticed: it acknowledges at once or is passed over, first for the standby,
 * which hears the same news, then for this host's own, older books.
 */

import type {Clock, TimerHandle} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {Cancellation} from '../../ports/relay.js';
import type {
  EngineScheduler,
  PlacementOutcome,
  StreamNeed,
} from './engine_scheduler.js';
import type {
  PlacementAnswer,
  PlacementAsk,
  PlacementMessage,
} from './placement_messages.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';

export interface PlacementClientHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly hostId: string;
  /** Differs for each start, so that asks of another life are not meant. */
  readonly firstAskId: number;
  readonly scheduler: EngineScheduler;
  readonly registry: UpstreamRegistry;
  /** Who places, first choice first; none where few hosts share the engines. */
  placers(): readonly string[];
  tell(hostId: string, message: PlacementMessage): void;
}

export interface PlacementClient {
  place(
    need: StreamNeed,
    cancellation: Cancellation,
  ): Promise<PlacementOutcome>;
  receive(fromHostId: string, answer: PlacementAnswer): void;
  /** The placer died; whoever waits there asks again. */
  forget(hostId: string): void;
  /** Asks whose engines this host has booked by itself by now. */
  adopted(): readonly number[];
}

/**
 * A small host with a burst on its hands answers within this time; after it a
 * datagram is taken for lost and sent again.
 */
const ASK_AGAIN_MS = 80;
/** A placer that has acknowledged nothing for this long is passed over. */
const SILENT_MS = 250;
/** One in the queue shows that it still waits, and asks whether it does. */
const STILL_THERE_MS = 300;
/** A placer that was passed over is not asked for this long. */
const PASSED_OVER_MS = 600;
/** The placer refuses in time by itself; beyond this its word was lost. */
const LATE_REFUSAL_MS = 150;
/** Announcements repeat an adopted ask for this long, should one be lost. */
const ADOPTED_FOR_MS = 1_200;

/**
 * What came of asking one placer: `silent` when it does not acknowledge,
 * `unknown` when it chose engines that take no work as far as this host knows.
 */
type PlacerOutcome = PlacementOutcome | 'silent' | 'unknown';

interface OpenAsk {
  readonly need: StreamNeed;
  readonly placer: string;
  readonly resolve: (outcome: PlacerOutcome) => void;
  heardAtMs: number;
  isQueued: boolean;
}

export function createPlacementClient(
  host: PlacementClientHost,
): PlacementClient {
  const {clock, log, scheduler, registry} = host;
  const open = new Map<number, OpenAsk>();
  const adoptedAtMs = new Map<number, number>();
  const passedOverUntilMs = new Map<string, number>();
  let lastPlacer: string | undefined;
  let nextAskId = host.firstAskId;

  function toAsk(askId: number, need: StreamNeed): PlacementAsk {
    const {waiting} = need;
    const nowMs = clock.nowMs();
    return {
      kind: 'ask',
      askId,
      requestId: need.requestId,
      service: need.service.name,
      promptTokens: need.promptTokens,
      expectedOutputTokens: Math.round(need.expectedOutputTokens),
      ageMs: Math.round(nowMs - waiting.arrivedAtMs),
      onTimeMs: Math.round(waiting.onTimeUntilMs - nowMs),
      giveUpMs: Math.round(waiting.giveUpAtMs - nowMs),
      startMs: Math.round(need.startMs),
      callerLeftMs: Math.round(need.callerLeftMs),
    };
  }

  function askPlacer(
    placer: string,
    need: StreamNeed,
    cancellation: Cancellation,
  ): Promise<PlacerOutcome> {
    const askId = nextAskId++;
    return new Promise(resolve => {
      let timer: TimerHandle | undefined;
      const finish = (outcome: PlacerOutcome) => {
        if (!open.delete(askId)) return;
        if (timer) clock.clearTimer(timer);
        resolve(outcome);
      };
      const ask: OpenAsk = {
        need,
        placer,
        resolve: finish,
        heardAtMs: clock.nowMs(),
        isQueued: false,
      };
      const look = () => {
        const nowMs = clock.nowMs();
        const isLost = nowMs - ask.heardAtMs >= SILENT_MS + pauseMs(ask);
        if (isLost || nowMs > need.waiting.giveUpAtMs + LATE_REFUSAL_MS) {
          host.tell(placer, {kind: 'withdraw', askId});
          return finish('silent');
        }
        host.tell(placer, toAsk(askId, need));
        timer = clock.setTimer(pauseMs(ask) + ASK_AGAIN_MS, look);
      };
      open.set(askId, ask);
      cancellation.onCancel(() => {
        if (open.has(askId)) host.tell(placer, {kind: 'withdraw', askId});
        finish({kind: 'cancelled'});
      });
      if (open.has(askId)) look();
    });
  }

  /** How long the placer may say nothing without cause for doubt. */
  function pauseMs({isQueued}: OpenAsk): number {
    return isQueued ? STILL_THERE_MS : 0;
  }

  function passOver(placer: string, need: StreamNeed): void {
    passedOverUntilMs.set(placer, clock.nowMs() + PASSED_OVER_MS);
    log.warn('A placer does not answer.', {
      request: need.requestId,
      placer,
      ageMs: Math.round(clock.nowMs() - need.waiting.arrivedAtMs),
    });
  }

  function isPassedOver(placer: string): boolean {
    return (passedOverUntilMs.get(placer) ?? 0) > clock.nowMs();
  }

  /** Books what the placer chose, unless the engines take no work here. */
  function adopt(
    answer: Extract<PlacementAnswer, {kind: 'placed'}>,
    need: StreamNeed,
  ): PlacementOutcome | 'unknown' {
    const {decode: decodeId, prefill: prefillId} = answer;
    const decode = registry.getOpen(decodeId);
    const prefill = prefillId ? registry.getOpen(prefillId) : undefined;
    const isKnown = decode && (prefill || !prefillId);
    if (!isKnown) return 'unknown';
    adoptedAtMs.set(answer.askId, clock.nowMs());
    return scheduler.bookChosen(need, {decode, prefill});
  }

  function notePlacer(placer: string | undefined): void {
    if (placer === lastPlacer) return;
    log.info('Another host places for this one.', {placer, before: lastPlacer});
    lastPlacer = placer;
  }

  return {
    async place(need, cancellation) {
      const placers = host.placers();
      notePlacer(placers.at(0));
      for (const placer of placers) {
        if (cancellation.isCancelled) return {kind: 'cancelled'};
        if (placer === host.hostId) break;
        if (isPassedOver(placer)) continue;
        const outcome = await askPlacer(placer, need, cancellation);
        // The lists differ; the placer itself is well, and asked again next.
        if (outcome === 'unknown') break;
        if (outcome !== 'silent') return outcome;
        passOver(placer, need);
      }
      return scheduler.place(need, cancellation);
    },
    receive(fromHostId, answer) {
      const ask = open.get(answer.askId);
      if (!ask || ask.placer !== fromHostId) {
        // Nobody here waits for it any more: the room is free again.
        if (answer.kind !== 'placed' || adoptedAtMs.has(answer.askId)) return;
        host.tell(fromHostId, {kind: 'withdraw', askId: answer.askId});
        return;
      }
      ask.heardAtMs = clock.nowMs();
      switch (answer.kind) {
        case 'queued':
          ask.isQueued = true;
          return;
        case 'placed':
          ask.resolve(adopt(answer, ask.need));
          return;
        case 'refused': {
          const {detail, retryAfterMs} = answer;
          const error = {kind: 'overloaded', detail, retryAfterMs} as const;
          ask.resolve({kind: 'refused', error});
          return;
        }
      }
    },
    forget(hostId) {
      for (const ask of [...open.values()]) {
        if (ask.placer === hostId) ask.resolve('silent');
      }
    },
    adopted() {
      const nowMs = clock.nowMs();
      for (const [askId, atMs] of adoptedAtMs) {
        if (nowMs - atMs > ADOPTED_FOR_MS) adoptedAtMs.delete(askId);
      }
      return [...adoptedAtMs.keys()];
    },
  };
}
