/** A cancellation that its owner can trigger once. */

import type {Cancellation} from '../../ports/relay.js';

export interface CancellationSource extends Cancellation {
  cancel(): void;
}

export function createCancellation(): CancellationSource {
  let isCancelled = false;
  let listeners: Array<() => void> = [];
  return {
    get isCancelled() {
      return isCancelled;
    },
    onCancel(listener) {
      if (isCancelled) listener();
      else listeners.push(listener);
    },
    cancel() {
      if (isCancelled) return;
      isCancelled = true;
      const called = listeners;
      listeners = [];
      for (const listener of called) listener();
    },
  };
}

/** A cancellation that is triggered by the first of the given ones. */
export function joinCancellations(
  first: Cancellation,
  second: Cancellation | undefined,
): Cancellation {
  if (!second) return first;
  const joined = createCancellation();
  first.onCancel(joined.cancel);
  second.onCancel(joined.cancel);
  return joined;
}
