/**
 * Bounds the calls of one host to plain services while no keeper answers. Does
 * no I/O.
 *
 * Hosts then do not know of each other's calls. 63 hosts with one call each at
 * a time already exceed the queues of three upstreams of six slots, so a part
 * below one call is kept by the time between two starts. A host takes more than
 * its part as long as its calls are not slowed down, since other hosts may have
 * few calls.
 */

import type {Upstream} from '../../core/upstream.js';
import type {Clock} from '../../ports/clock.js';

export interface OwnPartHost {
  readonly clock: Clock;
  open(service: string): readonly Upstream[];
  /** Number of hosts that serve callers, including this one. */
  hostCount(): number;
}

/** Result of a call that used this host's part of the slots. */
export type PartResult =
  | {readonly kind: 'ok'; readonly durationMs: number}
  /** The upstream did not run the call, because it was full. */
  | {readonly kind: 'full'};

export interface OwnPart {
  mayStart(service: string, runningCount: number): boolean;
  noteStart(service: string): void;
  noteEnd(service: string, result: PartResult): void;
  /** Calls that may run at once; below one, a share of the time. */
  maxCalls(service: string): number;
}

interface PartState {
  /** Calls that may run at once. */
  calls: number;
  meanCallMs: number;
  /** Duration of a call at an upstream that is not full. */
  usualCallMs: number;
  /** Earliest time of the next start. */
  nextStartAtMs: number;
}

/** Assumed until calls have ended here. */
const INITIAL_CALL_MS = 40;
const SMOOTHING = 0.25;
/**
 * Share of the slots that all hosts use together when upstreams are full; the
 * rest lets their queues become shorter.
 */
const SLOT_SHARE = 0.8;
/**
 * A part begins as this multiple of the even part. Hosts that began with one
 * call at each upstream filled the queues of the upstreams within 0.5 s.
 */
const INITIAL_EVEN_PARTS = 2;
/** Smallest part, as a share of the even part, so that full queues drain. */
const MIN_EVEN_PARTS = 0.6;
/**
 * Mean slowdown at which the part neither grows nor shrinks. Calls take 1.6
 * times as long when half as many wait as run, so upstreams are busy.
 */
const STEADY_SLOWDOWN = 1.6;
/** Single durations vary by half, so one call changes the part by at most: */
const MAX_GROWTH = 0.4;
const MAX_DECREASE = 0.7;
const FULL_FACTOR = 0.5;
/** The usual duration follows a lasting change within some hundred calls. */
const USUAL_DRIFT = 0.004;

export function createOwnPart(host: OwnPartHost): OwnPart {
  const {clock} = host;
  const states = new Map<string, PartState>();

  /** This host's part of the slots of all upstreams. */
  function evenPart(service: string): number {
    const slots = host.open(service).reduce((sum, each) => sum + each.slots, 0);
    return (SLOT_SHARE * slots) / Math.max(1, host.hostCount());
  }

  /** One call at each upstream, if the part is smaller. */
  const maxPart = (service: string) =>
    Math.max(1, evenPart(service), host.open(service).length);

  function stateOf(service: string): PartState {
    let state = states.get(service);
    if (!state) {
      state = {
        calls: Math.min(
          maxPart(service),
          INITIAL_EVEN_PARTS * evenPart(service),
        ),
        meanCallMs: INITIAL_CALL_MS,
        usualCallMs: INITIAL_CALL_MS,
        nextStartAtMs: 0,
      };
      states.set(service, state);
    }
    return state;
  }

  function scale(service: string, state: PartState, factor: number): void {
    const most = maxPart(service);
    if (host.open(service).length === 0) return;
    const least = Math.min(most, MIN_EVEN_PARTS * evenPart(service));
    state.calls = Math.max(least, Math.min(most, state.calls * factor));
  }

  return {
    mayStart(service, runningCount) {
      if (host.open(service).length === 0) return false;
      const {calls, nextStartAtMs} = stateOf(service);
      const isWithin = runningCount < Math.max(1, Math.floor(calls));
      return isWithin && (calls >= 1 || clock.nowMs() >= nextStartAtMs);
    },
    noteStart(service) {
      const state = stateOf(service);
      state.nextStartAtMs = clock.nowMs() + state.usualCallMs / state.calls;
    },
    noteEnd(service, result) {
      const state = stateOf(service);
      if (result.kind === 'full') {
        scale(service, state, FULL_FACTOR);
        return;
      }
      const {durationMs} = result;
      state.meanCallMs += SMOOTHING * (durationMs - state.meanCallMs);
      state.usualCallMs *= 1 + USUAL_DRIFT;
      state.usualCallMs = Math.min(state.usualCallMs, state.meanCallMs);
      const change = STEADY_SLOWDOWN - durationMs / state.usualCallMs;
      const bounded = Math.max(-MAX_DECREASE, Math.min(MAX_GROWTH, change));
      scale(service, state, 1 + bounded);
    },
    maxCalls: service => stateOf(service).calls,
  };
}
