/**
 * The world of a relay, as the product needs it: callers' requests as opaque
 * bytes, upstreams, and the store that the operator and the upstreams write to.
 * Adapters meet a platform's own names and formats behind these.
 */

import type {Routing} from '../core/routing_types.js';
import type {StoreMoment, StoreRevision} from '../core/store_revision.js';
import type {
  Upstream,
  UpstreamRole,
  UpstreamSnapshot,
} from '../core/upstream.js';

/** Names and values in turn, as they stand in the message. */
export type RawHeaders = readonly string[];

/** What the router has to know of a model request without reading its body. */
export interface PromptDescription {
  readonly model: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's estimate of the output; often far off. */
  readonly expectedOutputTokens?: number;
}

/** A caller's request, read whole. */
export interface RelayRequest {
  /** The caller's own id; new with each of its attempts. */
  readonly requestId: string;
  readonly method: string;
  /** Path and query as sent. */
  readonly target: string;
  readonly host: string;
  /**
   * Without hop headers, without the caller's key, and without those that only
   * the system sets.
   */
  readonly headers: RawHeaders;
  /** Digest of the caller's key. */
  readonly keyDigest?: string;
  /** The client account it runs for, as upstreams are to see it. */
  readonly accountName?: string;
  readonly body: Buffer;
  readonly arrivedAtMs: number;
  /** How long the caller waits, from the arrival. */
  readonly waitMs: number;
  readonly prompt?: PromptDescription;
  /** The caller resumes a stream after this event. */
  readonly lastEventId?: string;
}

/** Reads what the headers of a caller's request say. */
export interface RequestReader {
  read(headers: RawHeaders): RequestFacts;
}

export interface RequestFacts {
  readonly requestId: string;
  /** Undefined when the caller does not say. */
  readonly waitMs?: number;
  readonly prompt?: PromptDescription;
  readonly lastEventId?: string;
  /** Digest of the caller's key. */
  readonly keyDigest?: string;
  /** Headers to hand on. */
  readonly forwarded: RawHeaders;
}

/** How much of a send may have had an effect. */
export type SendFailure =
  /** No connection was made, or it ended before a byte was written. */
  | {readonly kind: 'unreachable'; readonly detail: string}
  /** Nothing was sent: the upstream asks for fewer requests. */
  | {
      readonly kind: 'withheld';
      readonly detail: string;
      /** Whom the upstream asked for it. */
      readonly scope: 'this-host' | 'all-hosts';
      readonly retryAfterMs: number;
    }
  /** The upstream says that it did not run the request. */
  | {
      readonly kind: 'rejected';
      readonly reason: 'full' | 'other-instance' | 'other-role' | 'other';
      readonly detail: string;
    }
  /** The request may have run, and no answer to it was had. */
  | {readonly kind: 'broken'; readonly detail: string}
  | {readonly kind: 'cancelled'};

/** The head of an upstream's answer to this very request. */
export interface UpstreamAnswer {
  readonly kind: 'answered';
  readonly status: number;
  /** As sent, without hop headers. */
  readonly headers: RawHeaders;
  readonly hasSignature: boolean;
  readonly body: AnswerBody;
}

/** The body of an answer as it arrives. Exactly one of the ends is called. */
export interface AnswerBody {
  /** Starts the flow. */
  read(sink: AnswerBodySink): void;
  pause(): void;
  resume(): void;
  /** Ends the connection; the upstream stops work. */
  destroy(): void;
}

export interface AnswerBodySink {
  chunk(bytes: Buffer): void;
  /** The body arrived whole. */
  end(): void;
  /** The connection broke before the body was whole. */
  broken(detail: string): void;
}

export interface SendOptions {
  readonly upstream: Upstream;
  /** How long the upstream may work on the request. */
  readonly leftMs: number;
  readonly connectTimeoutMs: number;
  /** Longest wait for the head of the answer. */
  readonly headTimeoutMs: number;
  /**
   * Whether a kept connection may carry the request. One that went silent
   * while it lay idle would swallow it.
   */
  readonly mayReuseConnection: boolean;
  /** Start from the prefill result of another engine. */
  readonly prefill?: PrefillResultPlace;
  /** Go on after this event of an earlier run. */
  readonly resumeAfterEvent?: string;
  /** Longest wait for a place within a limit that the upstream names. */
  readonly permitWaitMs?: number;
  /** Rank among waiting requests of an engine, 0 first; 5 when absent. */
  readonly enginePriority?: number;
}

