import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import type {CollectionKind} from '../../../src/ports/process_memory.js';
import type {HeldKind} from '../../../src/relay/limits/held_kinds.js';
import type {Holding} from '../../../src/relay/limits/memory_budget.js';
import {createResourceLimits} from '../../../src/relay/limits/resource_limits.js';
import {silentLog} from '../../support/silent_log.js';

const MB = 1024 * 1024;
const IDLE_MB = 60;

/** A process of 200 MB that uses what is held, and garbage until collected. */
function makeLimits() {
  const clock = createVirtualClock();
  const state = {otherMb: 0, garbageMb: 0};
  const collected: CollectionKind[] = [];
  const ended: string[] = [];
  const limits = createResourceLimits(
    {
      clock,
      processMemory: {
        maxResidentBytes: Infinity,
        usage: () => ({
          residentBytes:
            limits.memory.heldBytes() +
            (IDLE_MB + state.otherMb + state.garbageMb) * MB,
          heapBytes: 0,
          maxHeapBytes: 1,
        }),
        collect(kind) {
          collected.push(kind);
          if (kind === 'all') state.garbageMb = 0;
        },
      },
      log: silentLog,
      metrics: {count: () => undefined},
      hasOtherEntry: () => true,
    },
    {memoryMb: 200, maxDescriptors: 4_100},
  );
  function open(kind: HeldKind, requestId: string): Holding {
    const holding = limits.memory.open({
      kind,
      requestId,
      end: () => void ended.push(requestId),
    });
    return holding;
  }
  return {clock, state, collected, ended, limits, open};
}

test('what would exceed the memory held over all requests is not begun', () => {
  // Guards against a process that is ended for the sum of many sound uploads.
  const {open, ended} = makeLimits();
  const taken = Array.from({length: 80}, (_, i) =>
    open('upload', `upload-${i}`).tryResize(MB),
  );
  assert.equal(taken.filter(Boolean).length, 39);
  assert.deepEqual(ended, []);
});

test('what grows beyond the bound ends the largest of the first rank', () => {
  // Guards against a process that is ended for answers that callers don't read.
  const {limits, open, ended} = makeLimits();
  open('request', 'read').resize(15 * MB);
  open('answer', 'answer').resize(12 * MB);
  open('caller-buffer', 'small').resize(2 * MB);
  open('caller-buffer', 'large').resize(8 * MB);
  assert.deepEqual(ended, []);
  open('answer', 'next').resize(6 * MB);
  assert.deepEqual(ended, ['large']);
  assert.ok(limits.memory.heldBytes() <= 40 * MB);
});

test('a closed holding frees its room', () => {
  // Guards against an account that fills up although nothing is held.
  const {limits, open} = makeLimits();
  for (let i = 0; i < 500; i++) {
    const holding = open('upload', `upload-${i}`);
    assert.ok(holding.tryResize(10 * MB));
    holding.close();
    holding.resize(10 * MB);
    holding.close();
  }
  assert.equal(limits.memory.heldBytes(), 0);
  assert.equal(limits.memory.holderCount('upload'), 0);
});

test('near the limit garbage is collected before anything is ended', async () => {
  // Guards against requests that are ended for memory that is no longer in use.
  const {clock, state, collected, ended, limits, open} = makeLimits();
  open('request', 'read').resize(30 * MB);
  state.garbageMb = 100;
  limits.watch.check();
  assert.deepEqual(collected, ['young', 'all']);
  assert.equal(limits.watch.level(), 'normal');
  assert.deepEqual(ended, []);
  await clock.advance(100);
  limits.watch.check();
  assert.equal(collected.length, 2);
});

test('near the limit less is held, by what is missing', async () => {
  // Guards against a process that ends all requests for memory it does not get back.
  const {clock, state, ended, limits, open} = makeLimits();
  for (let i = 0; i < 7; i++) open('upload', `upload-${i}`).resize(5 * MB);
  state.otherMb = 78;
  limits.watch.check();
  assert.equal(limits.watch.level(), 'critical');
  assert.deepEqual(ended, ['upload-0']);
  assert.ok(!open('upload', 'new').tryResize(3 * MB));
  // Freed memory that the process keeps isn't missing again.
  state.otherMb += 5;
  for (let i = 0; i < 5; i++) limits.watch.check();
  assert.deepEqual(ended, ['upload-0']);
  state.otherMb = 200;
  for (let i = 0; i < 100; i++) {
    await clock.advance(100);
    state.otherMb += 1;
    limits.watch.check();
  }
  // A quarter of the bound stays in use, whatever else takes the memory.
  assert.equal(ended.length, 6);
  state.otherMb = 0;
  limits.watch.check();
  assert.equal(limits.watch.level(), 'normal');
  assert.ok(open('upload', 'later').tryResize(20 * MB));
});
