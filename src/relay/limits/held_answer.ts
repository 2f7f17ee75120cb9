/** Counts what is held of an answer until it is forwarded. */

import type {Holding, MemoryBudget} from './memory_budget.js';

export interface HeldAnswer {
  /** This many bytes are held now. May end this answer or another one. */
  set(bytes: number): void;
  close(): void;
}

export interface HeldAnswerOptions {
  readonly requestId: string;
  /** Frees what is held, as memory is scarce. */
  end(): void;
}

/** Most answers never hold more; they are part of what a request takes. */
const MIN_COUNTED_BYTES = 16 * 1024;

export function createHeldAnswer(
  memory: Pick<MemoryBudget, 'open'>,
  {requestId, end}: HeldAnswerOptions,
): HeldAnswer {
  let holding: Holding | undefined;

  function close(): void {
    holding?.close();
    holding = undefined;
  }

  return {
    set(bytes) {
      if (bytes < MIN_COUNTED_BYTES) return close();
      holding ??= memory.open({kind: 'answer', requestId, end});
      holding.resize(bytes);
    },
    close,
  };
}
