/**
 * The runs at each upstream that may have ended it: those in progress, and
 * those that ended without a whole answer and without a later sign of life of
 * the upstream. Does no I/O.
 */

import {createBoundedMap} from '../../core/bounded_map.js';
import {MAX_REMEMBERED_UPSTREAMS, type Upstream} from '../../core/upstream.js';
import type {Clock} from '../../ports/clock.js';
import type {RelayRequest} from '../../ports/relay.js';
import {fingerprintOf, suspectKeysOf} from './request_fingerprint.js';

export interface Run {
  readonly request: RelayRequest;
  readonly upstream: Upstream;
  readonly startedAtMs: number;
  /** When the first and the latest bytes of its answer arrived. */
  written?: {readonly fromMs: number; readonly toMs: number};
}

/** A request that ran at an upstream when that may have ended. */
export interface Suspect {
  readonly requestId: string;
  readonly fingerprint: string;
  /** The suspects that the request has. */
  readonly keys: readonly string[];
}

/** An upstream with runs that has sent nothing for a while. */
export interface SilentUpstream {
  readonly upstream: Upstream;
  readonly sinceMs: number;
}

export interface RunLog {
  start(request: RelayRequest, upstream: Upstream): Run;
  /** The upstream began to answer the run, or refused it. */
  noteAnswer(run: Run): void;
  /** Bytes of the run's answer arrived. */
  noteData(run: Run): void;
  /** The run ended and shows nothing about its upstream. */
  end(run: Run): void;
  /** The run ended without a whole answer. */
  cut(run: Run): void;
  /** Upstreams with runs that are in progress or were cut. */
  upstreams(): readonly Upstream[];
  find(upstreamId: string): Upstream | undefined;
  /** Whether it answered a call that was sent later than `atMs`. */
  wasAliveAfter(upstreamId: string, atMs: number): boolean;
  /** Whether any other upstream answered a call sent later than `atMs`. */
  wereOthersAliveAfter(upstreamId: string, atMs: number): boolean;
  /** Removes and returns the runs that were cut. */
  takeCut(upstreamId: string): readonly Suspect[];
  inProgress(upstreamId: string): readonly Suspect[];
  /** Upstreams with runs that have sent nothing for `silenceMs`. */
  silent(silenceMs: number): readonly SilentUpstream[];
  /**
   * Whether most upstreams of its service and role fell silent together with
   * this one at `sinceMs`, and no request ran at all of them.
   */
  isSilenceShared(upstreamId: string, sinceMs: number): boolean;
  /** When its latest bytes arrived; `-Infinity` if none have. */
  lastSeenAtMs(upstreamId: string): number;
  /** Whether a silence of the upstream beside runs has ended since then. */
  wasSilentSince(upstreamId: string, atMs: number): boolean;
  /** How long each upstream with runs in progress has sent nothing. */
  openSilences(): ReadonlyMap<string, number>;
}

interface CutRun extends Suspect {
  readonly startedAtMs: number;
  readonly cutAtMs: number;
}

interface UpstreamRuns {
  readonly upstream: Upstream;
  readonly open: Set<Run>;
  cut: readonly CutRun[];
}

interface SignsOfLife {
  /** Service and role. */
  readonly pool: string;
  /** When the latest call that it answered was sent. */
  readonly answeredCallAtMs: number;
  /** When its latest bytes arrived. */
  readonly seenAtMs: number;
  /** When its latest long silence beside runs ended. */
  readonly silenceEndedAtMs: number;
}

/**
 * The list shows the end of an upstream within this time: its row is dropped
 * after three missed heartbeats.
 */
const CUT_KEPT_MS = 6_000;
/** A silence this long is no work of a sound upstream. */
const LONG_SILENCE_MS = 900;
/** Saves work for streams that send many events a second. */
const SEEN_RESOLUTION_MS = 100;
/** A part of a prompt crashes an upstream before it has written this long. */
const BEGINNING_MS = 2_000;
const MAX_CUT_PER_UPSTREAM = 64;
/** An upstream with runs counts as silent beside another after this time. */
const SHARED_SILENCE_MS = 500;
/** The last data of upstreams that pause at once is at most this far apart. */
const TOGETHER_MS = 300;
const NO_SIGNS: SignsOfLife = {
  pool: '',
  answeredCallAtMs: Number.NEGATIVE_INFINITY,
  seenAtMs: Number.NEGATIVE_INFINITY,
  silenceEndedAtMs: Number.NEGATIVE_INFINITY,
};

function toSuspect({request, written}: Run): Suspect {
  const fingerprint = fingerprintOf(request);
  const hasBegunWell =
    written !== undefined && written.toMs - written.fromMs >= BEGINNING_MS;
  return {
    requestId: request.requestId,
    fingerprint,
    keys: hasBegunWell ? [fingerprint] : suspectKeysOf(request),
  };
}

const poolOf = ({service, role}: Upstream) => `${service}|${role ?? ''}`;

/** The requests that run or ran at an upstream since it was last alive. */
const fingerprintsOf = ({open, cut}: UpstreamRuns): ReadonlySet<string> =>
  new Set([...[...open].map(toSuspect), ...cut].map(each => each.fingerprint));

