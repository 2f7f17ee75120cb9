/**
 * The platform's transactional table and object store, as the product needs
 * them. One adapter meets the platform's own protocol.
 */

/** JSON values, as rows carry them. */
export type JsonValue =
  | string
  | number
  | boolean
  | null
  | readonly JsonValue[]
  | {readonly [key: string]: JsonValue};

/** The value of a row. */
export type JsonRecord = {readonly [key: string]: JsonValue};

/** A row as read. `version` starts at 1 and grows by one with each write. */
export interface TableRow {
  readonly key: string;
  readonly version: number;
  readonly value: JsonRecord;
}

/** What must hold of a row for a transaction to apply. */
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

/** One change that a transaction makes. */
export type TableWrite =
  | {readonly kind: 'put'; readonly key: string; readonly value: JsonRecord}
  | {readonly kind: 'delete'; readonly key: string};

/** All writes happen, or none, and only if all conditions hold. */
export interface TableTransaction {
  /** Unique for each try to write; shown in the platform's log. */
  readonly attemptId: string;
  readonly conditions: readonly TableCondition[];
  readonly writes: readonly TableWrite[];
}

/** How a transaction ended, as far as the caller can know. */
export type WriteOutcome =
  | {
      readonly kind: 'applied';
      /** The table's own steady clock at the write, where it tells. */
      readonly tableNowMs?: number;
      /** How often the table came back from an older copy, where it tells. */
      readonly tableEra?: number;
    }
  | {
      /** Certainly not applied, because a condition did not hold. */
      readonly kind: 'rejected';
      /** Keys whose condition failed. */
      readonly failedKeys: readonly string[];
    }
  | {
      /** Certainly not applied: refused before it was tried. */
      readonly kind: 'refused';
      readonly reason: 'rate-limited' | 'unavailable' | 'budget';
      readonly retryAfterMs: number;
    }
  | {
      /** May be applied now, may be applied later, may never be. */
      readonly kind: 'unknown';
      readonly reason: string;
    };

/** How a read ended. */
export type ReadOutcome<T> =
  | {
      readonly kind: 'read';
      readonly value: T;
      /** The table's own steady clock at the read, where it tells. */
      readonly tableNowMs?: number;
      /** How often the table came back from an older copy, where it tells. */
      readonly tableEra?: number;
    }
  | {readonly kind: 'failed'; readonly reason: string};

/** The platform's table. */
export interface TablePort {
  /** Rows that exist among `keys`; absent ones are left out. */
  read(
    keys: readonly string[],
    timeoutMs: number,
  ): Promise<ReadOutcome<readonly TableRow[]>>;
  /** Rows whose key starts with `prefix`, in key order, after `afterKey`. */
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
  /** Overwrites. `unknown` when the answer was lost. */
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

/** One host as the platform's lagging list shows it. */
export interface ListedHost {
  readonly hostId: string;
  readonly failureDomain: string;
  /** Address of the host for our own processes, `ip:port`. */
  readonly address: string;
  /** What runs there: a router process, or an upstream of a service. */
  readonly role: 'router' | 'engine' | 'plain-service';
  /** For upstreams: the service it belongs to. */
  readonly service?: string;
  /** For engines: the role, as the list shows it. */
  readonly engineRole?: 'prefill' | 'decode';
  readonly state: 'live' | 'leaving';
}

/** The platform's list of live and leaving hosts; it lags. */
export interface HostListPort {
  list(timeoutMs: number): Promise<ReadOutcome<readonly ListedHost[]>>;
}
