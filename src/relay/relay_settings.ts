/**
 * Settings of a relay process, from its host file.
 *
 * The file is YAML. A complete file in YAML's JSON subset is read without the
 * YAML and schema libraries, which take 25 MB and a third of a second at each
 * start. Other files go to the full reader, which reports each error and its
 * position.
 */

import {readBounds, type BoundIssue, type RelayBounds} from './relay_bounds.js';

/** Names and addresses, without which a host can't start. */
export interface RelayIdentity {
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
}

export interface RelaySettings extends RelayIdentity, RelayBounds {}

export interface UsableSettings {
  readonly settings: RelaySettings;
  /** Values that were replaced. */
  readonly issues: readonly BoundIssue[];
}

type FieldCheck = (value: unknown) => boolean;

const isText: FieldCheck = value => typeof value === 'string' && value !== '';
const isAddress: FieldCheck = value =>
  typeof value === 'string' && /^.+:\d{1,5}$/.test(value);
const isAddressList: FieldCheck = value =>
  Array.isArray(value) && value.every(isAddress);

const CHECKS: Readonly<Record<keyof RelayIdentity, FieldCheck>> = {
  hostId: isText,
  failureDomain: isText,
  callerAddress: isAddress,
  readyAddress: isAddress,
  directoryAddress: isAddress,
  metricsAddress: isAddress,
  peerAddress: isAddress,
  seedAddresses: isAddressList,
  storeAddress: isAddress,
};

const IDENTITY_NAMES = Object.keys(CHECKS) as ReadonlyArray<
  keyof RelayIdentity
>;

/** Returns undefined if the text isn't JSON with all names and addresses. */
export function readJsonRelaySettings(
  text: string,
): UsableSettings | undefined {
  const value = parseJson(text);
  if (typeof value !== 'object' || value === null) return undefined;
  const fields = value as Readonly<Record<string, unknown>>;
  const isComplete = IDENTITY_NAMES.every(name => CHECKS[name](fields[name]));
  return isComplete ? toUsableSettings(fields) : undefined;
}

/** Joins the bounds to names and addresses that have been checked. */
export function toUsableSettings(
  fields: Readonly<Record<string, unknown>>,
): UsableSettings {
  const identity = Object.fromEntries(
    IDENTITY_NAMES.map(name => [name, fields[name]]),
  ) as unknown as RelayIdentity;
  const {bounds, issues} = readBounds(fields);
  return {settings: {...identity, ...bounds}, issues};
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    // The full reader handles any other YAML.
    return undefined;
  }
}
