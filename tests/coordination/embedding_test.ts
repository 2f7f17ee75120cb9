// The example of docs/EMBEDDING.md.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createLeaseKeeper} from '../../src/coordination/lease.js';
import {createTableClient} from '../../src/coordination/table_client.js';
import {createSeededRandom} from '../../src/core/seeded_random.js';
import {createVirtualClock} from '../../src/core/virtual_clock.js';
import {createFakeTable} from './fake_table.js';

test('the fenced write of the embedding guide is applied', async () => {
  const clock = createVirtualClock();
  const random = createSeededRandom(1);
  const platformTable = createFakeTable();

  const table = createTableClient(
    {clock, random, table: platformTable},
    {
      hostCount: () => 9,
      fleetWritesPerSecond: 300,
      fleetReadsPerSecond: 2_000,
      callTimeoutMs: 500,
    },
  );
  const leases = createLeaseKeeper(
    {clock, random, table},
    {hostId: 'host-1', leaseMs: 4_000, clockRateError: 0.01},
  );
  leases.start();
  leases.want('ledger');
  await clock.advance(100);

  const fence = leases.currentFence('ledger');
  if (!fence) throw new Error('Another host holds the lease.');
  const outcome = await table.transact(
    {
      attemptId: random.nextId(),
      // The table rejects a host that lost the lease during a pause.
      conditions: [fence.condition],
      writes: [{kind: 'put', key: 'posting/1', value: {amount: 5}}],
    },
    {priority: 'journal', timeoutMs: 1_000},
  );

  assert.equal(outcome.kind, 'applied');
  assert.ok(platformTable.rows.has('posting/1'));
});
