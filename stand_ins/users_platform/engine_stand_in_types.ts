/** Options, records and controls of the engine stand-in. */

import type http from 'node:http';
import type {Preemption} from './run_progress.js';

/** How the upstream handles the following requests. */
export type EngineBehaviour =
  | 'answer'
  /** Answers with status 500 and its signature. */
  | 'fail'
  /** Refuses with status 503, without running the request. */
  | 'full'
  /** Runs the request and resets the connection. */
  | 'lose-answer'
  /** Answers with the id of another request. */
  | 'wrong-id'
  /** Answers without its signature. */
  | 'unsigned'
  /** Never answers. */
  | 'hang';

export interface EngineRun {
  readonly requestId: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly method: string;
  readonly target: string;
  readonly body: string;
  /** Ids of the parts of its prompt. */
  readonly parts: readonly string[];
  readonly stage: 'whole' | 'prefill' | 'decode';
  /** On the monotonic clock of this process. */
  readonly startedAtMs: number;
  /** The caller's connection closed before the end of the answer. */
  wasDisconnected: boolean;
  /** When that connection closed, on the same clock. */
  disconnectedAtMs?: number;
  /** When the whole answer was sent, on the same clock. */
  endedAtMs?: number;
  /** When the latest event was sent, on the same clock. */
  lastEventAtMs?: number;
  /** When an event was first withheld on a silenced connection. */
  silencedAtMs?: number;
  /** When the engine itself broke its answer off. */
  brokenOffAtMs?: number;
}

/**
 * A request that reached the upstream; the time is on the monotonic clock of
 * this process.
 */
export interface EngineArrival {
  readonly requestId: string;
  readonly atMs: number;
  /** It was refused with a `Retry-After`. */
  readonly wasAskedToRest: boolean;
}

/** What is left of an upstream after a request has crashed it. */
export type CrashedPort =
  /** Connections are refused. */
  | 'closed'
  /** Connections are reset once a request has arrived. */
  | 'resetting'
  /** Connections are accepted and never answered. */
  | 'silent';

/** How a request crashes the upstream that begins to run it. */
export interface Crash {
  readonly port: CrashedPort;
  /** Whether the head and the first bytes of an answer are sent before. */
  readonly answersFirst?: boolean;
}

export interface EngineOptions {
  readonly id: string;
  readonly service: string;
  readonly role?: 'prefill' | 'decode';
  readonly eventCount?: number;
  /** Blanks that each event of a stream has beside its text. */
  readonly eventBytes?: number;
  /** The interval of a stream's events, or how it is drawn for each stream. */
  readonly eventEveryMs?: number | (() => number);
  /** How long a call to a plain service takes; 0 if absent. */
  readonly workMs?: () => number;
  /** Version of the software, in the row and in every event; absent if none. */
  readonly version?: string;
  /** Returns how the run crashes the upstream, or that it fails, if it does. */
  readonly crashOf?: (run: EngineRun) => Crash | 'fail' | undefined;
  /** Whether the engine's report lists its runs. */
  readonly reportsRuns?: boolean;
  readonly preemption?: Preemption;
  /** A run has crashed the upstream. */
  readonly onCrash?: (upstream: EngineStandIn) => void;
}

/** How a stream breaks off. */
export interface StreamBreak {
  readonly afterEvents: number;
  /** How much of the next event is sent; negative counts from its end. */
  readonly restBytes: number;
  /** Resets the connection instead of closing it. */
  readonly isReset?: boolean;
  /** Runs that resume a stream are not broken off. */
  readonly isFirstRunOnly?: boolean;
}

export interface EngineStandIn {
  /** Id of the present instance; new with each start. */
  readonly id: string;
  readonly address: string;
  readonly version?: string;
  /** Returns the value of the upstream's row in the store. */
  row(state?: 'ready' | 'draining'): object;
  readonly runs: EngineRun[];
  /** All requests that arrived, including refused ones. */
  readonly arrivals: readonly EngineArrival[];
  /** Number of refused requests. */
  refusalCount(): number;
  /**
   * Number of prefill results not yet deleted, including those already used for
   * a decode.
   */
  keptResultCount(): number;
  /** Accepted orders, oldest first. */
  readonly orders: ReadonlyArray<{
    readonly stage: string;
    readonly fence: number;
  }>;
  setBehaviour(behaviour: EngineBehaviour): void;
  /** Sets the rate limit sent with every answer; undefined sends none. */
  setLimit(perS: number | undefined): void;
  /** Announces in every answer that the upstream is leaving. */
  setLeaving(): void;
  /** Sets the `Retry-After` of 503 answers; undefined sends none. */
  setRetryAfter(seconds: number | undefined): void;
  /** Makes the engine crash after this many events of a stream. */
  crashAfterEvents(count: number): void;
  /** Makes a stream stall, but stay open, after this many events. */
  stallAfterEvents(count: number): void;
  /**
   * Sends answers with neither a length nor chunks, which end with their
   * connection, or frames them again.
   */
  setUnframed(isUnframed: boolean): void;
  /** Makes all streams break off like this; undefined ends it. */
  setBreakOff(how: StreamBreak | undefined): void;
  /**
   * Stands still: accepts connections, but reads and sends nothing until
   * `resume`.
   */
  pause(): void;
  resume(): void;
  /**
   * Neither reads nor sends anything more on connections that are open, without
   * closing them.
   */
  silenceConnections(): void;
  crash(port?: CrashedPort): void;
  /** Starts another instance, perhaps of another version, at the same address. */
  restart(newId: string, newVersion?: string): Promise<void>;
  close(): void;
}
