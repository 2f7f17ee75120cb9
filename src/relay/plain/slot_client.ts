/**
 * Gets a slot of a plain service for a call. Where few hosts share the
 * upstreams each host chooses by itself; of many hosts, one (the keeper) keeps
 * the slots for all.
 *
 * A keeper may be dead, frozen or cut off. It must answer at once; otherwise
 * the second keeper is asked, and then this host uses its own part of the
 * slots, with a queue of its own.
 */

import type {RequestError} from '../../core/error_kinds.js';
import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {Cancellation} from '../../ports/relay.js';
import type {
  PlainBalancer,
  PlainCallResult,
} from '../../scheduling/plain_balancer.js';
import {createKeeperTraffic} from './keeper_traffic.js';
import {createResetMemory} from './reset_memory.js';
import type {SlotAnswer, SlotRequest, SlotEnd} from './slot_messages.js';
import type {Upstream} from '../../core/upstream.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';
import type {Waiting} from '../placement/wait_rules.js';

export interface SlotClientHost {
  readonly clock: Clock;
  readonly log: Logger;
  /**
   * Differs for each process start, so that answers to an earlier process are
   * not mistaken for answers to this one.
   */
  readonly firstAskId: number;
  readonly registry: UpstreamRegistry;
  readonly balancer: PlainBalancer;
  /**
   * The hosts that keep the slots, in order of preference; empty where hosts
   * are few.
   */
  keepers(service: string): readonly string[];
  /** Number of hosts that may share the keepers, including this one. */
  hostCount(): number;
  send(hostId: string, message: SlotRequest | SlotEnd): void;
  /** Asks for a slot of the part that this host uses when no keeper answers. */
  sendToOwnPart(message: SlotRequest | SlotEnd): void;
}

/** Sender id of answers from this host's own part of the slots. */
export const OWN_PART = '*own-part';

export interface SlotNeed {
  readonly requestId: string;
  readonly service: string;
  /** The client account, if callers have one. */
  readonly account?: string;
  readonly waiting: Waiting;
}

/** What else the end of a call showed about its upstream. */
export type EndNotes = Pick<SlotEnd, 'isFull' | 'wasReset'>;

/** A reservation for one call at an upstream. */
export interface Slot {
  readonly kind: 'slot';
  readonly upstream: Upstream;
  /** A keeper, or the part of this host, queues the calls of the service. */
  readonly hasQueue: boolean;
  /** The upstream resets connections at present. */
  readonly isResetting: boolean;
  /** Releases the slot when the call has ended; later calls do nothing. */
  end(result: PlainCallResult, notes?: EndNotes): void;
}

export type SlotOutcome =
  | Slot
  | {readonly kind: 'refused'; readonly error: RequestError}
  /** No upstream is left to try. */
  | {readonly kind: 'none'}
  | {readonly kind: 'cancelled'};

export interface SlotClient {
  acquire(
    need: SlotNeed,
    tried: ReadonlySet<string>,
    cancellation: Cancellation,
  ): Promise<SlotOutcome>;
  /** Whether another upstream is left to try. */
  hasOther(service: string, tried: ReadonlySet<string>): boolean;
  /** Mean duration of a call of the service, as measured by this host. */
  meanCallMs(service: string): number;
  receive(fromHostId: string, answer: SlotAnswer): void;
  /** The keeper died; the requests that wait there are made elsewhere. */
  forget(hostId: string): void;
}

/** Request ids in one log line. */
const MAX_LOGGED_IDS = 8;
/** Assumed until calls of the service have ended at this host. */
const INITIAL_CALL_MS = 40;
const SMOOTHING = 0.1;
/**
 * A call that takes longer than both may have run through a pause of its
 * upstream, which must not make the next ones seem hopeless. One call in a
 * hundred takes five times as long as the mean.
 */
const LONG_CALLS = 6;
const LONG_MS = 250;
/** A long call counts as this multiple of the mean, so lasting changes show. */
const LONG_COUNTED_CALLS = 2;

/**
 * Result of a request to one keeper: `silent` if it does not answer, `unknown`
 * if this host's list does not have the upstream that it chose.
 */
type KeeperOutcome = SlotOutcome | 'silent' | 'unknown';

