/** Plain services beside the model engines, as the product needs them. */

export interface PlainCall {
  readonly requestId: string;
  readonly attemptId: string;
  readonly method: string;
  /** Path and query, beginning with a slash. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly timeoutMs: number;
  /** Only a connection proven alive this recently may carry the call; 0: any. */
  readonly connectionProvenWithinMs: number;
}

export interface PlainAnswer {
  readonly kind: 'answered';
  readonly status: number;
  readonly headers: Readonly<
    Record<string, string | readonly string[] | undefined>
  >;
  readonly body: Uint8Array;
}

export interface PlainFailure {
  readonly kind: 'failed';
  /** Whether the upstream may have begun the call. */
  readonly mayHaveRun: boolean;
  readonly reason:
    'unreachable' | 'broken' | 'timeout' | 'cancelled' | 'too-large';
  readonly detail: string;
}

/** Calls to one upstream of a plain service. */
export interface PlainServicePort {
  call(
    call: PlainCall,
    signal: AbortSignal,
  ): Promise<PlainAnswer | PlainFailure>;
  /** A round trip on a fresh connection. */
  probe(timeoutMs: number): Promise<boolean>;
}

export type PlainServicePortFactory = (address: string) => PlainServicePort;
