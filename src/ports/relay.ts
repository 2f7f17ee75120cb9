/**
 * Ports of the relay: callers' requests as opaque bytes, upstreams, and the
 * store that the operator and the upstreams write to. Adapters implement them
 * for the names and formats of a platform.
 */

import type {RequestError} from '../core/error_kinds.js';
import type {Routing} from '../core/routing_types.js';
import type {StoreMoment, StoreRevision} from '../core/store_revision.js';
import type {
  Upstream,
  UpstreamRole,
  UpstreamSnapshot,
} from '../core/upstream.js';

/** Alternating names and values, in the order of the message. */
export type RawHeaders = readonly string[];

/** Facts about a model request that are known without reading its body. */
export interface PromptDescription {
  readonly model: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's estimate of the output, which is often inaccurate. */
  readonly expectedOutputTokens?: number;
}

/** A caller's request with its whole body. */
export interface RelayRequest {
  /** Id set by the caller, different for each of its attempts. */
  readonly requestId: string;
  readonly method: string;
  /** Path and query, as received. */
  readonly target: string;
  readonly host: string;
  /**
   * Without hop-by-hop headers, the caller's key, and headers that only the
   * system may set.
   */
  readonly headers: RawHeaders;
  /** Digest of the caller's key. */
  readonly keyDigest?: string;
  /** Name of the client account, as sent to upstreams. */
  readonly accountName?: string;
  readonly body: Buffer;
  readonly arrivedAtMs: number;
  /** How long the caller waits from the arrival on. */
  readonly waitMs: number;
  readonly prompt?: PromptDescription;
  /** Ids of the prompt's parts that other requests may have too. */
  readonly sharedParts?: readonly string[];
  /** Set if the caller resumes a stream after this event. */
  readonly lastEventId?: string;
  /** Id of the caller's attempt that brought the first event of that stream. */
  readonly resumes?: string;
}

/** Reads the headers of callers' requests. */
export interface RequestReader {
  read(headers: RawHeaders): RequestFacts;
}

export interface RequestFacts {
  readonly requestId: string;
  /** Undefined if the caller sets no limit. */
  readonly waitMs?: number;
  readonly prompt?: PromptDescription;
  readonly sharedParts?: readonly string[];
  readonly lastEventId?: string;
  readonly resumes?: string;
  /** Digest of the caller's key. */
  readonly keyDigest?: string;
  /** Headers to forward to the upstream. */
  readonly forwarded: RawHeaders;
}

/** Why a send failed, which also tells whether the request may have run. */
export type SendFailure =
  /** No connection was made, or it closed before a byte was written. */
  | {
      readonly kind: 'unreachable';
      readonly detail: string;
      /** A connection was made, but it closed before a byte was sent. */
      readonly wasConnected?: boolean;
    }
  /** Nothing was sent, because the upstream asked for fewer requests. */
  | {
      readonly kind: 'withheld';
      readonly detail: string;
      /** The hosts that the upstream asked for fewer requests. */
      readonly scope: 'this-host' | 'all-hosts';
      readonly retryAfterMs: number;
    }
  /** Nothing was sent, because the request may crash upstreams. */
  | {
      readonly kind: 'quarantined';
      readonly detail: string;
      readonly error: RequestError;
    }
  /** The upstream answered that it didn't run the request. */
  | {
      readonly kind: 'rejected';
      readonly reason: 'full' | 'other-instance' | 'other-role' | 'other';
      readonly detail: string;
    }
  /** The request may have run, but no answer arrived. */
  | {
      readonly kind: 'broken';
      readonly detail: string;
      /** The connection closed without an answer. */
      readonly wasReset?: boolean;
      /** A peer made the call, and the peer broke off. */
      readonly isOfPeer?: boolean;
    }
  | {readonly kind: 'cancelled'};

/** The head of an upstream's answer to a request. */
export interface UpstreamAnswer {
  readonly kind: 'answered';
  readonly status: number;
  /** As received, without hop-by-hop headers. */
  readonly headers: RawHeaders;
  readonly hasSignature: boolean;
  readonly body: AnswerBody;
}

/** The body of an answer, as a stream. */
export interface AnswerBody {
  /**
   * Whether the body has neither a length nor chunks, so that it ends with its
   * connection.
   */
  readonly isUnframed: boolean;
  /** Starts reading into `sink`. */
  read(sink: AnswerBodySink): void;
  pause(): void;
  resume(): void;
  /** Closes the connection, so the upstream stops its work. */
  destroy(): void;
}

/** What is known of why a body broke off. */
export interface BreakCause {
  /** A peer made the call, and the peer broke off. */
  readonly isOfPeer?: boolean;
}

/** Receives the body of an answer; `end` or `broken` is called exactly once. */
export interface AnswerBodySink {
  chunk(bytes: Buffer): void;
  /** The body is complete. */
  end(): void;
  /** The connection broke before the body was complete. */
  broken(detail: string, cause?: BreakCause): void;
}

export interface SendOptions {
  readonly upstream: Upstream;
  /** Time that the upstream has for the request. */
  readonly leftMs: number;
  readonly connectTimeoutMs: number;
  /**
   * Timeout of the answer, up to its end. The name is part of the messages
   * between hosts.
   */
  readonly headTimeoutMs: number;
  /**
   * Whether the request may use a kept-alive connection. If that connection
   * went silent while idle, the request would be lost.
   */
  readonly mayReuseConnection: boolean;
  /** The prefill result of another engine to start from. */
  readonly prefill?: PrefillResultPlace;
  /** The event of an earlier run after which to continue. */
  readonly resumeAfterEvent?: string;
  /** How long to wait after connecting before the first byte is sent. */
  readonly firstByteDelayMs?: number;
  /** Longest wait for a permit under the rate limit of the upstream. */
  readonly permitWaitMs?: number;
  /** Called when the wait for the permit has ended, and the request is sent. */
  readonly onPermitted?: () => void;
  /** Priority in the queue of an engine; 0 is first, and 5 the default. */
  readonly enginePriority?: number;
  /** Whether an answer without a content type is an event stream. */
  readonly expectsEvents?: boolean;
}

