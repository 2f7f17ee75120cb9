/** Role orders that an engine stand-in accepts, checked by their fences. */

export interface EngineOrder {
  readonly stage: 'prefill' | 'decode';
  readonly fence: number;
}

export interface EngineOrders {
  /** Accepted orders, oldest first. */
  readonly taken: readonly EngineOrder[];
  /** Returns the status of the answer. */
  take(body: string): number;
}

const ACCEPTED = 202;
const IS_STALE = 409;
const IS_FENCED = 412;

export function createEngineOrders(
  setRole: (stage: EngineOrder['stage']) => void,
): EngineOrders {
  const taken: EngineOrder[] = [];
  let highestFence = 0;
  return {
    taken,
    take(body) {
      const order = JSON.parse(body) as EngineOrder & {
        readonly expect_rev?: number;
      };
      const {stage, fence, expect_rev: expected} = order;
      if (fence < highestFence) return IS_FENCED;
      if (expected !== undefined && expected !== taken.length) return IS_STALE;
      highestFence = fence;
      taken.push({stage, fence});
      setRole(stage);
      return ACCEPTED;
    },
  };
}
