/**
 * Decides which suspects crash engines, from all losses that are known. A loss
 * blames all that ran at the engine; the smallest set of suspects that explains
 * the losses is quarantined, the others are not.
 */

import {
  SUSPECT_RULES,
  suspectKindOf,
  type SuspectKind,
  type SuspectRule,
} from './suspect_kinds.js';
import type {EngineEnd} from './suspect_losses.js';

/** A suspect and its losses that count. */
export interface Accused {
  readonly key: string;
  /** The losses by their ids. */
  readonly losses: ReadonlyMap<string, EngineEnd>;
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

type MomentRule = Pick<SuspectRule, 'momentMs' | 'maxLossesAMoment'>;

/**
 * Engines that stand still together look as if they had ended. Those that are
 * alive answer within this time, and their losses are cleared.
 */
const SUSPECTED_ENDS: MomentRule = {momentMs: 2_500, maxLossesAMoment: 1};

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

/** Number of ends, of which those of one moment count only in part. */
function countMoments(
  ends: readonly EngineEnd[],
  {momentMs, maxLossesAMoment}: MomentRule,
): number {
  let count = 0;
  let countOfMoment = 0;
  let momentFromMs = Number.NEGATIVE_INFINITY;
  const times = ends.map(({lostAtMs}) => lostAtMs).sort((a, b) => a - b);
  for (const atMs of times) {
    if (atMs - momentFromMs >= momentMs) {
      momentFromMs = atMs;
      countOfMoment = 0;
    }
    if (countOfMoment < maxLossesAMoment) count++;
    countOfMoment++;
  }
  return count;
}

/** Number of losses that count against the suspect. */
function countLosses({kind, losses, hasCompleted}: Remaining): number {
  const ends = [...losses.values()];
  const weak = ends.filter(({isSuspected}) => isSuspected && hasCompleted);
  const strong = ends.filter(each => !weak.includes(each));
  return (
    countMoments(strong, SUSPECT_RULES[kind]) +
    countMoments(weak, SUSPECTED_ENDS)
  );
}

/** Removes losses; undefined if too few are left. */
function withoutLosses(
  accused: Remaining,
  explained: ReadonlyMap<string, unknown>,
): Remaining | undefined {
  const {losses} = accused;
  const left = [...losses].filter(([lossId]) => !explained.has(lossId));
  if (left.length === losses.size) return accused;
  if (left.length < MIN_LOSSES) return undefined;
  return {...accused, losses: new Map(left)};
}

const countShared = (a: Remaining, b: Remaining): number =>
  [...a.losses.keys()].filter(lossId => b.losses.has(lossId)).length;

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
    left = withoutLosses(of, best.each.losses);
  }
  return left;
}

/** By losses; of those with equally many, unproven ones come first. */
function compareBlame(a: Remaining, b: Remaining): number {
  return (
    b.losses.size - a.losses.size ||
    Number(a.hasCompleted) - Number(b.hasCompleted) ||
    (a.key < b.key ? -1 : 1)
  );
}

function isSameLosses(a: Remaining, b: Remaining): boolean {
  return (
    a.losses.size === b.losses.size &&
    [...a.losses.keys()].every(lossId => b.losses.has(lossId))
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
    .filter(({losses}) => losses.size >= MIN_LOSSES)
    .map(each => ({...each, kind: suspectKindOf(each.key)}));
  const unproven = all.filter(
    each =>
      each.kind === 'part' &&
      !each.hasCompleted &&
      each.losses.size >= EXPLAINING_LOSSES,
  );
  let remaining: readonly Remaining[] = all.flatMap(
    each => (each.hasCompleted ? withoutExplained(each, unproven) : each) ?? [],
  );
  const isCulprit = (each: Remaining): boolean => {
    const {sharedLosses, aloneLosses} = SUSPECT_RULES[each.kind];
    const {losses} = each;
    if (losses.size < aloneLosses) return false;
    const count = countLosses(each);
    if (count >= sharedLosses) return true;
    return count >= aloneLosses && [...losses.keys()].some(isAlone);
  };
  const culprits: Culprit[] = [];
  for (;;) {
    const [leader] = remaining.filter(isCulprit).sort(compareBlame);
    if (!leader) return culprits;
    const tied = remaining.filter(each => isSameLosses(each, leader));
    culprits.push({
      keys: tied.map(({key}) => key).sort(),
      count: leader.losses.size,
      latestAtMs: Math.max(
        ...Array.from(leader.losses.values(), ({lostAtMs}) => lostAtMs),
      ),
    });
    remaining = remaining.flatMap(
      each => withoutLosses(each, leader.losses) ?? [],
    );
  }
}
