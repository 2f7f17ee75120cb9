/** Memory of the process and its limit. */

export interface MemoryUsage {
  /** Resident memory of the whole process. */
  readonly residentBytes: number;
  readonly heapBytes: number;
  /** At which the JavaScript engine ends the process. */
  readonly maxHeapBytes: number;
}

/** `young` takes about a millisecond, `all` some tens of them. */
export type CollectionKind = 'young' | 'all';

export interface ProcessMemory {
  usage(): MemoryUsage;
  /** What the machine allows the process, in bytes. */
  readonly maxResidentBytes: number;
  /** Frees memory that is no longer referenced. */
  collect(kind: CollectionKind): void;
}
