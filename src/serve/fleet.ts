/** The other processes as this one sees them, and its share of the platform. */

import {createLeaseKeeper, type LeaseKeeper} from '../coordination/lease.js';
import {isUsable} from '../coordination/member_records.js';
import {createMembership, type Membership} from '../coordination/membership.js';
import {
  createTableClient,
  type TableClient,
} from '../coordination/table_client.js';
import type {CoordinationSettings} from '../core/settings_types.js';
import type {ListedHost} from '../ports/table.js';
import {createEntryLiveness, type EntryLiveness} from './entry_liveness.js';
import {createOwners, type Owners} from './owners.js';
import type {World} from './world.js';

const TABLE_CALL_TIMEOUT_MS = 500;

export interface Fleet {
  readonly membership: Membership;
  readonly table: TableClient;
  readonly owners: Owners;
  readonly liveness: EntryLiveness;
  /** Processes that take new work, this one included. */
  countUsable(): number;
  /** Undefined until a configuration says how long leases are. */
  getLeases(): LeaseKeeper | undefined;
  /** Follows the settings; the length of leases only the first time. */
  applySettings(settings: CoordinationSettings): void;
  /** Members to begin with, from the platform's list of all hosts. */
  applyHostList(hosts: readonly ListedHost[]): void;
  start(): void;
  stop(): Promise<void>;
}

type EarlySettings = Pick<
  CoordinationSettings,
  | 'probeIntervalMs'
  | 'suspicionMs'
  | 'tableWritesPerSecond'
  | 'tableReadsPerSecond'
>;

/** In force until a configuration has been read. */
const earlySettings: EarlySettings = {
  probeIntervalMs: 500,
  suspicionMs: 1500,
  tableWritesPerSecond: 300,
  tableReadsPerSecond: 1500,
};

export function createFleet(world: World): Fleet {
  const {clock, random, host, createLogger} = world;
  let settings: EarlySettings = earlySettings;
  let leases: LeaseKeeper | undefined;

  const membership = createMembership(
    {clock, random, datagrams: world.datagrams},
    {
      hostId: host.hostId,
      failureDomain: host.failureDomain,
      address: host.peerAddress,
      callerAddress: host.callerAddress,
      peerKey: host.peerKey,
      get probeIntervalMs() {
        return settings.probeIntervalMs;
      },
      get suspicionMs() {
        return settings.suspicionMs;
      },
    },
  );
  const countUsable = () => membership.members().filter(isUsable).length;
  const table = createTableClient(
    {clock, random, table: world.table},
    {
      hostCount: countUsable,
      get fleetWritesPerSecond() {
        return settings.tableWritesPerSecond;
      },
      get fleetReadsPerSecond() {
        return settings.tableReadsPerSecond;
      },
      callTimeoutMs: TABLE_CALL_TIMEOUT_MS,
    },
  );

  function startLeases({leaseMs, clockRateError}: CoordinationSettings): void {
    leases = createLeaseKeeper(
      {clock, random, table, log: createLogger('lease')},
      {hostId: host.hostId, leaseMs, clockRateError},
    );
    leases.start();
  }

  return {
    membership,
    table,
    owners: createOwners(clock, membership),
    liveness: createEntryLiveness(membership),
    countUsable,
    getLeases: () => leases,
    applySettings(next) {
      settings = next;
      if (!leases) startLeases(next);
    },
    applyHostList: hosts =>
      membership.applyHostList(hosts.filter(({role}) => role === 'router')),
    start: membership.start,
    async stop() {
      await leases?.stop();
      membership.stop();
    },
  };
}
