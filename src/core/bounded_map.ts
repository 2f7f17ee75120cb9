/** A map that forgets what was set longest ago once it holds too much. */

export interface BoundedMap<Value> {
  get(key: string): Value | undefined;
  has(key: string): boolean;
  set(key: string, value: Value): void;
  delete(key: string): void;
  /** From the one that was set longest ago. */
  entries(): Iterable<readonly [string, Value]>;
}

export function createBoundedMap<Value>(most: number): BoundedMap<Value> {
  const values = new Map<string, Value>();
  return {
    get: key => values.get(key),
    has: key => values.has(key),
    set(key, value) {
      values.delete(key);
      values.set(key, value);
      if (values.size <= most) return;
      const [oldest] = values.keys();
      values.delete(oldest);
    },
    delete: key => void values.delete(key),
    entries: () => values.entries(),
  };
}
