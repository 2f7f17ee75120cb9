/**
 * What the list of upstreams shows about those with runs or losses: whether
 * they have ended, are leaving, or are alive.
 */

import type {StoreRevision} from '../../core/store_revision.js';
import type {Clock} from '../../ports/clock.js';
import type {Upstream} from '../../core/upstream.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';
import type {EndEvidence} from './end_detector.js';
import {
  createHeartbeatLog,
  LIST_DELAY_MS,
  type HeartbeatState,
} from './heartbeat_log.js';

export interface ListEvidenceHost {
  readonly clock: Clock;
  readonly registry: Pick<UpstreamRegistry, 'get' | 'leaving' | 'snapshot'>;
  /** Upstreams with runs that are in progress or were cut. */
  upstreamsWithRuns(): readonly Upstream[];
  /** When the upstream ended, if it counts as ended. */
  endedAtMs(upstreamId: string): number | undefined;
  onEnded(upstream: Upstream, evidence: EndEvidence): void;
  /** The upstream has sent a heartbeat although it counted as ended. */
  onAlive(upstreamId: string): void;
  /** The entry of an upstream is gone that counted as ended. */
  onUnlisted(upstreamId: string): void;
}

export interface ListEvidence {
  /** The list was read or has changed. */
  update(): void;
  /** Whether the upstream leaves, so that its end is no crash. */
  isLeaving(upstreamId: string): boolean;
  /** Whether the upstream has sent heartbeats since then. */
  heartbeatsSince(upstream: Upstream, sinceMs: number): HeartbeatState;
}

export function createListEvidence(host: ListEvidenceHost): ListEvidence {
  const {clock, registry} = host;
  const heartbeatLog = createHeartbeatLog(host);
  let listedIds: ReadonlySet<string> = new Set();
  let leavingIds: ReadonlySet<string> = new Set();
  /** First heartbeats that were read after an upstream had ended. */
  const heartbeats = new Map<string, StoreRevision>();

  function checkHeartbeat({id, heartbeat}: Upstream, isRead: boolean): void {
    const endedAtMs = host.endedAtMs(id);
    if (endedAtMs === undefined) {
      heartbeats.delete(id);
      return;
    }
    if (clock.nowMs() < endedAtMs + LIST_DELAY_MS) return;
    const first = heartbeats.get(id);
    if (!first || first.era !== heartbeat.era) {
      // Other changes of the list show heartbeats as of an earlier read.
      if (isRead) heartbeats.set(id, heartbeat);
    } else if (first.counter !== heartbeat.counter) {
      heartbeats.delete(id);
      host.onAlive(id);
    }
  }

  function findLeaving(upstreams: readonly Upstream[]): ReadonlySet<string> {
    const draining = upstreams.filter(({isDraining}) => isDraining);
    // Kept after their entries are removed, for as long as runs are.
    const before = host
      .upstreamsWithRuns()
      .filter(({id}) => leavingIds.has(id));
    const ids = [...draining, ...before].map(({id}) => id);
    return new Set([...ids, ...registry.leaving('any')]);
  }

  function findEvidence(
    upstream: Upstream,
    added: readonly Upstream[],
  ): EndEvidence | undefined {
    const {id, address} = upstream;
    if (added.some(each => each.id !== id && each.address === address)) {
      return 'address-taken';
    }
    const wasListed = listedIds.has(id);
    return wasListed && !registry.get(id) ? 'unlisted' : undefined;
  }

  return {
    update() {
      const upstreams = registry.snapshot()?.upstreams ?? [];
      leavingIds = findLeaving(upstreams);
      const beatCount = heartbeatLog.update(upstreams);
      const added = upstreams.filter(({id}) => !listedIds.has(id));
      const ended = host
        .upstreamsWithRuns()
        .map(upstream => ({upstream, evidence: findEvidence(upstream, added)}));
      const unlistedIds = [...listedIds].filter(
        id => !registry.get(id) && !leavingIds.has(id),
      );
      listedIds = new Set(upstreams.map(({id}) => id));
      for (const {upstream, evidence} of ended) {
        if (evidence) host.onEnded(upstream, evidence);
      }
      for (const id of unlistedIds) {
        if (host.endedAtMs(id) !== undefined) host.onUnlisted(id);
      }
      for (const upstream of upstreams) checkHeartbeat(upstream, beatCount > 0);
    },
    isLeaving: upstreamId => leavingIds.has(upstreamId),
    heartbeatsSince: heartbeatLog.stateSince,
  };
}
