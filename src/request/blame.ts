/**
 * Decides which suspects crash engines, from all losses that are known. A loss
 * blames all that ran at the engine; the smallest set of suspects that explains
 * the losses is quarantined, the others are not.
 */

import {
  SUSPECT_RULES,
  suspectKindOf,
  type SuspectKind,
} from './suspect_kinds.js';

/** A suspect and its losses that count. */
export interface Accused {
  readonly key: string;
  /** When each loss took place, by its id. */
  readonly lostAtMs: ReadonlyMap<string, number>;
  /** Whether a run of it is known to have completed, at any time. */
  readonly hasCompleted: boolean;
}

/**
 * The cause of some losses: all of these suspects were present in each of them,
 * so it can be any of them or the combination.
 */
export interface Culprit {
  readonly keys: readonly string[];
  /** Number of losses that it explains. */
  readonly count: number;
  readonly latestAtMs: number;
}

/**
 * Suspects that can't be told apart are refused one by one after this many
 * losses; before, only requests that have all of them are.
 */
const MAX_LOSSES_TOGETHER = 5;
/** An unproven part in this many losses explains them for those that are. */
const EXPLAINING_LOSSES = 2;

interface Remaining extends Accused {
  readonly kind: SuspectKind;
}

export function isRefusedBy(
  {keys, count}: Culprit,
  ownKeys: readonly string[],
): boolean {
  return count < MAX_LOSSES_TOGETHER
    ? keys.every(key => ownKeys.includes(key))
    : keys.some(key => ownKeys.includes(key));
}

/** Number of losses, those within `momentMs` of the first counted once. */
function countMoments(timesMs: Iterable<number>, momentMs: number): number {
  let count = 0;
  let countedAtMs = Number.NEGATIVE_INFINITY;
  for (const atMs of [...timesMs].sort((a, b) => a - b)) {
    if (atMs - countedAtMs < momentMs) continue;
    count++;
    countedAtMs = atMs;
  }
  return count;
}

function countLosses({kind, lostAtMs}: Remaining): number {
  return countMoments(lostAtMs.values(), SUSPECT_RULES[kind].momentMs);
}

/** Removes losses; undefined if none is left. */
function withoutLosses(
  accused: Remaining,
  isExplained: (lossId: string) => boolean,
): Remaining | undefined {
  const lostAtMs = new Map(
    [...accused.lostAtMs].filter(([lossId]) => !isExplained(lossId)),
  );
  return lostAtMs.size > 0 ? {...accused, lostAtMs} : undefined;
}

/** The losses that parts without a complete run explain. */
function findExplained(accused: readonly Remaining[]): ReadonlySet<string> {
  const unproven = accused.filter(
    each =>
      each.kind === 'part' &&
      !each.hasCompleted &&
      each.lostAtMs.size >= EXPLAINING_LOSSES,
  );
  return new Set(unproven.flatMap(({lostAtMs}) => [...lostAtMs.keys()]));
}

/** By losses; of those with equally many, unproven ones come first. */
function compareBlame(a: Remaining, b: Remaining): number {
  return (
    b.lostAtMs.size - a.lostAtMs.size ||
    Number(a.hasCompleted) - Number(b.hasCompleted) ||
    (a.key < b.key ? -1 : 1)
  );
}

function isSameLosses(a: Remaining, b: Remaining): boolean {
  return (
    a.lostAtMs.size === b.lostAtMs.size &&
    [...a.lostAtMs.keys()].every(lossId => b.lostAtMs.has(lossId))
  );
}

/**
 * @param isAlone whether no other request was a suspect in the loss.
 */
export function findCulprits(
  accused: readonly Accused[],
  isAlone: (lossId: string) => boolean,
): readonly Culprit[] {
  const all = accused.map(each => ({...each, kind: suspectKindOf(each.key)}));
  const explained = findExplained(all);
  let remaining: readonly Remaining[] = all.flatMap(
    each =>
      (each.hasCompleted
        ? withoutLosses(each, lossId => explained.has(lossId))
        : each) ?? [],
  );
  const isCulprit = (each: Remaining): boolean => {
    const {sharedLosses, aloneLosses} = SUSPECT_RULES[each.kind];
    const wasAlone = [...each.lostAtMs.keys()].some(isAlone);
    return countLosses(each) >= (wasAlone ? aloneLosses : sharedLosses);
  };
  const culprits: Culprit[] = [];
  for (;;) {
    const [leader] = remaining.filter(isCulprit).sort(compareBlame);
    if (!leader) return culprits;
    const tied = remaining.filter(each => isSameLosses(each, leader));
    culprits.push({
      keys: tied.map(({key}) => key).sort(),
      count: leader.lostAtMs.size,
      latestAtMs: Math.max(...leader.lostAtMs.values()),
    });
    remaining = remaining.flatMap(
      each => withoutLosses(each, lossId => leader.lostAtMs.has(lossId)) ?? [],
    );
  }
}
