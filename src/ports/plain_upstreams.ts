/** How a call to a plain service finds its upstream. */

export interface PickedUpstream {
  readonly upstreamId: string;
  /** `ip:port`. */
  readonly address: string;
}

/** How one call ended, as the picker's load and health books see it. */
export type PlainCallResult =
  | 'answered'
  | 'cancelled'
  /** No connection could be made; nothing was sent. */
  | 'unreachable'
  /** The connection broke, went silent or timed out after sending. */
  | 'broken'
  /** The upstream answered that it is leaving. */
  | 'leaving';

/**
 * Picks upstreams of plain services. Each `started` is followed by exactly one
 * `ended` for the same upstream.
 */
export interface PlainUpstreamPicker {
  /** Undefined when no upstream outside `excludeIds` is usable. */
  pick(
    service: string,
    excludeIds: readonly string[],
  ): PickedUpstream | undefined;
  started(upstreamId: string): void;
  ended(upstreamId: string, result: PlainCallResult, latencyMs: number): void;
}
