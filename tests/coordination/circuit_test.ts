import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createCircuit} from '../../src/coordination/circuit.js';
import {createSeededRandom} from '../../src/core/seeded_random.js';
import {createVirtualClock} from '../../src/core/virtual_clock.js';

const OPTIONS = {failureLimit: 1, minOpenMs: 500, maxOpenMs: 5_000};

test('a probe that was not made does not hold up the next one', () => {
  // The platform is back, and the circuit lets one call try it. That call is
  // turned away by the host's own budget and never goes out. Waiting for its
  // result would keep the host, and its leases, from the platform for seconds.
  const clock = createVirtualClock();
  const circuit = createCircuit(clock, createSeededRandom(1), OPTIONS);
  circuit.failed();
  clock.advanceSync(OPTIONS.maxOpenMs);
  assert.equal(circuit.admit(), 0);
  assert.ok(circuit.admit() > 0);
  circuit.withdrawn();
  assert.equal(circuit.admit(), 0);
  circuit.succeeded();
  circuit.withdrawn();
  assert.equal(circuit.state(), 'closed');
});
