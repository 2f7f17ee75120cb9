import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../src/core/virtual_clock.js';
import {
  createQuarantine,
  defaultQuarantineOptions,
  type Quarantine,
} from '../../src/request/quarantine.js';

/** Creates entries that receive each other's facts at once. */
function createEntries(count: number, maxFingerprints = 10_000) {
  const clock = createVirtualClock();
  const entries: Quarantine[] = [];
  for (let i = 0; i < count; i++) {
    entries.push(
      createQuarantine(
        {
          clock,
          broadcast(fact) {
            entries.forEach((other, j) => {
              if (j !== i) other.mergeFact(fact);
            });
          },
        },
        {...defaultQuarantineOptions, maxFingerprints},
      ),
    );
  }
  return {clock, entries};
}

// A request crashes the engine that runs it, and its caller sends it again to
// another entry each time. The third attempt must be refused at every entry.
test('a poisonous request that runs alone costs two engines at most', () => {
  const {clock, entries} = createEntries(3);
  assert.equal(entries[0].recordLoss('poison', 'engine-1'), 'suspect');
  clock.advanceSync(20_000);
  assert.equal(entries[1].recordLoss('poison', 'engine-2'), 'quarantined');
  assert.equal(entries[2].verdict('poison'), 'quarantined');
  assert.equal(entries[2].verdict('other'), 'clear');
  clock.advanceSync(700_000);
  assert.equal(entries[2].verdict('poison'), 'clear');
});

// An engine dies with two requests, one of which caused it. Retried one at a
// time, the innocent one completes and must be cleared.
test('of two suspects only the poisonous one remains quarantined', () => {
  const {clock, entries} = createEntries(1);
  const [quarantine] = entries;
  quarantine.recordLoss('poison', 'engine-1');
  quarantine.recordLoss('innocent', 'engine-1');
  const turns: string[] = [];
  quarantine.enterTrial('poison', 'r1', () => turns.push('poison'));
  quarantine.enterTrial('innocent', 'r2', () => turns.push('innocent'));
  assert.deepEqual(turns, ['poison']);
  clock.advanceSync(1_000);
  quarantine.recordLoss('poison', 'engine-2');
  quarantine.leaveTrial('r1');
  assert.deepEqual(turns, ['poison', 'innocent']);
  quarantine.clear('innocent');
  assert.equal(quarantine.verdict('innocent'), 'clear');
  assert.equal(quarantine.verdict('poison'), 'quarantined');
});

test('two reports of one engine death count as one loss', () => {
  const {clock, entries} = createEntries(2);
  clock.advanceSync(9_990);
  entries[0].recordLoss('f', 'engine-1');
  clock.advanceSync(20);
  assert.equal(entries[1].recordLoss('f', 'engine-1'), 'suspect');
});

test('what is quarantined stays known beside many later suspects', () => {
  // Guards against requests that crash engines again once other ends have
  // brought in so many suspects that their losses are dropped.
  const {clock, entries} = createEntries(1, 100);
  const [quarantine] = entries;
  for (const engine of ['e1', 'e2', 'e3']) {
    quarantine.recordLoss('poison', engine);
    clock.advanceSync(1_000);
  }
  for (let i = 0; i < 200; i++) quarantine.recordLoss(`once${i}`, 'e4');
  assert.equal(quarantine.verdict('poison'), 'quarantined');
  assert.equal(quarantine.fingerprints().length, 100);
  assert.equal(quarantine.verdict('once0'), 'clear');
});
