/**
 * Which upstreams this host reaches directly, and which only through a peer.
 *
 * A failed connection doesn't show whether the upstream has ended or the link
 * to it is cut; a peer that reaches the upstream at the same time does.
 */

import {createBoundedMap} from '../../core/bounded_map.js';
import {MAX_REMEMBERED_UPSTREAMS, type Upstream} from '../../core/upstream.js';
import type {Clock, TimerHandle} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {ProbeOutcome} from '../../ports/relay.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';

export interface UpstreamLinksHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly registry: Pick<UpstreamRegistry, 'get'>;
  /** Asks for an answer over a new connection of this host. */
  probeDirectly(upstream: Upstream): Promise<ProbeOutcome>;
}

/** How a call gets to an upstream. */
export type LinkPath =
  | 'direct'
  /** The link of this host is cut. */
  | 'peer'
  /** The links to other upstreams are cut, and nothing is known of this one. */
  | 'peer-first';

export interface UpstreamLinks {
  pathTo(upstreamId: string): LinkPath;
  /** The upstream answered a call over a new connection of this host. */
  noteReached(upstreamId: string, sentAtMs: number): void;
  /** A peer reached the upstream, and this host had not. */
  noteReachedByPeer(upstreamId: string): void;
  /** Whether a call sent within this time reached the upstream directly. */
  wasReachedWithin(upstreamId: string, durationMs: number): boolean;
  /** Whether any upstream answered a direct call sent since then. */
  wasAnyReachedSince(atMs: number): boolean;
  /** Whether this host seems to be cut off from all upstreams. */
  isIsolated(): boolean;
  cutCount(): number;
  stop(): void;
}

/** As many cut links and no upstream that answers show an isolated host. */
const MIN_CUT_LINKS = 2;
/** Cut links are probed at this interval, a few at a time. */
const PROBE_INTERVAL_MS = 500;
const PROBES_PER_ROUND = 3;

export function createUpstreamLinks(host: UpstreamLinksHost): UpstreamLinks {
  const {clock, log, registry} = host;
  /** When each link was found to be cut; the next to be probed is first. */
  const cutAtMs = new Map<string, number>();
  /** When the latest call that each upstream answered was sent. */
  const reachedAtMs = createBoundedMap<number>(MAX_REMEMBERED_UPSTREAMS);
  let lastReachedAtMs = Number.NEGATIVE_INFINITY;
  let isolatedSinceMs: number | undefined;
  let timer: TimerHandle | undefined;
  let isStopped = false;

  function updateIsolation(): void {
    const latestMs = [...cutAtMs.values()].sort((a, b) => b - a);
    const earliestMs = latestMs.at(MIN_CUT_LINKS - 1);
    const isIsolated = earliestMs !== undefined && lastReachedAtMs < earliestMs;
    if (isIsolated === (isolatedSinceMs !== undefined)) return;
    isolatedSinceMs = isIsolated ? clock.nowMs() : undefined;
    if (isIsolated) {
      log.warn('No upstream is reached directly.', {cutLinks: cutAtMs.size});
    } else {
      log.info('Upstreams are reached directly again.', {
        cutLinks: cutAtMs.size,
      });
    }
  }

  function restore(upstreamId: string): void {
    if (!cutAtMs.delete(upstreamId)) return;
    log.info('Upstream reached directly again.', {upstream: upstreamId});
  }

  function noteReached(upstreamId: string, sentAtMs: number): void {
    reachedAtMs.set(upstreamId, sentAtMs);
    lastReachedAtMs = Math.max(lastReachedAtMs, sentAtMs);
    const cutMs = cutAtMs.get(upstreamId);
    if (cutMs !== undefined && sentAtMs > cutMs) restore(upstreamId);
    // All links are usually restored together; those that are not fail again.
    if (isolatedSinceMs !== undefined && sentAtMs > isolatedSinceMs) {
      for (const id of [...cutAtMs.keys()]) restore(id);
    }
    if (cutAtMs.size > 0 || isolatedSinceMs !== undefined) updateIsolation();
  }

  async function probe(upstreamId: string): Promise<void> {
    const upstream = registry.get(upstreamId);
    if (!upstream) {
      cutAtMs.delete(upstreamId);
      updateIsolation();
      return;
    }
    const sentAtMs = clock.nowMs();
    const outcome = await host.probeDirectly(upstream);
    const isReached = outcome === 'answered' || outcome === 'other-instance';
    if (isReached) noteReached(upstreamId, sentAtMs);
  }

  /** Probes the links in turn. */
  function probeSome(): void {
    timer = undefined;
    const ids = [...cutAtMs].slice(0, PROBES_PER_ROUND);
    for (const [id, atMs] of ids) {
      // Moves the link to the end.
      cutAtMs.delete(id);
      cutAtMs.set(id, atMs);
      void probe(id);
    }
    startTimer();
  }

  function startTimer(): void {
    if (cutAtMs.size === 0 || isStopped) return;
    timer ??= clock.setTimer(PROBE_INTERVAL_MS, probeSome);
  }

  return {
    pathTo(upstreamId) {
      if (cutAtMs.has(upstreamId)) return 'peer';
      return isolatedSinceMs === undefined ? 'direct' : 'peer-first';
    },
    noteReached,
    noteReachedByPeer(upstreamId) {
      if (cutAtMs.has(upstreamId)) return;
      cutAtMs.set(upstreamId, clock.nowMs());
      log.info('Upstream reached through a peer only.', {upstream: upstreamId});
      updateIsolation();
      startTimer();
    },
    wasReachedWithin: (upstreamId, durationMs) =>
      clock.nowMs() - (reachedAtMs.get(upstreamId) ?? -Infinity) < durationMs,
    wasAnyReachedSince: atMs => lastReachedAtMs >= atMs,
    isIsolated: () => isolatedSinceMs !== undefined,
    cutCount: () => cutAtMs.size,
    stop() {
      isStopped = true;
      if (timer) clock.clearTimer(timer);
    },
  };
}
