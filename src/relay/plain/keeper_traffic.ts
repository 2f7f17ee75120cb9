/**
 * Decides when requests for slots are sent to the keepers and repeated, and
 * when a keeper counts as silent.
 *
 * Written for several hundred waiting calls: if each were repeated as often as
 * a new one, the repeats would fill the link of the keeper, its answers would
 * arrive too late, and every host would take it for dead.
 */

import type {Clock, TimerHandle} from '../../ports/clock.js';
import type {SlotRequest} from './slot_messages.js';

export interface KeeperTrafficHost {
  readonly clock: Clock;
  /** Number of hosts that may share the keepers, including this one. */
  hostCount(): number;
  send(keeper: string, request: SlotRequest): void;
  /** The keeper did not answer; its requests have been removed. */
  onSilent(keeper: string, askIds: readonly number[]): void;
}

export interface KeeperTraffic {
  /** Whether the keeper may get requests; not if it was silent. */
  isUsable(keeper: string): boolean;
  /** Whether a silent keeper is due for a probe. */
  isProbeDue(keeper: string): boolean;
  /** Sends the request, and repeats it until it is removed. */
  add(keeper: string, askId: number, build: () => SlotRequest): void;
  remove(keeper: string, askId: number): void;
  /** The keeper has sent an answer, to this request or an earlier one. */
  noteAnswer(keeper: string, askId: number): void;
  /** The keeper has died; removes what is known of it. */
  forget(keeper: string): void;
}

/**
 * Two hops take some 4 ms; after this time the datagram is assumed lost and
 * sent again.
 */
const RESEND_MS = 25;
/** A request is sent this often before repeats of it become rare. */
const MAX_FAST_SENDS = 3;
/**
 * A call takes some 40 ms and is on time within 120; a keeper that does not
 * answer may use up about half of that.
 */
const SILENCE_TIMEOUT_MS = 70;
/** How often the oldest request is repeated to check that it is still queued. */
const OLDEST_REPEAT_MS = 100;
/**
 * Finds answers that were lost. Slots are given about in order of age, so a
 * call whose answer was lost is soon the oldest and is repeated earlier.
 */
const QUEUED_REPEAT_MS = 1_000;
/** Interval between probes of a silent keeper. */
const PROBE_INTERVAL_MS = 300;
/**
 * Repeats from all hosts to a keeper. With the answers to them they take less
 * than half of a link of 7 Mbit/s.
 */
const MAX_REPEATS_PER_S = 1_200;
/** Lets a host with few calls repeat each of them as often as it needs. */
const MIN_REPEATS_PER_S = 8;
/** Repeats that may be sent at once, as the time in which they accrue. */
const REPEAT_BURST_MS = 500;
/**
 * New requests without an answer. At 4 ms for an answer this allows 4,000 a
 * second; a keeper that answers late gets fewer instead of more.
 */
const MAX_UNANSWERED = 16;

interface Tracked {
  readonly askId: number;
  readonly build: () => SlotRequest;
  sendCount: number;
  sentAtMs: number;
  isQueued: boolean;
}

interface KeeperState {
  /** Oldest first. */
  readonly requests: Map<number, Tracked>;
  /** When the first request was sent since the last answer. */
  unansweredSinceMs?: number;
  /** The keeper was given more time, as this host itself was late. */
  hasExtended: boolean;
  /** Set while the keeper is not used, because it was silent. */
  probeAtMs?: number;
  repeats: number;
  repeatsAtMs: number;
  timer?: {readonly handle: TimerHandle; readonly dueMs: number};
}

