/** What must hold of requests to upstreams that ask for fewer of them. */

import type {CallRecord} from './soak_callers.js';
import type {HarmSpan} from './soak_faults.js';
import type {Ask, SoakUpstream} from './soak_site.js';

/** A request that reached an upstream, with the host that sent it there. */
interface Arrival {
  readonly hostId: string;
  readonly sentAtMs: number;
  readonly atMs: number;
  /** When its caller had its answer. */
  readonly endedAtMs: number;
}

interface Play {
  readonly upstream: SoakUpstream;
  readonly arrivals: readonly Arrival[];
  readonly harm: readonly HarmSpan[];
}

/** A host has this long to act on an answer that it passed on. */
const TOLD_MS = 500;
/** Real time on a busy machine, on top of each bound. */
const SLACK_MS = 500;
const WINDOW_MS = 4_000;
const DRAIN_MS = 2_000;
const MOST_IN_REST = 2;
const MS_PER_SECOND = 1_000;

/** A host that was stopped or started in between may have forgotten. */
function isExcused(
  {harm}: Play,
  hostId: string,
  fromMs: number,
  toMs: number,
): boolean {
  return harm.some(
    span =>
      span.isOfProcess &&
      span.hostId === hostId &&
      span.fromMs <= toMs &&
      span.toMs >= fromMs,
  );
}

/** When each host had passed on an answer that the upstream gave since then. */
function findToldAtMs(
  {arrivals}: Play,
  fromMs: number,
): ReadonlyMap<string, number> {
  const told = new Map<string, number>();
  for (const {hostId, atMs, endedAtMs} of arrivals) {
    if (atMs < fromMs) continue;
    told.set(hostId, Math.min(endedAtMs, told.get(hostId) ?? Infinity));
  }
  return told;
}

/** Arrivals of hosts that were told so long before, and are not excused. */
function afterWord(
  play: Play,
  {fromMs, toMs}: Ask,
  afterMs: number,
): readonly Arrival[] {
  const told = findToldAtMs(play, fromMs);
  return play.arrivals.filter(({hostId, sentAtMs, atMs}) => {
    const toldAtMs = told.get(hostId) ?? Infinity;
    const isLate = sentAtMs > toldAtMs + afterMs + SLACK_MS && atMs <= toMs;
    return isLate && !isExcused(play, hostId, fromMs, atMs);
  });
}

function checkLimit(play: Play, ask: Ask): readonly string[] {
  const times = afterWord(play, ask, TOLD_MS).map(({atMs}) => atMs);
  const most = Math.max(
    0,
    ...times.map(
      fromMs =>
        times.filter(atMs => atMs >= fromMs && atMs < fromMs + WINDOW_MS)
          .length,
    ),
  );
  const perS = ask.value;
  const allowed = (1.5 * perS * WINDOW_MS) / MS_PER_SECOND + 5;
  if (most <= allowed) return [];
  return [`${most} requests in 4 s at a limit of ${perS} a second`];
}

function checkLeaving(play: Play, ask: Ask): readonly string[] {
  return afterWord(play, ask, DRAIN_MS).map(
    ({hostId}) => `a request of ${hostId} after it was told that it leaves`,
  );
}

/** While it rests each arrival is refused, and begins a time of rest. */
function checkRest(play: Play, ask: Ask): readonly string[] {
  const restMs = ask.value * MS_PER_SECOND;
  const inSpan = play.arrivals.filter(
    ({atMs}) => atMs >= ask.fromMs && atMs <= ask.toMs,
  );
  return inSpan.flatMap(({hostId, atMs}) => {
    const count = inSpan.filter(
      each =>
        each.hostId === hostId &&
        each.sentAtMs > atMs + TOLD_MS &&
        each.atMs < Math.min(atMs + restMs, ask.toMs),
    ).length;
    const isSound =
      count <= MOST_IN_REST || isExcused(play, hostId, atMs, atMs + restMs);
    return isSound ? [] : [`${count} requests of ${hostId} while it rests`];
  });
}

const CHECKS: Readonly<
  Record<Ask['kind'], (play: Play, ask: Ask) => readonly string[]>
> = {limit: checkLimit, leaving: checkLeaving, rest: checkRest};

/** One line for each that was asked for and not kept. */
export function findIgnoredAsks(
  upstreams: readonly SoakUpstream[],
  byId: ReadonlyMap<string, CallRecord>,
  harm: readonly HarmSpan[],
): readonly string[] {
  return upstreams.flatMap(upstream => {
    const arrivals = upstream.standIn.arrivals.flatMap(({requestId, atMs}) => {
      const record = byId.get(requestId);
      if (!record) return [];
      const {hostId, sentAtMs, endedAtMs = Infinity} = record;
      return [{hostId, sentAtMs, atMs, endedAtMs}];
    });
    const play = {upstream, arrivals, harm};
    return upstream.asks
      .flatMap(ask => CHECKS[ask.kind](play, ask))
      .map(fault => `${upstream.standIn.id}: ${fault}`);
  });
}
