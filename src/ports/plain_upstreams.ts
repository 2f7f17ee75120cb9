/** The port that picks the upstream of a call to a plain service. */

export interface PickedUpstream {
  readonly upstreamId: string;
  /** `ip:port`. */
  readonly address: string;
}

/** Result of a call, from which the picker updates load and health. */
export type PlainCallResult =
  | 'answered'
  | 'cancelled'
  /** No connection was made; nothing was sent. */
  | 'unreachable'
  /** The connection broke, went silent or timed out after sending. */
  | 'broken'
  /** The upstream refused the call because it is leaving. */
  | 'leaving';

/**
 * Picks upstreams of plain services. For each `started` there must be exactly
 * one later `ended` with the same upstream.
 */
export interface PlainUpstreamPicker {
  /** Undefined if no upstream outside `excludeIds` is usable. */
  pick(
    service: string,
    excludeIds: readonly string[],
  ): PickedUpstream | undefined;
  started(upstreamId: string): void;
  ended(upstreamId: string, result: PlainCallResult, latencyMs: number): void;
}
