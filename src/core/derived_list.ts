/** Caches a list derived from another until the source array changes. */
export function createDerivedList<Source, Item>(
  source: () => readonly Source[],
  derive: (list: readonly Source[]) => readonly Item[],
): () => readonly Item[] {
  let lastSource: readonly Source[] | undefined;
  let derived: readonly Item[] = [];
  return () => {
    const list = source();
    if (list !== lastSource) derived = derive(list);
    lastSource = list;
    return derived;
  };
}
