/** Derives a list from another, anew only when that is another array. */
export function createDerivedList<Source, Item>(
  source: () => readonly Source[],
  derive: (list: readonly Source[]) => readonly Item[],
): () => readonly Item[] {
  let derivedOf: readonly Source[] | undefined;
  let derived: readonly Item[] = [];
  return () => {
    const list = source();
    if (list !== derivedOf) derived = derive(list);
    derivedOf = list;
    return derived;
  };
}
