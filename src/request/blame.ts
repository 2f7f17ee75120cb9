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

/** Requests that can't be told apart are refused after this many losses. */
const MAX_LOSSES_TOGETHER = 5;
/**
 * A part without a complete run explains its losses for those that have one
 * from this many on.
 */
const EXPLAINING_LOSSES = 2;

/** One cause is more likely than several that explain the same losses. */
const MAX_EXPLAINING = 2;
/** No kind of suspect is quarantined for fewer losses. */
const MIN_LOSSES = Math.min(
  ...Object.values(SUSPECT_RULES).map(({aloneLosses}) => aloneLosses),
);

interface Remaining extends Accused {
  readonly kind: SuspectKind;
}

/**
 * Whether a request with these suspects is refused. One that has only some of
 * several parts runs, as its end tells them apart. Nothing does so for requests
 * that always run together.
 */
export function isRefusedBy(
  {keys, count}: Culprit,
  ownKeys: readonly string[],
): boolean {
  if (keys.every(key => ownKeys.includes(key))) return true;
  const requests = keys.filter(key => suspectKindOf(key) === 'request');
  return (
    count >= MAX_LOSSES_TOGETHER && requests.some(key => ownKeys.includes(key))
  );
}

/** Number of losses, of which those of one moment count only in part. */
function countLosses({kind, lostAtMs}: Remaining): number {
  const {momentMs, maxLossesAMoment} = SUSPECT_RULES[kind];
  let count = 0;
  let countOfMoment = 0;
  let momentFromMs = Number.NEGATIVE_INFINITY;
  for (const atMs of [...lostAtMs.values()].sort((a, b) => a - b)) {
    if (atMs - momentFromMs >= momentMs) {
      momentFromMs = atMs;
      countOfMoment = 0;
    }
    if (countOfMoment < maxLossesAMoment) count++;
    countOfMoment++;
  }
  return count;
}

/** Removes losses; undefined if too few are left. */
function withoutLosses(
  accused: Remaining,
  explained: ReadonlyMap<string, unknown>,
): Remaining | undefined {
  const {lostAtMs} = accused;
  const left = [...lostAtMs].filter(([lossId]) => !explained.has(lossId));
  if (left.length === lostAtMs.size) return accused;
  if (left.length < MIN_LOSSES) return undefined;
  return {...accused, lostAtMs: new Map(left)};
}

const countShared = (a: Remaining, b: Remaining): number =>
  [...a.lostAtMs.keys()].filter(lossId => b.lostAtMs.has(lossId)).length;

/** Removes the losses that few parts without a complete run explain. */
function withoutExplained(
  accused: Remaining,
  unproven: readonly Remaining[],
): Remaining | undefined {
  let left: Remaining | undefined = accused;
  for (let i = 0; i < MAX_EXPLAINING && left; i++) {
    const of: Remaining = left;
    const [best] = unproven
      .map(each => ({each, count: countShared(of, each)}))
      .sort((a, b) => b.count - a.count || (a.each.key < b.each.key ? -1 : 1));
    if (!best || best.count === 0) break;
    left = withoutLosses(of, best.each.lostAtMs);
  }
  return left;
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
  const all = accused
    .filter(({lostAtMs}) => lostAtMs.size >= MIN_LOSSES)
    .map(each => ({...each, kind: suspectKindOf(each.key)}));
  const unproven = all.filter(
    each =>
      each.kind === 'part' &&
      !each.hasCompleted &&
      each.lostAtMs.size >= EXPLAINING_LOSSES,
  );
  let remaining: readonly Remaining[] = all.flatMap(
    each => (each.hasCompleted ? withoutExplained(each, unproven) : each) ?? [],
  );
  const isCulprit = (each: Remaining): boolean => {
    const {sharedLosses, aloneLosses} = SUSPECT_RULES[each.kind];
    const {lostAtMs} = each;
    if (lostAtMs.size < aloneLosses) return false;
    const count = countLosses(each);
    if (count >= sharedLosses) return true;
    return count >= aloneLosses && [...lostAtMs.keys()].some(isAlone);
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
      each => withoutLosses(each, leader.lostAtMs) ?? [],
    );
  }
}