export interface PrefillResultPlace {
  readonly engineId: string;
  /** Address of the engine that holds the result. */
  readonly address: string;
  readonly handle: string;
}

export type PrefillOutcome =
  {readonly kind: 'prefilled'; readonly handle: string} | SendFailure;

/** Cancels a running call. */
export interface Cancellation {
  readonly isCancelled: boolean;
  /** Calls `listener` once, or at once if already cancelled. */
  onCancel(listener: () => void): void;
}

export interface EngineReport {
  readonly role: UpstreamRole;
  readonly isChanging: boolean;
  /** Number of orders that the engine accepted since its start. */
  readonly orderCount: number;
  /** Unix time of the start, if the engine reports it. */
  readonly startedAtMs?: number;
  /** Absent if the engine doesn't report its runs. */
  readonly runs?: EngineRuns;
}

/** The work of an engine, as of some hundred ms before its report. */
export interface EngineRuns {
  /** Events made, by the id of the request. */
  readonly eventCounts: ReadonlyMap<string, number>;
  /** Number of requests that wait, those that were preempted included. */
  readonly waitingCount: number;
}

export interface RoleOrder {
  readonly role: UpstreamRole;
  readonly holder: string;
  readonly fence: number;
  /** The engine refuses the order if its order count differs. */
  readonly expectedOrderCount: number;
}

export type RoleOrderOutcome = 'accepted' | 'fenced' | 'refused' | 'unknown';

/** Information about an upstream that it sends along with an answer. */
export interface UpstreamSignals {
  /** Limit of requests per second from all hosts together. */
  readonly limitPerS?: number;
  /** The upstream is leaving and must get no new requests. */
  readonly isLeaving?: true;
  /** The upstream refused and wants no requests of this host for this time. */
  readonly restMs?: number;
}

/** Gets the signals of each answer to a request of this host. */
export interface UpstreamSignalListener {
  onSignals(
    upstream: Upstream,
    signals: UpstreamSignals,
    sentAtMs: number,
  ): void;
}

export type ProbeOutcome =
  /** An answer arrived, not necessarily from the same instance. */
  | 'answered'
  /** Another instance answered. */
  | 'other-instance'
  /** Nothing accepts connections at the address. */
  | 'refused'
  /** No connection could be made, or no answer arrived on it. */
  | 'no-answer';

export interface UpstreamPort {
  send(
    request: RelayRequest,
    options: SendOptions,
    cancellation: Cancellation,
  ): Promise<UpstreamAnswer | SendFailure>;
  /** Prefills the prompt and keeps the result for a decode engine. */
  prefill(
    request: RelayRequest,
    options: SendOptions,
    cancellation: Cancellation,
  ): Promise<PrefillOutcome>;
  /** Frees a prefill result that won't be used. */
  releasePrefill(place: PrefillResultPlace): void;
  /** Asks for an answer at the address of the upstream. */
  probe(upstream: Upstream): Promise<ProbeOutcome>;
  report(upstream: Upstream): Promise<EngineReport | undefined>;
  order(upstream: Upstream, order: RoleOrder): Promise<RoleOrderOutcome>;
}

/** Result of a read of the store. */
export type StoreRead<T> =
  | {readonly kind: 'read'; readonly value: T}
  /** The requested history is no longer available; read from the start. */
  | {readonly kind: 'history-lost'}
  | {readonly kind: 'failed'; readonly detail: string};

export interface RoutingUpdate {
  /** Where to resume the feed, in the era of the store that answered. */
  readonly cursor: StoreRevision;
  /** Time of the answer on the store's clock. */
  readonly storeNow: StoreMoment;
  /** Absent if nothing changed. */
  readonly routing?: Routing;
  /** Whether the store holds a version that can't be parsed. */
  readonly isUnreadable?: boolean;
}

/**
 * The connection of a call to the store. A pooled one may have gone silent
 * while it was idle.
 */
export type StoreConnection = 'pooled' | 'new';

/** The routing that the operator writes to the store. */
export interface RoutingSource {
  readNow(
    timeoutMs: number,
    connection?: StoreConnection,
  ): Promise<StoreRead<RoutingUpdate>>;
  /** Waits up to `waitMs` for a change after `cursor`. */
  readNext(
    cursor: StoreRevision,
    waitMs: number,
    timeoutMs: number,
  ): Promise<StoreRead<RoutingUpdate>>;
  /** Encodes the routing for peers, in the format of the store. */
  encode(routing: Routing): string;
  decode(text: string): Routing | undefined;
}

export interface UpstreamSource {
  readNow(
    timeoutMs: number,
    connection?: StoreConnection,
  ): Promise<StoreRead<UpstreamSnapshot>>;
}

/** The registration of one process of the system. */
export interface HostRecord {
  readonly hostId: string;
  readonly peerAddress: string;
}

export interface HostRegistry {
  register(record: HostRecord, timeoutMs: number): Promise<boolean>;
  readAll(timeoutMs: number): Promise<StoreRead<readonly HostRecord[]>>;
  remove(hostId: string, timeoutMs: number): Promise<boolean>;
}
