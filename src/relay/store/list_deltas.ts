/**
 * What changed from one list of upstreams to the next, so that one host that
 * read the list can tell the others.
 *
 * Guards the store against a call by each host for each change: most hosts do
 * not read the list themselves, and would whenever they hear that theirs is
 * behind. A host that does not come to the same list by the change, since it
 * missed another, reads the store.
 */

import {hashText} from '../../core/hash_text.js';
import type {Clock} from '../../ports/clock.js';
import type {StoreRevision} from '../../core/store_revision.js';
import type {Upstream} from '../../core/upstream.js';

export interface ListDelta {
  readonly fromDigest: number;
  readonly toDigest: number;
  /** Of the list that has the change. */
  readonly revision: StoreRevision;
  /** Upstreams that are new or listed otherwise than before. */
  readonly changed: readonly Upstream[];
  /** Ids of those that are no longer there. */
  readonly left: readonly string[];
}

/** The list by upstream id. */
export type UpstreamEntries = ReadonlyMap<string, Upstream>;

/** A list with its digest. */
export interface DigestedList {
  readonly entries: UpstreamEntries;
  readonly digest: number;
}

export interface DeltaLog {
  /** The list has changed, or was read again as it was. */
  note(
    before: DigestedList,
    after: DigestedList,
    revision: StoreRevision,
  ): void;
  /** The changes of the last moments, oldest first. */
  recent(): readonly ListDelta[];
}

/** Long enough for each peer to hear of it twice, also where there are many. */
const TOLD_FOR_MS = 1_800;
/**
 * Larger changes come with an outage of the store or a mass restart; a change
 * in a datagram takes some 200 bytes for each upstream.
 */
const MOST_UPSTREAMS_TOLD = 12;

/** All of an upstream that a list must have right; not its signs of life. */
function describe({id, address, isDraining, role}: Upstream): string {
  return [id, address, isDraining, role].join('|');
}

/** The same for lists that differ in nothing but signs of life. */
export function digestList(entries: UpstreamEntries): number {
  const texts = [...entries.values()].map(describe);
  return hashText(texts.sort().join(' '));
}

/** The list after the change. */
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
  let told: ReadonlyArray<{readonly delta: ListDelta; readonly atMs: number}> =
    [];
  return {
    note(before, after, revision) {
      if (before.digest === after.digest || before.entries.size === 0) return;
      const changed = [...after.entries.values()].filter(each => {
        const known = before.entries.get(each.id);
        return !known || describe(known) !== describe(each);
      });
      const left = [...before.entries.keys()].filter(
        id => !after.entries.has(id),
      );
      if (changed.length + left.length > MOST_UPSTREAMS_TOLD) return;
      const delta = {
        fromDigest: before.digest,
        toDigest: after.digest,
        revision,
        changed,
        left,
      };
      told = [...told, {delta, atMs: clock.nowMs()}];
    },
    recent() {
      const nowMs = clock.nowMs();
      told = told.filter(({atMs}) => nowMs - atMs < TOLD_FOR_MS);
      return told.map(({delta}) => delta);
    },
  };
}
