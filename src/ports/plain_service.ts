/** The port to plain services, which are HTTP services without models. */

export interface PlainCall {
  readonly requestId: string;
  readonly attemptId: string;
  readonly method: string;
  /** Path and query, starting with a slash. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly timeoutMs: number;
  /**
   * The call may use only a connection that was proven alive within this time;
   * 0 allows any connection.
   */
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
  /** Whether the upstream may have started the call. */
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
  /** Makes a round trip on a new connection. */
  probe(timeoutMs: number): Promise<boolean>;
}

export type PlainServicePortFactory = (address: string) => PlainServicePort;
