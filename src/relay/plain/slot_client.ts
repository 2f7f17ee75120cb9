/**
 * An entry's way to a slot of a plain service. Where few hosts share the
 * upstreams each chooses by itself; of many one keeps the slots for all.
 *
 * Guards against a keeper that is dead, frozen or cut off: it answers at once
 * or is passed over, first for the second one, then for this host's own choice.
 */

import type {RequestError} from '../../core/error_kinds.js';
import type {Clock, TimerHandle} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {Cancellation} from '../../ports/relay.js';
import type {
  PlainBalancer,
  PlainCallResult,
} from '../../scheduling/plain_balancer.js';
import type {SlotAnswer, SlotAsk, SlotEnd} from './slot_messages.js';
import type {Upstream} from '../../core/upstream.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';
import type {Waiting} from '../placement/wait_rules.js';

export interface SlotClientHost {
  readonly clock: Clock;
  readonly log: Logger;
  /** Differs for each start, so that asks of another life are not meant. */
  readonly firstAskId: number;
  readonly registry: UpstreamRegistry;
  readonly balancer: PlainBalancer;
  /** Who keeps the slots, first choice first; none where hosts are few. */
  keepers(service: string): readonly string[];
  tell(hostId: string, message: SlotAsk | SlotEnd): void;
}

export interface SlotNeed {
  readonly requestId: string;
  readonly service: string;
  readonly waiting: Waiting;
}

/** A place at an upstream for one call. */
export interface Slot {
  readonly kind: 'slot';
  readonly upstream: Upstream;
  /** The call has ended; calls after the first do nothing. */
  end(result: PlainCallResult): void;
}

export type SlotOutcome =
  | Slot
  | {readonly kind: 'refused'; readonly error: RequestError}
  /** No upstream is left to try. */
  | {readonly kind: 'none'}
  | {readonly kind: 'cancelled'};

export interface SlotClient {
  take(
    need: SlotNeed,
    tried: ReadonlySet<string>,
    cancellation: Cancellation,
  ): Promise<SlotOutcome>;
  /** Whether another upstream could be tried. */
  hasOther(service: string, tried: ReadonlySet<string>): boolean;
  /** How long a call of the service takes, as this host saw it. */
  meanCallMs(service: string): number;
  receive(fromHostId: string, answer: SlotAnswer): void;
  /** The keeper died; whoever waits there asks again. */
  forget(hostId: string): void;
}

/** A lost datagram is sent again after this; two hops take some 4 ms. */
const ASK_AGAIN_MS = 25;
/** A call takes some 40 ms and is on time within 120; a keeper gets half. */
const SILENT_MS = 70;
/** One that waits asks this often whether it still does. */
const STILL_THERE_MS = 100;
/** A keeper that was passed over is not asked for this long. */
const PASSED_OVER_MS = 600;
/** Until calls of the service have ended here. */
const FIRST_CALL_MS = 40;
const SMOOTHING = 0.1;

/** What came of asking one keeper. */
type KeeperOutcome = SlotOutcome | 'silent' | 'unknown';

interface OpenAsk {
  readonly keeper: string;
  readonly resolve: (outcome: KeeperOutcome) => void;
  readonly give: (upstreamId: string) => void;
  heardAtMs: number;
  isQueued: boolean;
}