export interface PrefillResultPlace {
  readonly engineId: string;
  /** Address of the engine that made it. */
  readonly address: string;
  readonly handle: string;
}

export type PrefillOutcome =
  {readonly kind: 'prefilled'; readonly handle: string} | SendFailure;

/** Lets the holder of a running call end it. */
export interface Cancellation {
  readonly isCancelled: boolean;
  /** Called once, at once if already cancelled. */
  onCancel(listener: () => void): void;
}

export interface EngineReport {
  readonly role: UpstreamRole;
  readonly isChanging: boolean;
  /** Orders that the engine accepted since its start. */
  readonly orderCount: number;
  /** Unix time of that start, where engines tell. */
  readonly startedAtMs?: number;
}

export interface RoleOrder {
  readonly role: UpstreamRole;
  readonly holder: string;
  readonly fence: number;
  /** The engine refuses when it has accepted another number of orders. */
  readonly expectedOrderCount: number;
}

export type RoleOrderOutcome = 'accepted' | 'fenced' | 'refused' | 'unknown';

/** What an upstream says of itself beside an answer. */
export interface UpstreamSignals {
  /** Requests a second that it takes from all hosts together. */
  readonly limitPerS?: number;
  /** It leaves and is to get no new work. */
  readonly isLeaving?: true;
  /** It refused, and wants nothing from this host for so long. */
  readonly restMs?: number;
}

/** Told of each answer that an upstream gave to a request of this host. */
export interface UpstreamSignalListener {
  heard(upstream: Upstream, signals: UpstreamSignals, sentAtMs: number): void;
}

export interface UpstreamPort {
  send(
    request: RelayRequest,
    options: SendOptions,
    cancellation: Cancellation,
  ): Promise<UpstreamAnswer | SendFailure>;
  /** Has the prompt prefilled and kept for a decode engine. */
  prefill(
    request: RelayRequest,
    options: SendOptions,
    cancellation: Cancellation,
  ): Promise<PrefillOutcome>;
  /** Frees a prefill result that nobody will take. */
  releasePrefill(place: PrefillResultPlace): void;
  /** Whether a connection can be made and the upstream answers. */
  isReachable(upstream: Upstream): Promise<boolean>;
  report(upstream: Upstream): Promise<EngineReport | undefined>;
  order(upstream: Upstream, order: RoleOrder): Promise<RoleOrderOutcome>;
}

/** A read of the store: its value, or why there is none. */
export type StoreRead<T> =
  | {readonly kind: 'read'; readonly value: T}
  /** The history asked for is no longer there; start anew. */
  | {readonly kind: 'history-lost'}
  | {readonly kind: 'failed'; readonly detail: string};

export interface RoutingUpdate {
  /** Resume the feed from here; of the era that answered. */
  readonly cursor: StoreRevision;
  /** When the store answered. */
  readonly storeNow: StoreMoment;
  /** Absent when nothing changed. */
  readonly routing?: Routing;
  /** A version was there that cannot be read. */
  readonly isUnreadable?: boolean;
}

/** What the operator wrote. */
export interface RoutingSource {
  readNow(timeoutMs: number): Promise<StoreRead<RoutingUpdate>>;
  /** Waits up to `waitMs` for a change after `cursor`. */
  readNext(
    cursor: StoreRevision,
    waitMs: number,
    timeoutMs: number,
  ): Promise<StoreRead<RoutingUpdate>>;
  /** For handing the configuration to peers, as the store has it. */
  encode(routing: Routing): string;
  decode(text: string): Routing | undefined;
}

export interface UpstreamSource {
  readNow(timeoutMs: number): Promise<StoreRead<UpstreamSnapshot>>;
}

/** One of our own processes as it registered itself. */
export interface HostRecord {
  readonly hostId: string;
  readonly peerAddress: string;
}

export interface HostRegistry {
  register(record: HostRecord, timeoutMs: number): Promise<boolean>;
  readAll(timeoutMs: number): Promise<StoreRead<readonly HostRecord[]>>;
  remove(hostId: string, timeoutMs: number): Promise<boolean>;
}
