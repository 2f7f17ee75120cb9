/** What one host has promised, as it announces it to its peers. */
export interface HostLoad {
  /** By upstream id: runs, tokens now, tokens at the end. */
  readonly decode: Readonly<Record<string, readonly [number, number, number]>>;
  /** By upstream id: prompts, tokens. */
  readonly prefill: Readonly<Record<string, readonly [number, number]>>;
}
