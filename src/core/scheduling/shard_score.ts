/** Compares shards by what a lagging summary and own asks tell of them. */

/** What an entry knows of one shard when it chooses. */
export interface ShardFigures {
  readonly freeSlots: number;
  readonly totalSlots: number;
  readonly waitMs: number;
  /** Age of the summary. */
  readonly ageMs: number;
  /** Own asks and grants that the summary cannot show yet. */
  readonly ownUnseen: number;
  readonly isOwnDomain: boolean;
  readonly hasPrefix: boolean;
  /** Not long ago the home did not answer. */
  readonly isSuspect: boolean;
}

export interface ShardWeights {
  /** Round trip to another failure domain, and its link's price. */
  readonly awayMs: number;
  /** What a cached prefix saves. */
  readonly prefixMs: number;
  /** Wait for each slot that our own unseen asks are short. */
  readonly shortSlotMs: number;
  readonly suspectMs: number;
  /** After this a summary counts as no knowledge. */
  readonly staleMs: number;
  /** Wait assumed of a shard of which nothing is known. */
  readonly unknownWaitMs: number;
}

export const DEFAULT_SHARD_WEIGHTS: ShardWeights = {
  awayMs: 6,
  prefixMs: 40,
  shortSlotMs: 50,
  suspectMs: 10_000,
  staleMs: 10_000,
  unknownWaitMs: 500,
};

/** Milliseconds until a first token, as far as it differs by shard. */
export function scoreShard(
  figures: ShardFigures,
  weights: ShardWeights,
): number {
  const isStale = figures.ageMs > weights.staleMs;
  const knownMs = isStale ? weights.unknownWaitMs : figures.waitMs;
  const shortSlots = Math.max(0, figures.ownUnseen + 1 - figures.freeSlots);
  const fullness =
    figures.totalSlots > 0 ? 1 - figures.freeSlots / figures.totalSlots : 1;
  return (
    knownMs +
    shortSlots * weights.shortSlotMs +
    fullness * weights.shortSlotMs +
    (figures.isOwnDomain ? 0 : weights.awayMs) +
    (figures.isSuspect ? weights.suspectMs : 0) -
    (figures.hasPrefix ? weights.prefixMs : 0)
  );
}
