/** Scores shards by their delayed summaries and this entry's own requests. */

/** State of one shard as known to an entry. */
export interface ShardFigures {
  readonly freeSlots: number;
  readonly totalSlots: number;
  readonly waitMs: number;
  /** Age of the summary. */
  readonly ageMs: number;
  /** Own requests and grants not yet included in the summary. */
  readonly unreportedRequests: number;
  readonly isOwnDomain: boolean;
  readonly hasPrefix: boolean;
  /** The home recently did not answer. */
  readonly isSuspect: boolean;
}

export interface ShardWeights {
  /** Penalty of another failure domain for the round trip and link use. */
  readonly crossDomainMs: number;
  /** Time saved by a cached prefix. */
  readonly prefixMs: number;
  /** Wait per slot missing for the requests not yet in the summary. */
  readonly shortSlotMs: number;
  readonly suspectMs: number;
  /** A summary older than this is ignored. */
  readonly staleMs: number;
  /** Assumed wait of a shard without a current summary. */
  readonly unknownWaitMs: number;
}

export const DEFAULT_SHARD_WEIGHTS: ShardWeights = {
  crossDomainMs: 6,
  prefixMs: 40,
  shortSlotMs: 50,
  suspectMs: 10_000,
  staleMs: 10_000,
  unknownWaitMs: 500,
};

/** Returns the part of the time to first token that depends on the shard. */
export function scoreShard(
  figures: ShardFigures,
  weights: ShardWeights,
): number {
  const isStale = figures.ageMs > weights.staleMs;
  const waitMs = isStale ? weights.unknownWaitMs : figures.waitMs;
  const shortSlots = Math.max(
    0,
    figures.unreportedRequests + 1 - figures.freeSlots,
  );
  const fullness =
    figures.totalSlots > 0 ? 1 - figures.freeSlots / figures.totalSlots : 1;
  return (
    waitMs +
    shortSlots * weights.shortSlotMs +
    fullness * weights.shortSlotMs +
    (figures.isOwnDomain ? 0 : weights.crossDomainMs) +
    (figures.isSuspect ? weights.suspectMs : 0) -
    (figures.hasPrefix ? weights.prefixMs : 0)
  );
}
