/**
 * Watches a run of a resumable stream while it sends nothing. Another run is
 * prepared while the silent one stays open; the silent one is left only when
 * the other is ready, and kept if it goes on before that.
 */

import type {Upstream} from '../../core/upstream.js';
import type {Clock, TimerHandle} from '../../ports/clock.js';
import type {Cancellation} from '../../ports/relay.js';
import {
  createCancellation,
  type CancellationSource,
} from '../front/cancellation.js';
import type {EngineSilence} from './engine_silence.js';
import type {RunAtEngine} from './run_reports.js';
import {findLeaveReason, type LeaveReason} from './silence_rules.js';

export interface RunWatchHost<Successor> {
  readonly clock: Clock;
  readonly silence: EngineSilence;
  readonly requestId: string;
  /** Whether the run has sent an event. */
  hasBegun(): boolean;
  /** Latest moment at which another run would start in time for the caller. */
  lastStartAtMs(): number;
  /**
   * Prepares another run; undefined if none can follow now, or if it was
   * cancelled, in which case nothing stays prepared.
   */
  prepare(
    reason: LeaveReason,
    cancellation: Cancellation,
  ): Promise<Successor | undefined>;
  /** The run goes on, and what was being prepared is given up. */
  onKept(silentMs: number): void;
}

/** Why a run is left, and what follows it. */
export interface Departure<Successor> {
  readonly reason: LeaveReason;
  readonly silentMs: number;
  readonly successor: Successor;
}

export interface RunWatch<Successor> {
  /** Cancelled when the run is left. */
  readonly leaving: Cancellation;
  /** Set before `leaving` is cancelled. */
  readonly departure?: Departure<Successor>;
  /** Bytes of the run arrived. */
  noteData(): void;
  /** The caller reads nothing, so the run sends nothing either. */
  pause(): void;
  resume(): void;
  /** The run has ended by itself. */
  end(): void;
}

/** The engine is probed when its run has been silent for this long. */
const SUSPECT_MS = 900;
const CHECK_INTERVAL_MS = 100;
/** A sign of life is out of date after this time: the engine may have paused. */
const ALIVE_VALID_MS = 500;
/** Leaves time for an answer before the one before is out of date. */
const PROBE_INTERVAL_MS = 250;
/** Pause after a preparation that failed; doubled each time. */
const FIRST_RETRY_MS = 250;
const MAX_RETRY_MS = 1_000;
/**
 * A timer that is this late shows that this host itself stood still, perhaps
 * since it set the timer.
 */
const LATE_TIMER_MS = 200;

export function createRunWatch<Successor>(
  engine: Upstream,
  host: RunWatchHost<Successor>,
): RunWatch<Successor> {
  const {clock, silence} = host;
  const leaving = createCancellation();
  let departure: Departure<Successor> | undefined;
  let silentSinceMs = clock.nowMs();
  let aliveSinceMs: number | undefined;
  let nextTryAtMs = 0;
  let retryMs = FIRST_RETRY_MS;
  let preparing: CancellationSource | undefined;
  let timer: TimerHandle | undefined;
  let armedAtMs = 0;
  let armedForMs = 0;
  let hasEnded = false;
  let isPaused = false;

  const silentMs = () => clock.nowMs() - silentSinceMs;

  /** Whether the engine has sent anything since, but not before the silence. */
  function wasAliveWithin(durationMs: number): boolean {
    const sinceMs = Math.max(silentSinceMs, clock.nowMs() - durationMs);
    return silence.wasAliveAfter(engine.id, sinceMs);
  }

  /** A request that has sent no event doesn't run yet, wherever it waits. */
  function findAtEngine(): RunAtEngine {
    if (!host.hasBegun()) return 'unreported';
    return silence.reports.find(engine.id, host.requestId, silentSinceMs);
  }

  function arm(delayMs: number): void {
    armedAtMs = clock.nowMs();
    armedForMs = delayMs;
    timer = clock.setTimer(delayMs, check);
  }

  function check(): void {
    if (hasEnded || isPaused) return;
    const nowMs = clock.nowMs();
    const passedMs = nowMs - armedAtMs;
    if (passedMs - armedForMs >= LATE_TIMER_MS) {
      silentSinceMs = Math.min(nowMs, silentSinceMs + passedMs);
    }
    if (silentMs() < SUSPECT_MS) return arm(SUSPECT_MS - silentMs());
    arm(CHECK_INTERVAL_MS);
    if (!wasAliveWithin(PROBE_INTERVAL_MS)) silence.investigate(engine);
    if (host.hasBegun()) silence.reports.ask(engine);
    if (!wasAliveWithin(ALIVE_VALID_MS)) aliveSinceMs = undefined;
    else aliveSinceMs ??= clock.nowMs();
    if (preparing || clock.nowMs() < nextTryAtMs) return;
    const reason = findLeaveReason({
      silentMs: silentMs(),
      aliveForMs:
        aliveSinceMs === undefined ? undefined : clock.nowMs() - aliveSinceMs,
      atEngine: findAtEngine(),
      isCommon: silence.isCommon(engine.service),
      untilLastStartMs: host.lastStartAtMs() - clock.nowMs(),
    });
    if (reason) void tryLeave(reason);
  }

  async function tryLeave(reason: LeaveReason): Promise<void> {
    const cancellation = createCancellation();
    preparing = cancellation;
    const successor = await host.prepare(reason, cancellation);
    if (preparing === cancellation) preparing = undefined;
    if (!successor) {
      nextTryAtMs = clock.nowMs() + retryMs;
      retryMs = Math.min(MAX_RETRY_MS, 2 * retryMs);
      return;
    }
    departure = {reason, silentMs: silentMs(), successor};
    end();
    leaving.cancel();
  }

  /** Gives up what is being prepared. */
  function keep(): void {
    if (!preparing) return;
    const given = preparing;
    preparing = undefined;
    given.cancel();
    host.onKept(silentMs());
  }

  function end(): void {
    hasEnded = true;
    if (timer) clock.clearTimer(timer);
    preparing?.cancel();
    preparing = undefined;
  }

  arm(SUSPECT_MS);

  return {
    leaving,
    get departure() {
      return departure;
    },
    noteData() {
      keep();
      silentSinceMs = clock.nowMs();
      aliveSinceMs = undefined;
      retryMs = FIRST_RETRY_MS;
    },
    pause() {
      isPaused = true;
      if (timer) clock.clearTimer(timer);
      keep();
    },
    resume() {
      isPaused = false;
      silentSinceMs = clock.nowMs();
      aliveSinceMs = undefined;
      arm(SUSPECT_MS);
    },
    end,
  };
}
