import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createCircuit} from '../../src/coordination/circuit.js';
import {createSeededRandom} from '../../src/core/seeded_random.js';
import {createVirtualClock} from '../../src/core/virtual_clock.js';

const OPTIONS = {failureLimit: 1, minOpenMs: 500, maxOpenMs: 5_000};

test('a cancelled probe does not delay the next one', () => {
  // Guards against a host that cannot renew its leases for seconds after the
  // platform recovers: the circuit admits one probe, the rate budget rejects
  // it, and the circuit waits for a result that never comes.
  const clock = createVirtualClock();
  const circuit = createCircuit(clock, createSeededRandom(1), OPTIONS);
  circuit.failed();
  clock.advanceSync(OPTIONS.maxOpenMs);
  assert.equal(circuit.admit(), 0);
  assert.ok(circuit.admit() > 0);
  circuit.cancelled();
  assert.equal(circuit.admit(), 0);
  circuit.succeeded();
  circuit.cancelled();
  assert.equal(circuit.state(), 'closed');
});