export function createKeeperTraffic(host: KeeperTrafficHost): KeeperTraffic {
  const {clock} = host;
  const keepers = new Map<string, KeeperState>();

  function stateOf(keeper: string): KeeperState {
    let state = keepers.get(keeper);
    if (!state) {
      state = {
        requests: new Map(),
        hasExtended: false,
        repeats: maxRepeats(),
        repeatsAtMs: clock.nowMs(),
      };
      keepers.set(keeper, state);
    }
    return state;
  }

  const repeatsPerS = () =>
    Math.max(MIN_REPEATS_PER_S, MAX_REPEATS_PER_S / host.hostCount());
  const maxRepeats = () => (repeatsPerS() * REPEAT_BURST_MS) / 1_000;

  function takeRepeat(state: KeeperState): boolean {
    const nowMs = clock.nowMs();
    const accrued = ((nowMs - state.repeatsAtMs) * repeatsPerS()) / 1_000;
    state.repeats = Math.min(maxRepeats(), state.repeats + accrued);
    state.repeatsAtMs = nowMs;
    if (state.repeats < 1) return false;
    state.repeats--;
    return true;
  }

  function isOldest(state: KeeperState, request: Tracked): boolean {
    const [oldest] = state.requests.values();
    return oldest === request;
  }

  function nextSendMs(state: KeeperState, request: Tracked): number {
    const {sentAtMs, sendCount, isQueued} = request;
    if (isOldest(state, request)) {
      // Shows whether the keeper still answers anything.
      if (state.unansweredSinceMs !== undefined)
        return Math.max(sentAtMs, state.unansweredSinceMs) + RESEND_MS;
      if (isQueued) return sentAtMs + OLDEST_REPEAT_MS;
    }
    if (isQueued) return sentAtMs + QUEUED_REPEAT_MS;
    const isFast = sendCount < MAX_FAST_SENDS;
    return sentAtMs + (isFast ? RESEND_MS : OLDEST_REPEAT_MS);
  }

  function send(keeper: string, state: KeeperState, request: Tracked): void {
    const nowMs = clock.nowMs();
    request.sendCount++;
    request.sentAtMs = nowMs;
    state.unansweredSinceMs ??= nowMs;
    host.send(keeper, request.build());
  }

  /** Sends requests that were held back while too many were unanswered. */
  function sendNew(keeper: string, state: KeeperState): void {
    const all = [...state.requests.values()];
    const isUnanswered = ({isQueued, sendCount}: Tracked) =>
      !isQueued && sendCount > 0;
    let unanswered = all.filter(isUnanswered).length;
    for (const request of all) {
      if (request.sendCount > 0 || !state.requests.has(request.askId)) continue;
      if (unanswered >= MAX_UNANSWERED) return;
      unanswered++;
      send(keeper, state, request);
    }
  }

  function sendDue(keeper: string, state: KeeperState): void {
    const nowMs = clock.nowMs();
    for (const request of [...state.requests.values()]) {
      const isDue =
        request.sendCount > 0 &&
        state.requests.has(request.askId) &&
        nowMs >= nextSendMs(state, request);
      if (!isDue) continue;
      if (!takeRepeat(state)) return;
      send(keeper, state, request);
    }
  }

  /**
   * Whether the keeper has not answered in time. If this host was late itself,
   * the answers may not have been read yet, so it waits a little longer, once.
   */
  function isSilent(state: KeeperState, lateMs: number): boolean {
    const {unansweredSinceMs} = state;
    if (unansweredSinceMs === undefined) return false;
    const nowMs = clock.nowMs();
    if (nowMs - unansweredSinceMs < SILENCE_TIMEOUT_MS) return false;
    if (lateMs < RESEND_MS || state.hasExtended) return true;
    state.hasExtended = true;
    state.unansweredSinceMs = nowMs - SILENCE_TIMEOUT_MS + RESEND_MS;
    return false;
  }

  function check(keeper: string, state: KeeperState, dueMs: number): void {
    state.timer = undefined;
    if (state.requests.size === 0) return;
    if (isSilent(state, clock.nowMs() - dueMs)) {
      const askIds = [...state.requests.keys()];
      state.requests.clear();
      clearUnanswered(state);
      state.probeAtMs = clock.nowMs() + PROBE_INTERVAL_MS;
      host.onSilent(keeper, askIds);
      return;
    }
    sendNew(keeper, state);
    sendDue(keeper, state);
    planCheck(keeper, state);
  }

  function planCheck(keeper: string, state: KeeperState): void {
    const nowMs = clock.nowMs();
    let dueMs = (state.unansweredSinceMs ?? Infinity) + SILENCE_TIMEOUT_MS;
    for (const request of state.requests.values()) {
      if (request.sendCount === 0) continue;
      dueMs = Math.min(dueMs, nextSendMs(state, request));
    }
    if (dueMs === Infinity || (state.timer && state.timer.dueMs <= dueMs))
      return;
    if (state.timer) clock.clearTimer(state.timer.handle);
    // A repeat beyond the limit stays due; it must not be checked all the time.
    const delayMs = dueMs > nowMs ? dueMs - nowMs : RESEND_MS;
    const checkAtMs = nowMs + delayMs;
    const handle = clock.setTimer(delayMs, () =>
      check(keeper, state, checkAtMs),
    );
    state.timer = {handle, dueMs: checkAtMs};
  }

  function clearUnanswered(state: KeeperState): void {
    state.unansweredSinceMs = undefined;
    state.hasExtended = false;
  }

  return {
    isUsable: keeper => stateOf(keeper).probeAtMs === undefined,
    isProbeDue(keeper) {
      const {probeAtMs, requests} = stateOf(keeper);
      const isDue = probeAtMs !== undefined && clock.nowMs() >= probeAtMs;
      return isDue && requests.size === 0;
    },
    add(keeper, askId, build) {
      const state = stateOf(keeper);
      state.requests.set(askId, {
        askId,
        build,
        sendCount: 0,
        sentAtMs: clock.nowMs(),
        isQueued: false,
      });
      sendNew(keeper, state);
      planCheck(keeper, state);
    },
    remove(keeper, askId) {
      const state = keepers.get(keeper);
      if (!state?.requests.delete(askId)) return;
      if (state.requests.size === 0) clearUnanswered(state);
    },
    noteAnswer(keeper, askId) {
      const state = keepers.get(keeper);
      if (!state) return;
      clearUnanswered(state);
      const request = state.requests.get(askId);
      if (!request) return;
      request.isQueued = true;
      // Late answers to earlier requests do not make the keeper usable.
      state.probeAtMs = undefined;
      sendNew(keeper, state);
      planCheck(keeper, state);
    },
    forget(keeper) {
      const state = keepers.get(keeper);
      if (state?.timer) clock.clearTimer(state.timer.handle);
      keepers.delete(keeper);
    },
  };
}
