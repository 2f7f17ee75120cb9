/** The load that one host has reserved, as announced to its peers. */
export interface HostLoad {
  /** By upstream id: runs, tokens now, forecast tokens at the end. */
  readonly decode: Readonly<Record<string, readonly [number, number, number]>>;
  /** By upstream id: prompts, tokens. */
  readonly prefill: Readonly<Record<string, readonly [number, number]>>;
}
