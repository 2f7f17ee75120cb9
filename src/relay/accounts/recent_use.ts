/** Sums the tokens of requests over the last 8 s, in slots of one second. */

export interface RecentUse {
  add(tokens: number, nowMs: number): void;
  sums(nowMs: number): UseSums;
}

export interface UseSums {
  readonly tokens: number;
  /** Sum of the squares of the requests' tokens. */
  readonly tokensSquared: number;
}

const SLOT_MS = 1_000;
/** The current, partial second and the seven before it: 7 to 8 s. */
const SLOT_COUNT = 8;

export function createRecentUse(): RecentUse {
  const tokens = new Float64Array(SLOT_COUNT);
  const tokensSquared = new Float64Array(SLOT_COUNT);
  let lastSlot = Number.NEGATIVE_INFINITY;

  /** Clears the slots that were left since the last call. */
  function advance(nowMs: number): number {
    const slot = Math.floor(nowMs / SLOT_MS);
    const first = Math.max(lastSlot + 1, slot - SLOT_COUNT + 1);
    for (let each = first; each <= slot; each++) {
      tokens[each % SLOT_COUNT] = 0;
      tokensSquared[each % SLOT_COUNT] = 0;
    }
    lastSlot = Math.max(lastSlot, slot);
    return lastSlot % SLOT_COUNT;
  }

  return {
    add(requestTokens, nowMs) {
      const index = advance(nowMs);
      tokens[index] += requestTokens;
      tokensSquared[index] += requestTokens ** 2;
    },
    sums(nowMs) {
      advance(nowMs);
      // A loop, since this runs for each account of a service at once.
      let sum = 0;
      let sumOfSquares = 0;
      for (let i = 0; i < SLOT_COUNT; i++) {
        sum += tokens[i];
        sumOfSquares += tokensSquared[i];
      }
      return {tokens: sum, tokensSquared: sumOfSquares};
    },
  };
}
