/**
 * What a relay process knows of itself, from its host file.
 *
 * The file is YAML. One that is written in YAML's JSON subset and is complete
 * is read without the YAML and schema libraries: together they take 25 MB and
 * a third of a second at each start. Everything else goes to the full reader,
 * which names each mistake with its place.
 */

export interface RelaySettings {
  readonly hostId: string;
  readonly failureDomain: string;
  /** Where callers connect, `ip:port`. */
  readonly callerAddress: string;
  /** Where the platform asks whether this entry is ready. */
  readonly readyAddress: string;
  /** Where callers ask which entries to use. */
  readonly directoryAddress: string;
  readonly metricsAddress: string;
  /** UDP and TCP, between our own processes. */
  readonly peerAddress: string;
  /** Addresses of other hosts; their ports may be those of another use. */
  readonly seedAddresses: readonly string[];
  readonly storeAddress: string;
  /** Retries that a service may cost, for each request to it. */
  readonly retryRatio: number;
  /** Retries that a service may cost in any window, for all hosts together. */
  readonly retrySlack: number;
  /** From the signal to leave until the process is killed. */
  readonly leaveGraceMs: number;
  /** How long the holder of a lease may act without renewing it. */
  readonly leaseMs: number;
  /**
   * A withdrawn key works nowhere later than this after its withdrawal; absent
   * where hosts out of touch may go on.
   */
  readonly keyWithdrawalMs?: number;
}

type FieldCheck = (value: unknown) => boolean;

const isText: FieldCheck = value => typeof value === 'string' && value !== '';
const isAddress: FieldCheck = value =>
  typeof value === 'string' && /^.+:\d{1,5}$/.test(value);
const isAmount: FieldCheck = value =>
  typeof value === 'number' && Number.isFinite(value) && value >= 0;
const isAmountOrAbsent: FieldCheck = value =>
  value === undefined || isAmount(value);
const isAddressList: FieldCheck = value =>
  Array.isArray(value) && value.every(isAddress);

const CHECKS: Readonly<Record<keyof RelaySettings, FieldCheck>> = {
  hostId: isText,
  failureDomain: isText,
  callerAddress: isAddress,
  readyAddress: isAddress,
  directoryAddress: isAddress,
  metricsAddress: isAddress,
  peerAddress: isAddress,
  seedAddresses: isAddressList,
  storeAddress: isAddress,
  retryRatio: isAmount,
  retrySlack: isAmount,
  leaveGraceMs: isAmount,
  leaseMs: isAmount,
  keyWithdrawalMs: isAmountOrAbsent,
};

/** Undefined when the text is not complete, well-typed JSON. */
export function readJsonRelaySettings(text: string): RelaySettings | undefined {
  const value = parseJson(text);
  if (typeof value !== 'object' || value === null) return undefined;
  const fields = value as Readonly<Record<string, unknown>>;
  const isComplete = Object.entries(CHECKS).every(([name, check]) =>
    check(fields[name]),
  );
  return isComplete ? (value as RelaySettings) : undefined;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    // Any other YAML is for the full reader.
    return undefined;
  }
}