export function createRunLog({clock}: {readonly clock: Clock}): RunLog {
  const runs = new Map<string, UpstreamRuns>();
  const signs = createBoundedMap<SignsOfLife>(MAX_REMEMBERED_UPSTREAMS);

  const signsOf = (upstreamId: string) => signs.get(upstreamId) ?? NO_SIGNS;

  function dropIfEmpty({upstream, open, cut}: UpstreamRuns): void {
    if (open.size === 0 && cut.length === 0) runs.delete(upstream.id);
  }

  /** Drops cut runs that are too old, or after which it was alive. */
  function prune(each: UpstreamRuns): void {
    const {answeredCallAtMs} = signsOf(each.upstream.id);
    const oldestMs = Math.max(answeredCallAtMs, clock.nowMs() - CUT_KEPT_MS);
    each.cut = each.cut
      .filter(({cutAtMs}) => cutAtMs >= oldestMs)
      .slice(-MAX_CUT_PER_UPSTREAM);
    dropIfEmpty(each);
  }

  function end(run: Run): UpstreamRuns | undefined {
    const each = runs.get(run.upstream.id);
    if (!each?.open.delete(run)) return undefined;
    dropIfEmpty(each);
    return each;
  }

  /** Since when it has sent nothing although it had one of these runs. */
  function silentSinceMs(
    {id}: Upstream,
    of: Iterable<{readonly startedAtMs: number}>,
  ): number {
    const starts = Array.from(of, ({startedAtMs}) => startedAtMs);
    return Math.max(Math.min(...starts), signsOf(id).seenAtMs);
  }

  /** Bytes arrived; the latest call that it answered may be another one now. */
  function noteSeen(upstream: Upstream, answeredCallAtMs: number): void {
    const before = signsOf(upstream.id);
    const nowMs = clock.nowMs();
    const open = runs.get(upstream.id)?.open ?? new Set<Run>();
    const isLong =
      open.size > 0 && nowMs - silentSinceMs(upstream, open) >= LONG_SILENCE_MS;
    signs.set(upstream.id, {
      pool: poolOf(upstream),
      answeredCallAtMs: Math.max(before.answeredCallAtMs, answeredCallAtMs),
      seenAtMs: nowMs,
      silenceEndedAtMs: isLong ? nowMs : before.silenceEndedAtMs,
    });
  }

  return {
    start(request, upstream) {
      const run: Run = {request, upstream, startedAtMs: clock.nowMs()};
      const each = runs.get(upstream.id) ?? {
        upstream,
        open: new Set<Run>(),
        cut: [],
      };
      each.open.add(run);
      runs.set(upstream.id, each);
      return run;
    },
    noteAnswer({upstream, startedAtMs}) {
      noteSeen(upstream, startedAtMs);
      const each = runs.get(upstream.id);
      if (each && each.cut.length > 0) prune(each);
    },
    noteData(run) {
      const {upstream} = run;
      const nowMs = clock.nowMs();
      run.written = {fromMs: run.written?.fromMs ?? nowMs, toMs: nowMs};
      const {answeredCallAtMs, seenAtMs} = signsOf(upstream.id);
      if (nowMs - seenAtMs < SEEN_RESOLUTION_MS) return;
      noteSeen(upstream, answeredCallAtMs);
    },
    end: run => void end(run),
    cut(run) {
      const {upstream, startedAtMs} = run;
      const each = end(run);
      if (!each) return;
      const cutAtMs = clock.nowMs();
      each.cut = [...each.cut, {...toSuspect(run), startedAtMs, cutAtMs}];
      runs.set(upstream.id, each);
      prune(each);
    },
    upstreams() {
      for (const each of [...runs.values()]) prune(each);
      return [...runs.values()].map(({upstream}) => upstream);
    },
    find: upstreamId => runs.get(upstreamId)?.upstream,
    wasAliveAfter: (upstreamId, atMs) =>
      signsOf(upstreamId).answeredCallAtMs > atMs,
    wereOthersAliveAfter: (upstreamId, atMs) =>
      [...signs.entries()].some(
        ([id, {answeredCallAtMs}]) =>
          id !== upstreamId && answeredCallAtMs > atMs,
      ),
    takeCut(upstreamId) {
      const each = runs.get(upstreamId);
      if (!each) return [];
      prune(each);
      const {cut} = each;
      each.cut = [];
      dropIfEmpty(each);
      return cut;
    },
    isSilenceShared(upstreamId, sinceMs) {
      const own = runs.get(upstreamId);
      if (!own) return false;
      const pool = poolOf(own.upstream);
      const spokeLater = new Set(
        [...signs.entries()]
          .filter(([, each]) => each.pool === pool)
          .filter(([, {seenAtMs}]) => seenAtMs > sinceMs + TOGETHER_MS)
          .map(([id]) => id),
      );
      const silentFromMs = clock.nowMs() - SHARED_SILENCE_MS;
      const together = [...runs.values()].filter(
        each =>
          each !== own &&
          poolOf(each.upstream) === pool &&
          !spokeLater.has(each.upstream.id) &&
          silentSinceMs(each.upstream, [...each.open, ...each.cut]) <=
            silentFromMs,
      );
      if (together.length === 0) return false;
      if (together.length + 1 < spokeLater.size) return false;
      const others = together.map(fingerprintsOf);
      return ![...fingerprintsOf(own)].some(each =>
        others.every(other => other.has(each)),
      );
    },
    inProgress: upstreamId =>
      [...(runs.get(upstreamId)?.open ?? [])].map(toSuspect),
    silent(silenceMs) {
      const latestMs = clock.nowMs() - silenceMs;
      return [...runs.values()]
        .map(each => ({
          upstream: each.upstream,
          sinceMs: silentSinceMs(each.upstream, [...each.open, ...each.cut]),
        }))
        .filter(({sinceMs}) => sinceMs <= latestMs);
    },
    wasSilentSince: (upstreamId, atMs) =>
      signsOf(upstreamId).silenceEndedAtMs > atMs,
    lastSeenAtMs: upstreamId => signsOf(upstreamId).seenAtMs,
    openSilences: () =>
      new Map(
        [...runs.values()]
          .filter(({open}) => open.size > 0)
          .map(({upstream, open}) => [
            upstream.id,
            clock.nowMs() - silentSinceMs(upstream, open),
          ]),
      ),
  };
}
