/**
 * Runs the coordination parts of many hosts in one process and in virtual time,
 * with the real codec. The transport counts encoded bytes; the table counts
 * calls.
 */

import {createSeededRandom} from '../src/core/seeded_random.js';
import {createVirtualClock} from '../src/core/virtual_clock.js';
import {createConfigurationKeeper} from '../src/coordination/configuration.js';
import {createLeaseKeeper} from '../src/coordination/lease.js';
import {createMembership} from '../src/coordination/membership.js';
import {createOwnership} from '../src/coordination/ownership.js';
import {createTableClient} from '../src/coordination/table_client.js';
import type {ListedHost} from '../src/ports/table.js';
import {createFakeTable} from '../tests/coordination/fake_table.js';
import {createVirtualNetwork} from '../tests/coordination/virtual_network.js';

/** Parts that run on each host in addition to membership. */
export interface FleetParts {
  readonly hasSummaries: boolean;
  readonly hasConfiguration: boolean;
  readonly hasLeases: boolean;
}

export interface FleetOptions {
  readonly count: number;
  readonly seed: number;
  readonly parts: FleetParts;
  readonly probeIntervalMs: number;
  readonly suspicionMs: number;
}

const DOMAIN_COUNT = 12;
const PARTITION_COUNT = 64;
const LEASE_MS = 3_000;
const STEP_MS = 10;
const LOAD_BYTES = 6;
const SUMMARY_BYTES = 40;
const SUMMARY_INTERVAL_MS = 1_000;
const SUMMARY_TTL_MS = 10_000;
const FIRST_PORT = 1_024;

export type Fleet = ReturnType<typeof createFleet>;

export function createFleet(options: FleetOptions) {
  const {count, seed, parts} = options;
  const clock = createVirtualClock(1_000_000_000);
  const network = createVirtualNetwork(clock, createSeededRandom(seed));
  const table = createFakeTable();
  const listed = Array.from({length: count}, (_, index): ListedHost => ({
    hostId: `entry-${String(index).padStart(4, '0')}`,
    failureDomain: `zone-${index % DOMAIN_COUNT}`,
    address: `10.20.${index >> 8}.${index & 255}:${FIRST_PORT + index}`,
    role: 'router',
    state: 'live',
  }));

  function startHost(index: number) {
    const {hostId, failureDomain, address} = listed[index];
    const random = createSeededRandom(seed * 10_000 + index);
    const port = network.open(address);
    const membership = createMembership(
      {clock, random, datagrams: port},
      {
        hostId,
        failureDomain,
        address,
        callerAddress: address.replace('10.20.', '10.30.'),
        peerKey: 'key',
        probeIntervalMs: options.probeIntervalMs,
        suspicionMs: options.suspicionMs,
      },
    );
    membership.applyHostList(listed);
    membership.start();
    const client = createTableClient(
      {clock, random, table},
      {
        hostCount: () => membership.members().length,
        fleetWritesPerSecond: 130,
        fleetReadsPerSecond: 2_000,
        callTimeoutMs: 500,
        writeShare: () => getWriteShare(),
      },
    );
    const keeper = createConfigurationKeeper(
      {
        clock,
        random,
        table: client,
        facts: membership.facts,
        peers: () =>
          membership
            .members()
            .map(member => member.hostId)
            .filter(id => id !== hostId),
        fetchFromPeer: async () => undefined,
        check: () => [],
      },
      {hostId},
    );
    const leases = createLeaseKeeper(
      {clock, random, table: client},
      {hostId, leaseMs: LEASE_MS, clockRateError: 0.001},
    );
    const getWriteShare = () => {
      const held = leases.held().length / PARTITION_COUNT;
      return Math.max(held, 1 / membership.members().length);
    };
    if (parts.hasConfiguration) keeper.start();
    if (parts.hasLeases) leases.start();
    if (parts.hasSummaries) publishSummaries();

    function publishSummaries(): void {
      const version = Math.floor(clock.nowMs() / SUMMARY_INTERVAL_MS);
      const metadata = {
        version,
        ttlMs: SUMMARY_TTL_MS,
        reach: 'direct',
      } as const;
      membership.facts.publish({
        ...metadata,
        key: `load/${hostId}`,
        body: new Uint8Array(LOAD_BYTES),
      });
      membership.facts.publish({
        ...metadata,
        key: `shard/${index}`,
        body: new Uint8Array(SUMMARY_BYTES),
      });
      clock.setTimer(SUMMARY_INTERVAL_MS, publishSummaries);
    }

    /** Requests the leases of partitions that this host owns or is second for. */
    function requestLeases(): void {
      const ownership = createOwnership({
        clock,
        candidates: () => membership.members(),
      });
      for (let partition = 0; partition < PARTITION_COUNT; partition++) {
        const name = `partition/${partition}`;
        if (ownership.ownersOf(name, 2).includes(hostId)) leases.want(name);
      }
    }

    const kill = () => {
      port.close();
      port.send = () => undefined;
      membership.stop();
      keeper.stop();
      void leases.stop();
    };
    return {hostId, membership, keeper, leases, requestLeases, kill};
  }

  const hosts = listed.map((_, index) => startHost(index));

  async function advance(durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      clock.advanceSync(STEP_MS);
      await new Promise<void>(resolve => setImmediate(resolve));
    }
  }

  return {clock, network, table, listed, hosts, advance};
}