type ReleaseSlot = (
  result: PlainCallResult,
  durationMs: number,
  notes?: EndNotes,
) => void;

interface PendingRequest {
  readonly keeper: string;
  readonly need: SlotNeed;
  readonly resolve: (outcome: KeeperOutcome) => void;
  readonly grant: (upstreamId: string, isResetting: boolean) => void;
}

export function createSlotClient(host: SlotClientHost): SlotClient {
  const {clock, log, registry, balancer} = host;
  const pending = new Map<number, PendingRequest>();
  /**
   * Requests whose slots are in use. A repeated answer to one of them must not
   * release its slot.
   */
  const askIdsInUse = new Set<number>();
  const traffic = createKeeperTraffic({
    clock,
    hostCount: host.hostCount,
    send: host.send,
    onSilent: handleSilence,
  });
  const resets = createResetMemory({clock});
  const meanMsByService = new Map<string, number>();
  let nextAskId = host.firstAskId;

  const meanCallMs = (service: string) =>
    meanMsByService.get(service) ?? INITIAL_CALL_MS;

  function recordDuration(service: string, durationMs: number): void {
    const before = meanCallMs(service);
    const isLong = durationMs > Math.max(LONG_MS, LONG_CALLS * before);
    const countedMs = isLong ? LONG_COUNTED_CALLS * before : durationMs;
    meanMsByService.set(service, before + SMOOTHING * (countedMs - before));
  }

  function chooseLocally(
    service: string,
    tried: ReadonlySet<string>,
  ): SlotOutcome {
    const picked = balancer.pick(service, tried);
    const upstream = picked && registry.get(picked.upstreamId);
    if (!upstream) return {kind: 'none'};
    balancer.started(service, upstream.id);
    const origin = {hasQueue: false, isResetting: false};
    return toSlot(upstream, origin, (result, durationMs) =>
      balancer.ended(service, upstream.id, result, durationMs),
    );
  }

  function toSlot(
    upstream: Upstream,
    origin: Pick<Slot, 'hasQueue' | 'isResetting'>,
    onEnd: ReleaseSlot,
  ): Slot {
    const startedAtMs = clock.nowMs();
    let isOpen = true;
    return {
      kind: 'slot',
      upstream,
      hasQueue: origin.hasQueue,
      isResetting: origin.isResetting || resets.isResetting(upstream.id),
      end(result, notes) {
        if (!isOpen) return;
        isOpen = false;
        const durationMs = clock.nowMs() - startedAtMs;
        if (notes?.wasReset) resets.note(upstream.id);
        if (result === 'ok') recordDuration(upstream.service, durationMs);
        onEnd(result, durationMs, notes);
      },
    };
  }

  function toRequest(
    askId: number,
    need: SlotNeed,
    tried: ReadonlySet<string>,
  ): SlotRequest {
    const {service, account, waiting} = need;
    const nowMs = clock.nowMs();
    return {
      kind: 'slot-ask',
      askId,
      service,
      avoid: [...tried],
      ageMs: Math.round(nowMs - waiting.arrivedAtMs),
      onTimeMs: Math.round(waiting.onTimeUntilMs - nowMs),
      giveUpMs: Math.round(waiting.giveUpAtMs - nowMs),
      priority: waiting.priority,
      account,
    };
  }

  function sendTo(keeper: string, message: SlotEnd): void {
    if (keeper === OWN_PART) host.sendToOwnPart(message);
    else host.send(keeper, message);
  }

  function requestFrom(
    keeper: string,
    need: SlotNeed,
    tried: ReadonlySet<string>,
    cancellation: Cancellation,
  ): Promise<KeeperOutcome> {
    const askId = nextAskId++;
    const releaseSlot: ReleaseSlot = (result, durationMs, notes) => {
      askIdsInUse.delete(askId);
      sendTo(keeper, {
        kind: 'slot-end',
        askId,
        result,
        durationMs: Math.round(durationMs),
        ...notes,
      });
    };
    return new Promise(resolve => {
      const finish = (outcome: KeeperOutcome) => {
        if (!pending.delete(askId)) return;
        traffic.remove(keeper, askId);
        if (outcome === 'silent') releaseSlot('cancelled', 0);
        resolve(outcome);
      };
      pending.set(askId, {
        keeper,
        need,
        resolve: finish,
        grant(upstreamId, isResetting) {
          const upstream = registry.getOpen(upstreamId);
          if (upstream) askIdsInUse.add(askId);
          else releaseSlot('cancelled', 0);
          // The keeper's list differs, so this host chooses by its own.
          const origin = {hasQueue: true, isResetting};
          finish(upstream ? toSlot(upstream, origin, releaseSlot) : 'unknown');
        },
      });
      cancellation.onCancel(() => {
        if (pending.has(askId)) releaseSlot('cancelled', 0);
        finish({kind: 'cancelled'});
      });
      if (!pending.has(askId)) return;
      const build = () => toRequest(askId, need, tried);
      if (keeper === OWN_PART) host.sendToOwnPart(build());
      else traffic.add(keeper, askId, build);
    });
  }

  /**
   * Asks a silent keeper for a slot that it cannot give, so that no call waits
   * for it: it avoids all upstreams and is refused at once.
   */
  function probe(keeper: string, {service}: SlotNeed): void {
    const askId = nextAskId++;
    traffic.add(keeper, askId, () => ({
      kind: 'slot-ask',
      askId,
      service,
      avoid: registry.open(service).map(({id}) => id),
      ageMs: 0,
      onTimeMs: -1,
      giveUpMs: -1,
    }));
  }

  function isUsable(keeper: string, need: SlotNeed): boolean {
    if (traffic.isUsable(keeper)) return true;
    if (traffic.isProbeDue(keeper)) probe(keeper, need);
    return false;
  }

  function handleSilence(keeper: string, askIds: readonly number[]): void {
    const requests = askIds.flatMap(askId => pending.get(askId) ?? []);
    const needs = requests.map(({need}) => need);
    const [oldest, ...others] = needs;
    if (!oldest) return;
    const otherIds = others.slice(0, MAX_LOGGED_IDS);
    log.warn('Slot keeper does not answer.', {
      request: oldest.requestId,
      keeper,
      ageMs: Math.round(clock.nowMs() - oldest.waiting.arrivedAtMs),
      waiting: needs.length,
      others: otherIds.map(({requestId}) => requestId).join(' '),
    });
    for (const request of requests) request.resolve('silent');
  }

  return {
    async acquire(need, tried, cancellation) {
      const keepers = host.keepers(need.service);
      if (keepers.length === 0) return chooseLocally(need.service, tried);
      for (const keeper of [...keepers, OWN_PART]) {
        if (cancellation.isCancelled) return {kind: 'cancelled'};
        if (keeper !== OWN_PART && !isUsable(keeper, need)) continue;
        const outcome = await requestFrom(keeper, need, tried, cancellation);
        if (outcome === 'unknown') break;
        if (outcome !== 'silent') return outcome;
      }
      return chooseLocally(need.service, tried);
    },
    hasOther: (service, tried) =>
      registry.open(service).some(({id}) => !tried.has(id)),
    meanCallMs,
    receive(fromHostId, answer) {
      const request = pending.get(answer.askId);
      traffic.noteAnswer(fromHostId, answer.askId);
      if (!request || request.keeper !== fromHostId) {
        traffic.remove(fromHostId, answer.askId);
        if (answer.kind !== 'slot-given' || askIdsInUse.has(answer.askId))
          return;
        // No request waits for this answer any more, so the keeper can free the
        // slot.
        const {askId} = answer;
        const result = 'cancelled';
        sendTo(fromHostId, {kind: 'slot-end', askId, result, durationMs: 0});
        return;
      }
      switch (answer.kind) {
        case 'slot-queued':
          return;
        case 'slot-given':
          request.grant(answer.upstream, answer.isResetting === true);
          return;
        case 'slot-refused': {
          const {retryAfterMs} = answer;
          const detail = 'All slots are taken.';
          const error = {kind: 'overloaded', detail, retryAfterMs} as const;
          request.resolve({kind: 'refused', error});
          return;
        }
      }
    },
    forget(hostId) {
      for (const request of [...pending.values()]) {
        if (request.keeper === hostId) request.resolve('silent');
      }
      traffic.forget(hostId);
    },
  };
}
