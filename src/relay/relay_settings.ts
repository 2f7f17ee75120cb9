/**
 * Settings of a relay process, from its host file.
 *
 * The file is YAML. A complete file in YAML's JSON subset is read without the
 * YAML and schema libraries, which take 25 MB and a third of a second at each
 * start. Other files go to the full reader, which reports each error and its
 * position.
 */

export interface RelaySettings {
  readonly hostId: string;
  readonly failureDomain: string;
  /** Address that callers connect to, `ip:port`. */
  readonly callerAddress: string;
  /** Address at which the platform checks whether this entry is ready. */
  readonly readyAddress: string;
  /** Address at which callers get the list of entries. */
  readonly directoryAddress: string;
  readonly metricsAddress: string;
  /** Address for traffic between relay processes, UDP and TCP. */
  readonly peerAddress: string;
  /** Addresses of other hosts; only the IP is used, not the port. */
  readonly seedAddresses: readonly string[];
  readonly storeAddress: string;
  /** Retries allowed per request to a service. */
  readonly retryRatio: number;
  /** Additional retries per service in any window, for all hosts together. */
  readonly retrySlack: number;
  /** Time from the signal to leave until the process is killed. */
  readonly leaveGraceMs: number;
  /** Time for which the holder of a lease may act without a renewal. */
  readonly leaseMs: number;
  /**
   * Maximum time for which a key works on any host after its withdrawal. Absent
   * if hosts without a current configuration may go on accepting keys.
   */
  readonly keyWithdrawalMs?: number;
  /**
   * Units by which the hosts may together exceed the limit of a client account
   * while some can't reach the others. Absent if they may not.
   */
  readonly limitSlack?: number;
  /** Rate of the host's link; absent if not known, as the following. */
  readonly linkMbps?: number;
  /** Share of each of the host's cores that this process may use. */
  readonly cpuShare?: number;
  readonly coreCount?: number;
  readonly memoryMb?: number;
  /** Descriptors that the process may have open. */
  readonly maxDescriptors?: number;
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
  limitSlack: isAmountOrAbsent,
  linkMbps: isAmountOrAbsent,
  cpuShare: isAmountOrAbsent,
  coreCount: isAmountOrAbsent,
  memoryMb: isAmountOrAbsent,
  maxDescriptors: isAmountOrAbsent,
};

/** Returns undefined if the text isn't JSON with all fields of valid types. */
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
    // The full reader handles any other YAML.
    return undefined;
  }
}
