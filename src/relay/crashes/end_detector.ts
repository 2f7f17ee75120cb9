/**
 * Determines whether an upstream has ended after runs at it broke off.
 *
 * A refused connection shows it at once. An upstream may also leave a port that
 * resets connections or never answers, which a live one does as well while it
 * is overloaded or pauses. It counts as ended if it answers no probe for a while
 * although other upstreams answer this host, and nothing else shows a pause.
 */

import {createBoundedMap} from '../../core/bounded_map.js';
import {MAX_REMEMBERED_UPSTREAMS, type Upstream} from '../../core/upstream.js';
import type {Clock} from '../../ports/clock.js';
import type {UpstreamPort} from '../../ports/relay.js';
import type {RunLog} from './run_log.js';

/** What showed that an upstream has ended. */
export type EndEvidence =
  | 'refused'
  | 'no-answer'
  /** Another instance or another upstream has its address. */
  | 'address-taken'
  /** It is no longer listed. */
  | 'unlisted'
  /** A peer found it ended. */
  | 'peer';

export interface EndDetectorHost {
  readonly clock: Clock;
  readonly upstreamPort: Pick<UpstreamPort, 'probe'>;
  readonly runs: RunLog;
  /** Whether an upstream that is silent since then may be one that pauses. */
  mayPause(upstream: Upstream, sinceMs: number): boolean;
  /** The upstream had ended at `endedAtMs`. */
  onEnded(upstream: Upstream, evidence: EndEvidence, endedAtMs: number): void;
  /** Something answers at its address. */
  onAnswered(upstream: Upstream): void;
}

export interface EndDetector {
  /** Probes an upstream that has sent nothing since `sinceMs`. */
  investigate(upstream: Upstream, sinceMs: number): void;
  /** Other evidence shows that it has ended. */
  conclude(upstream: Upstream, evidence: EndEvidence): void;
}

/** A crashed upstream has closed its port by then and restarts in seconds. */
const PROBE_DELAY_MS = 50;
const PROBE_INTERVAL_MS = 250;
/** Live upstreams answer a probe well within this time, even if overloaded. */
const NO_ANSWER_MS = 1_500;
const GIVE_UP_MS = 5_000;
/** An upstream that answered a probe is not probed for silence this long. */
const ANSWERED_PAUSE_MS = 5_000;

interface Investigation {
  readonly upstream: Upstream;
  readonly sinceMs: number;
  firstFailureMs?: number;
}

export function createEndDetector(host: EndDetectorHost): EndDetector {
  const {clock, upstreamPort, runs} = host;
  const investigations = new Map<string, Investigation>();
  const answeredAtMs = createBoundedMap<number>(MAX_REMEMBERED_UPSTREAMS);

  const isOpen = (each: Investigation) =>
    investigations.get(each.upstream.id) === each;

  function close({upstream}: Investigation): void {
    investigations.delete(upstream.id);
  }

  function conclude(
    upstream: Upstream,
    evidence: EndEvidence,
    endedAtMs: number,
  ): void {
    investigations.delete(upstream.id);
    host.onEnded(upstream, evidence, endedAtMs);
  }

  function noteAnswered(each: Investigation): void {
    close(each);
    answeredAtMs.set(each.upstream.id, clock.nowMs());
    host.onAnswered(each.upstream);
  }

  function noteNoAnswer(each: Investigation, atMs: number): void {
    const {upstream, sinceMs} = each;
    each.firstFailureMs ??= atMs;
    const silentMs = clock.nowMs() - sinceMs;
    // Without another upstream that answers, the fault may be on this side.
    const isDecided =
      silentMs >= NO_ANSWER_MS &&
      runs.wereOthersAliveAfter(upstream.id, sinceMs) &&
      !host.mayPause(upstream, sinceMs);
    if (isDecided) conclude(upstream, 'no-answer', each.firstFailureMs);
    else if (silentMs >= GIVE_UP_MS) close(each);
    else clock.setTimer(PROBE_INTERVAL_MS, () => void probe(each));
  }

  async function probe(each: Investigation): Promise<void> {
    const {upstream, sinceMs} = each;
    if (!isOpen(each)) return;
    if (runs.wasAliveAfter(upstream.id, sinceMs)) return close(each);
    const atMs = clock.nowMs();
    const outcome = await upstreamPort.probe(upstream);
    if (!isOpen(each)) return;
    switch (outcome) {
      case 'answered':
        return noteAnswered(each);
      case 'other-instance':
        return conclude(upstream, 'address-taken', atMs);
      case 'refused':
        return conclude(upstream, 'refused', atMs);
      case 'no-answer':
        return noteNoAnswer(each, atMs);
    }
  }

  function isPaused({id}: Upstream, sinceMs: number): boolean {
    const atMs = answeredAtMs.get(id);
    if (atMs === undefined) return false;
    if (clock.nowMs() - atMs >= ANSWERED_PAUSE_MS) answeredAtMs.delete(id);
    return sinceMs <= atMs;
  }

  return {
    investigate(upstream, sinceMs) {
      if (investigations.has(upstream.id)) return;
      if (isPaused(upstream, sinceMs)) return;
      const each: Investigation = {upstream, sinceMs};
      investigations.set(upstream.id, each);
      const delayMs = Math.max(0, sinceMs + PROBE_DELAY_MS - clock.nowMs());
      clock.setTimer(delayMs, () => void probe(each));
    },
    conclude: (upstream, evidence) =>
      conclude(upstream, evidence, clock.nowMs()),
  };
}
