/**
 * The changes between two successive lists of upstreams, which a host that read
 * the list sends to the others.
 *
 * This saves the store a call per host for each change: most hosts do not read
 * the list themselves, but would whenever they learn that theirs is outdated. A
 * host that missed an earlier change, so that a delta does not lead it to the
 * same list, reads the store.
 */

import {hashText} from '../../core/hash_text.js';
import type {Clock} from '../../ports/clock.js';
import type {StoreRevision} from '../../core/store_revision.js';
import type {Upstream} from '../../core/upstream.js';

export interface ListDelta {
  readonly fromDigest: number;
  readonly toDigest: number;
  /** The revision of the list after the change. */
  readonly revision: StoreRevision;
  /** Upstreams that were added or whose entry changed. */
  readonly changed: readonly Upstream[];
  /** Ids of the removed upstreams. */
  readonly left: readonly string[];
}

/** The list of upstreams, by id. */
export type UpstreamEntries = ReadonlyMap<string, Upstream>;

/** A list and its digest. */
export interface DigestedList {
  readonly entries: UpstreamEntries;
  readonly digest: number;
}

export interface DeltaLog {
  /** Records the change, if any, between two successive lists. */
  record(
    before: DigestedList,
    after: DigestedList,
    revision: StoreRevision,
  ): void;
  /** The most recent changes, oldest first. */
  recent(): readonly ListDelta[];
}

/** Long enough for each peer to receive a delta twice, also with many hosts. */
const RETENTION_MS = 1_800;
/**
 * Larger changes occur only with an outage of the store or a mass restart; a
 * delta takes about 200 bytes per upstream in a datagram.
 */
const MAX_DELTA_UPSTREAMS = 12;

/** The fields that must be equal on all hosts; heartbeats are not included. */
function fingerprintOf(upstream: Upstream): string {
  const {id, address, isDraining, role, version} = upstream;
  return [id, address, isDraining, role, version].join('|');
}

/** Equal for lists that differ only in heartbeats. */
export function digestList(entries: UpstreamEntries): number {
  const texts = [...entries.values()].map(fingerprintOf);
  return hashText(texts.sort().join(' '));
}

/** Returns the list after the change. */
export function applyDelta(
  entries: UpstreamEntries,
  delta: ListDelta,
): readonly Upstream[] {
  const next = new Map(entries);
  for (const id of delta.left) next.delete(id);
  for (const upstream of delta.changed) next.set(upstream.id, upstream);
  return [...next.values()];
}

export function createDeltaLog(clock: Clock): DeltaLog {
  let entries: ReadonlyArray<{
    readonly delta: ListDelta;
    readonly atMs: number;
  }> = [];
  return {
    record(before, after, revision) {
      if (before.digest === after.digest || before.entries.size === 0) return;
      const changed = [...after.entries.values()].filter(each => {
        const previous = before.entries.get(each.id);
        return !previous || fingerprintOf(previous) !== fingerprintOf(each);
      });
      const left = [...before.entries.keys()].filter(
        id => !after.entries.has(id),
      );
      if (changed.length + left.length > MAX_DELTA_UPSTREAMS) return;
      const delta = {
        fromDigest: before.digest,
        toDigest: after.digest,
        revision,
        changed,
        left,
      };
      entries = [...entries, {delta, atMs: clock.nowMs()}];
    },
    recent() {
      const nowMs = clock.nowMs();
      entries = entries.filter(({atMs}) => nowMs - atMs < RETENTION_MS);
      return entries.map(({delta}) => delta);
    },
  };
}
