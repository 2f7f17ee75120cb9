/**
 * Ports to the platform's transactional table, object store and list of hosts.
 * An adapter implements them for the platform's protocol.
 */

/** A JSON value in a row. */
export type JsonValue =
  | string
  | number
  | boolean
  | null
  | readonly JsonValue[]
  | {readonly [key: string]: JsonValue};

/** The value of a row. */
export type JsonRecord = {readonly [key: string]: JsonValue};

/** A row. Its `version` starts at 1 and increases by 1 with each write. */
export interface TableRow {
  readonly key: string;
  readonly version: number;
  readonly value: JsonRecord;
}

/** A condition on a row that must be true for a transaction to apply. */
export type TableCondition =
  | {readonly kind: 'absent'; readonly key: string}
  | {readonly kind: 'version'; readonly key: string; readonly version: number}
  | {
      /** The row exists and `value[field] === equals`. */
      readonly kind: 'field';
      readonly key: string;
      readonly field: string;
      readonly equals: string | number | boolean;
    };

/** A change of one row by a transaction. */
export type TableWrite =
  | {readonly kind: 'put'; readonly key: string; readonly value: JsonRecord}
  | {readonly kind: 'delete'; readonly key: string};

/** Applies all writes or none, and only if all conditions are true. */
export interface TableTransaction {
  /** Unique for each attempt to write; appears in the platform's log. */
  readonly attemptId: string;
  readonly conditions: readonly TableCondition[];
  readonly writes: readonly TableWrite[];
}

/** Outcome of a transaction, as far as the caller can determine it. */
export type WriteOutcome =
  | {
      readonly kind: 'applied';
      /** Time of the write on the table's monotonic clock, if reported. */
      readonly tableNowMs?: number;
      /** Number of times the table was restored from a copy, if reported. */
      readonly tableEra?: number;
    }
  | {
      /** Not applied, because a condition was false. */
      readonly kind: 'rejected';
      /** Keys whose condition failed. */
      readonly failedKeys: readonly string[];
    }
  | {
      /** Not applied, because it was refused before it was attempted. */
      readonly kind: 'refused';
      readonly reason: 'rate-limited' | 'unavailable' | 'budget';
      readonly retryAfterMs: number;
    }
  | {
      /** May have applied, may apply later, or may never apply. */
      readonly kind: 'unknown';
      readonly reason: string;
    };

/** Outcome of a read. */
export type ReadOutcome<T> =
  | {
      readonly kind: 'read';
      readonly value: T;
      /** Time of the read on the table's monotonic clock, if reported. */
      readonly tableNowMs?: number;
      /** Number of times the table was restored from a copy, if reported. */
      readonly tableEra?: number;
    }
  | {readonly kind: 'failed'; readonly reason: string};

/** The platform's table. */
export interface TablePort {
  /** Reads the rows of `keys`; rows that don't exist are omitted. */
  read(
    keys: readonly string[],
    timeoutMs: number,
  ): Promise<ReadOutcome<readonly TableRow[]>>;
  /** Reads rows whose key starts with `prefix`, in key order. */
  scan(
    prefix: string,
    options: {readonly afterKey?: string; readonly limit: number},
    timeoutMs: number,
  ): Promise<ReadOutcome<readonly TableRow[]>>;
  transact(
    transaction: TableTransaction,
    timeoutMs: number,
  ): Promise<WriteOutcome>;
}

/** The platform's object store, for values too large for a row. */
export interface ObjectStorePort {
  /** Stores or overwrites a value; `unknown` if the answer was lost. */
  put(
    key: string,
    body: Uint8Array,
    timeoutMs: number,
  ): Promise<'stored' | 'refused' | 'unknown'>;
  get(
    key: string,
    timeoutMs: number,
  ): Promise<ReadOutcome<Uint8Array | undefined>>;
  remove(key: string, timeoutMs: number): Promise<void>;
}

/** A host in the platform's list of hosts. */
export interface ListedHost {
  readonly hostId: string;
  readonly failureDomain: string;
  /** Address for processes of the system, `ip:port`. */
  readonly address: string;
  /** Whether the host runs a router process or an upstream. */
  readonly role: 'router' | 'engine' | 'plain-service';
  /** The service of an upstream. */
  readonly service?: string;
  /** The role of an engine in the list. */
  readonly engineRole?: 'prefill' | 'decode';
  readonly state: 'live' | 'leaving';
}

/** The platform's list of live and leaving hosts, which lags behind. */
export interface HostListPort {
  list(timeoutMs: number): Promise<ReadOutcome<readonly ListedHost[]>>;
}
