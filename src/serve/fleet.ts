/** Membership, leases and this process's share of the platform's table. */

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
import type {ProcessAdapters} from './process_adapters.js';

const TABLE_CALL_TIMEOUT_MS = 500;

export interface Fleet {
  readonly membership: Membership;
  readonly table: TableClient;
  readonly owners: Owners;
  readonly liveness: EntryLiveness;
  /** Number of processes that accept new work, including this one. */
  countUsableMembers(): number;
  /** Undefined until a configuration has set the length of leases. */
  getLeases(): LeaseKeeper | undefined;
  /** Applies new settings; the length of leases is fixed by the first call. */
  applySettings(settings: CoordinationSettings): void;
  /** Seeds the membership from the platform's list of all hosts. */
  applyHostList(hosts: readonly ListedHost[]): void;
  start(): void;
  stop(): Promise<void>;
}

type InitialSettings = Pick<
  CoordinationSettings,
  | 'probeIntervalMs'
  | 'suspicionMs'
  | 'tableWritesPerSecond'
  | 'tableReadsPerSecond'
>;

/** Used until a configuration has been read. */
const initialSettings: InitialSettings = {
  probeIntervalMs: 500,
  suspicionMs: 1500,
  tableWritesPerSecond: 300,
  tableReadsPerSecond: 1500,
};

export function createFleet(adapters: ProcessAdapters): Fleet {
  const {clock, random, host, createLogger} = adapters;
  let settings: InitialSettings = initialSettings;
  let leases: LeaseKeeper | undefined;

  const membership = createMembership(
    {clock, random, datagrams: adapters.datagrams},
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
  const countUsableMembers = () => membership.members().filter(isUsable).length;
  const table = createTableClient(
    {clock, random, table: adapters.table},
    {
      hostCount: countUsableMembers,
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
    countUsableMembers,
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
