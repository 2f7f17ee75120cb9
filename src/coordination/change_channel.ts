/** Publishes state changes as a `most` stream. */

import {createAdapter} from '@most/adapter';
import {runEffects, tap, until} from '@most/core';
import {newDefaultScheduler} from '@most/scheduler';
import type {Stream} from '@most/types';

export interface ChangeChannel<T> {
  /** Passes `change` to every listener synchronously. */
  emit(change: T): void;
  readonly stream: Stream<T>;
  /** Calls `listener` for each change; the returned function unsubscribes. */
  listen(listener: (change: T) => void): () => void;
}

export function createChangeChannel<T>(): ChangeChannel<T> {
  const [emit, stream] = createAdapter<T>();
  return {
    emit,
    stream,
    listen(listener) {
      const [stop, stopped] = createAdapter<void>();
      const effects = until(stopped, tap(listener, stream));
      void runEffects(effects, newDefaultScheduler());
      return () => stop();
    },
  };
}
