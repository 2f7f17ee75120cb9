/** Memory of the Node process. */

import {totalmem} from 'node:os';
import {getHeapStatistics, setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import type {ProcessMemory} from '../ports/process_memory.js';

type CollectGarbage = (options?: {readonly type: 'minor'}) => void;

/** Node provides the function only under a flag, which applies from now on. */
function exposeCollectGarbage(): CollectGarbage {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as CollectGarbage;
}

/** The constrained memory is 0 or larger than the total if there is no limit. */
function findMaxResidentBytes(): number {
  const constrained = process.constrainedMemory();
  return constrained > 0 ? Math.min(constrained, totalmem()) : totalmem();
}

export function createProcessMemory(): ProcessMemory {
  let collectGarbage: CollectGarbage | undefined;
  return {
    usage() {
      const {used_heap_size, heap_size_limit} = getHeapStatistics();
      return {
        residentBytes: process.memoryUsage.rss(),
        heapBytes: used_heap_size,
        maxHeapBytes: heap_size_limit,
      };
    },
    maxResidentBytes: findMaxResidentBytes(),
    collect(kind) {
      collectGarbage ??= exposeCollectGarbage();
      if (kind === 'young') collectGarbage({type: 'minor'});
      else collectGarbage();
    },
  };
}