export function createSlotClient(host: SlotClientHost): SlotClient {
  const {clock, log, registry, balancer} = host;
  const open = new Map<number, OpenAsk>();
  /** Asks whose slots are in use: an answer that comes twice frees none. */
  const inUse = new Set<number>();
  const passedOverUntilMs = new Map<string, number>();
  const meansMs = new Map<string, number>();
  let nextAskId = host.firstAskId;

  const meanCallMs = (service: string) => meansMs.get(service) ?? FIRST_CALL_MS;

  function learn(service: string, durationMs: number): void {
    const before = meanCallMs(service);
    meansMs.set(service, before + SMOOTHING * (durationMs - before));
  }

  function takeOwn(service: string, tried: ReadonlySet<string>): SlotOutcome {
    const picked = balancer.pick(service, tried);
    const upstream = picked && registry.get(picked.upstreamId);
    if (!upstream) return {kind: 'none'};
    balancer.started(service, upstream.id);
    return toSlot(upstream, (result, durationMs) =>
      balancer.ended(service, upstream.id, result, durationMs),
    );
  }

  function toSlot(
    upstream: Upstream,
    onEnd: (result: PlainCallResult, durationMs: number) => void,
  ): Slot {
    const startedAtMs = clock.nowMs();
    let isOpen = true;
    return {
      kind: 'slot',
      upstream,
      end(result) {
        if (!isOpen) return;
        isOpen = false;
        const durationMs = clock.nowMs() - startedAtMs;
        if (result === 'ok') learn(upstream.service, durationMs);
        onEnd(result, durationMs);
      },
    };
  }

  function toAsk(
    askId: number,
    need: SlotNeed,
    tried: ReadonlySet<string>,
  ): SlotAsk {
    const {service, waiting} = need;
    const nowMs = clock.nowMs();
    return {
      kind: 'slot-ask',
      askId,
      service,
      avoid: [...tried],
      ageMs: Math.round(nowMs - waiting.arrivedAtMs),
      onTimeMs: Math.round(waiting.onTimeUntilMs - nowMs),
      giveUpMs: Math.round(waiting.giveUpAtMs - nowMs),
    };
  }

  function askKeeper(
    keeper: string,
    need: SlotNeed,
    tried: ReadonlySet<string>,
    cancellation: Cancellation,
  ): Promise<KeeperOutcome> {
    const askId = nextAskId++;
    const giveBack = (result: PlainCallResult, durationMs: number) => {
      inUse.delete(askId);
      host.tell(keeper, {
        kind: 'slot-end',
        askId,
        result,
        durationMs: Math.round(durationMs),
      });
    };
    return new Promise(resolve => {
      let timer: TimerHandle | undefined;
      const finish = (outcome: KeeperOutcome) => {
        if (!open.delete(askId)) return;
        if (timer) clock.clearTimer(timer);
        resolve(outcome);
      };
      const ask: OpenAsk = {
        keeper,
        resolve: finish,
        heardAtMs: clock.nowMs(),
        isQueued: false,
        give(upstreamId) {
          const upstream = registry.getOpen(upstreamId);
          if (upstream) inUse.add(askId);
          else giveBack('cancelled', 0);
          // Its list is another than this host's, which chooses by its own.
          finish(upstream ? toSlot(upstream, giveBack) : 'unknown');
        },
      };
      const look = () => {
        const pauseMs = ask.isQueued ? STILL_THERE_MS : 0;
        if (clock.nowMs() - ask.heardAtMs >= SILENT_MS + pauseMs) {
          giveBack('cancelled', 0);
          return finish('silent');
        }
        host.tell(keeper, toAsk(askId, need, tried));
        if (open.has(askId)) {
          timer = clock.setTimer(pauseMs + ASK_AGAIN_MS, look);
        }
      };
      open.set(askId, ask);
      cancellation.onCancel(() => {
        if (open.has(askId)) giveBack('cancelled', 0);
        finish({kind: 'cancelled'});
      });
      if (open.has(askId)) look();
    });
  }

  function passOver(keeper: string, need: SlotNeed): void {
    passedOverUntilMs.set(keeper, clock.nowMs() + PASSED_OVER_MS);
    log.warn('A keeper of slots does not answer.', {
      request: need.requestId,
      keeper,
      ageMs: Math.round(clock.nowMs() - need.waiting.arrivedAtMs),
    });
  }

  const isPassedOver = (keeper: string) =>
    (passedOverUntilMs.get(keeper) ?? 0) > clock.nowMs();

  return {
    async take(need, tried, cancellation) {
      for (const keeper of host.keepers(need.service)) {
        if (cancellation.isCancelled) return {kind: 'cancelled'};
        if (isPassedOver(keeper)) continue;
        const outcome = await askKeeper(keeper, need, tried, cancellation);
        if (outcome === 'unknown') break;
        if (outcome !== 'silent') return outcome;
        passOver(keeper, need);
      }
      return takeOwn(need.service, tried);
    },
    hasOther: (service, tried) =>
      registry.open(service).some(({id}) => !tried.has(id)),
    meanCallMs,
    receive(fromHostId, answer) {
      const ask = open.get(answer.askId);
      if (!ask || ask.keeper !== fromHostId) {
        if (answer.kind !== 'slot-given' || inUse.has(answer.askId)) return;
        // Nobody here waits for it any more: the slot is free again.
        const {askId} = answer;
        const result = 'cancelled';
        host.tell(fromHostId, {kind: 'slot-end', askId, result, durationMs: 0});
        return;
      }
      ask.heardAtMs = clock.nowMs();
      switch (answer.kind) {
        case 'slot-queued':
          ask.isQueued = true;
          return;
        case 'slot-given':
          ask.give(answer.upstream);
          return;
        case 'slot-refused': {
          const {retryAfterMs} = answer;
          const detail = 'All slots are taken.';
          const error = {kind: 'overloaded', detail, retryAfterMs} as const;
          ask.resolve({kind: 'refused', error});
          return;
        }
      }
    },
    forget(hostId) {
      for (const ask of [...open.values()]) {
        if (ask.keeper === hostId) ask.resolve('silent');
      }
    },
  };
}
