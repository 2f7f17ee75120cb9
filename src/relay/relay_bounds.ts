/**
 * Amounts and durations of a relay's host file.
 *
 * A host serves callers whatever these values are. One that is missing or can't
 * be used is replaced and reported, unlike an address or a name, without which
 * a host can't start.
 */

import {MIN_GRACE_MS} from './front/leaving.js';
import {LEASE_CALL_TIMEOUT_MS} from './roles/orders_lease.js';

/** The values as they are used. All durations are in milliseconds. */
export interface RelayBounds {
  /** Retries allowed per request to a service. */
  readonly retryRatio: number;
  /** Additional retries per service in any window, for all hosts together. */
  readonly retrySlack: number;
  /** The window in which retries are counted. */
  readonly retryWindowMs: number;
  /** Time from the signal to leave until the process is killed. */
  readonly leaveGraceMs: number;
  /** Time for which the holder of a lease may act without a renewal. */
  readonly leaseMs: number;
  /** Time in which a host must go by a new configuration; absent if unknown. */
  readonly configurationReachMs?: number;
  /** Time after which an upstream that leaves must get no more requests. */
  readonly departureReachMs?: number;
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

export type BoundName = keyof RelayBounds;

/** A value that was replaced, or whose effect is reported. */
export interface BoundIssue {
  readonly setting: string;
  /** What the file contains; undefined if nothing. */
  readonly given: unknown;
  /** Undefined if the host goes without a value. */
  readonly used: number | undefined;
  readonly reason: string;
}

export interface BoundsResult {
  readonly bounds: RelayBounds;
  readonly issues: readonly BoundIssue[];
}

interface BoundRule {
  /** For the full reader of the host file. */
  readonly description: string;
  readonly min: number;
  /** Whether the value must be more than `min`. */
  readonly excludesMin?: boolean;
  readonly max?: number;
  /** Used if there is no usable value; without it, the host goes without one. */
  readonly substitute?: number;
  /** Whether the file may go without it. */
  readonly isOptional?: boolean;
  /** A usable value for which this returns a sentence is reported. */
  warn?(value: number): string | undefined;
}

const MS_PER_S = 1_000;
const MS_PER_HOUR = 3_600_000;

/** How soon a host learns of any change; see `configuration_reach.md`. */
const STORE_REACH_MS = 1_700;

const reach = (description: string): BoundRule => ({
  description,
  min: 0,
  isOptional: true,
  warn: reachMs =>
    reachMs < STORE_REACH_MS
      ? `A host may take up to ${STORE_REACH_MS} ms to learn of a change.`
      : undefined,
});

const limit = (description: string): BoundRule => ({
  description,
  min: 0,
  excludesMin: true,
  isOptional: true,
});

export const boundRules: Readonly<Record<BoundName, BoundRule>> = {
  retryRatio: {
    description: 'Retries allowed for each request.',
    min: 0,
    substitute: 0.1,
  },
  retrySlack: {
    description: 'Additional retries in a window, for all hosts together.',
    min: 0,
    substitute: 0,
  },
  retryWindowMs: {
    description: 'The window in which retries are counted.',
    min: 0,
    excludesMin: true,
    max: MS_PER_HOUR,
    substitute: 10_000,
  },
  leaveGraceMs: {
    description: 'Time from the signal to leave until the kill.',
    min: MIN_GRACE_MS,
    max: 24 * MS_PER_HOUR,
    substitute: 8_000,
  },
  leaseMs: {
    description: 'Time until a lease without renewal expires.',
    min: 0,
    excludesMin: true,
    substitute: 10_000,
    warn: leaseMs =>
      leaseMs < LEASE_CALL_TIMEOUT_MS
        ? `It expires before a call to the store times out (${LEASE_CALL_TIMEOUT_MS} ms), so engines may get no role orders.`
        : undefined,
  },
  configurationReachMs: reach(
    'Time in which a host must go by a new configuration.',
  ),
  departureReachMs: reach(
    'Time after which an upstream that leaves must get no more requests.',
  ),
  keyWithdrawalMs: {
    description: 'Longest time that a withdrawn key works anywhere.',
    min: 0,
    substitute: 2_000,
    isOptional: true,
  },
  limitSlack: {
    description:
      'Units by which hosts may exceed a limit while some are cut off.',
    min: 0,
    isOptional: true,
  },
  linkMbps: limit("Rate of the host's link."),
  cpuShare: limit('Share of each core for the process.'),
  coreCount: limit('Cores of the host.'),
  memoryMb: limit('Memory for the process.'),
  maxDescriptors: limit('Descriptors that the process may have open.'),
};

export const boundNames = Object.keys(boundRules) as readonly BoundName[];

const MS_SUFFIX = /Ms$/;

/** The name under which a duration is given in seconds. */
export function toSecondsName(name: BoundName): string | undefined {
  return MS_SUFFIX.test(name) ? name.replace(MS_SUFFIX, 'S') : undefined;
}

type Fields = Readonly<Record<string, unknown>>;

interface Given {
  readonly setting: string;
  readonly given: unknown;
  /** The value in the unit of the bound. */
  readonly value: unknown;
  readonly isGivenTwice: boolean;
}

function findGiven(name: BoundName, fields: Fields): Given {
  const secondsName = toSecondsName(name);
  const given = fields[name] ?? undefined;
  const seconds = secondsName ? (fields[secondsName] ?? undefined) : undefined;
  if (secondsName === undefined || seconds === undefined) {
    return {setting: name, given, value: given, isGivenTwice: false};
  }
  return {
    setting: secondsName,
    given: seconds,
    value: typeof seconds === 'number' ? seconds * MS_PER_S : seconds,
    isGivenTwice: given !== undefined,
  };
}

/** Returns why the value can't be used. */
function findFault(
  {value, isGivenTwice}: Given,
  {min, excludesMin = false, max = Infinity, isOptional}: BoundRule,
): string | undefined {
  if (value === undefined) return isOptional ? undefined : 'It is missing.';
  if (isGivenTwice) return 'It is given both in ms and in s.';
  if (typeof value !== 'number' || !Number.isFinite(value)) {
    return 'A number is expected.';
  }
  if (excludesMin && value <= min) return `It must be more than ${min}.`;
  if (value < min) return `It must be at least ${min}.`;
  return value > max ? `It must be at most ${max}.` : undefined;
}

/** Reads all bounds; unknown fields are ignored. */
export function readBounds(fields: Fields): BoundsResult {
  const bounds: Partial<Record<BoundName, number>> = {};
  const issues: BoundIssue[] = [];
  for (const name of boundNames) {
    const rule = boundRules[name];
    const found = findGiven(name, fields);
    const fault = findFault(found, rule);
    const used = fault ? rule.substitute : (found.value as number | undefined);
    if (used !== undefined) bounds[name] = used;
    const reason =
      fault ?? (used === undefined ? undefined : rule.warn?.(used));
    const {setting, given} = found;
    if (reason) issues.push({setting, given, used, reason});
  }
  // Each bound that isn't optional has a substitute.
  return {bounds: bounds as RelayBounds, issues};
}
