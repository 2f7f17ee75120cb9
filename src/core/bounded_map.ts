/** A map with a size limit that evicts the entry set longest ago. */

export interface BoundedMap<Value> {
  get(key: string): Value | undefined;
  has(key: string): boolean;
  set(key: string, value: Value): void;
  delete(key: string): void;
  /** Returns the entries, those set longest ago first. */
  entries(): Iterable<readonly [string, Value]>;
}

export function createBoundedMap<Value>(maxEntries: number): BoundedMap<Value> {
  const values = new Map<string, Value>();
  return {
    get: key => values.get(key),
    has: key => values.has(key),
    set(key, value) {
      values.delete(key);
      values.set(key, value);
      if (values.size <= maxEntries) return;
      const [oldest] = values.keys();
      values.delete(oldest);
    },
    delete: key => void values.delete(key),
    entries: () => values.entries(),
  };
}
