import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import type {ProbeOutcome} from '../../../src/ports/relay.js';
import type {CrashWatch} from '../../../src/relay/crashes/crash_watch.js';
import {createUpstreamRegistry} from '../../../src/relay/store/upstream_registry.js';
import {silentLog} from '../../support/silent_log.js';
import {revisionAt} from '../../support/store_revisions.js';
import {makeUpstream} from '../store/store_site.js';
import {makeProbe, makeRequest, makeWatch} from './crash_site.js';

const STEP_MS = 100;
const SPEAKING = ['s0', 's1', 's2', 's3', 's4', 's5'];
let nextTarget = 1;

/** Each request is alike others in nothing but its shared part. */
const makePartRequest = (part: string) => ({
  ...makeRequest(`/s${nextTarget++}`),
  sharedParts: [part],
});

const isRefused = (watch: CrashWatch) =>
  watch.findRefusal(makePartRequest('p')) !== undefined;

/** Two hosts; the probes of the first get this outcome. */
function makeHosts(outcome: ProbeOutcome) {
  const clock = createVirtualClock(1_000);
  const registry = createUpstreamRegistry({clock, log: silentLog});
  const upstreamPort = makeProbe(() => outcome);
  const host = makeWatch(clock, {upstreamPort, registry});
  registry.onChange(host.noteList);
  const peer = makeWatch(clock);
  let reads = 0;

  /** Other upstreams of the pool answer calls all the while. */
  async function pass(durationMs: number): Promise<void> {
    for (let ms = 0; ms < durationMs; ms += STEP_MS) {
      for (const id of SPEAKING) {
        const run = host.startRun(makePartRequest('other'), makeUpstream(id));
        run.noteAnswer();
        run.end('answered');
      }
      await clock.advance(STEP_MS);
    }
    peer.applyFacts(host.takeFacts());
  }

  async function prove(): Promise<void> {
    host.startRun(makePartRequest('p'), makeUpstream('s0')).end('complete');
    await pass(6_000);
  }

  /** Upstreams send nothing from the start of a run with the part on. */
  async function silence(count: number, everyMs: number): Promise<void> {
    for (let i = 0; i < count; i++) {
      host.startRun(makePartRequest('p'), makeUpstream(`u${i}`));
      await pass(everyMs);
    }
  }

  /** The host reads a list with these upstreams. */
  function list(ids: readonly string[]): void {
    const upstreams = ids.map(id => makeUpstream(id));
    registry.apply({revision: revisionAt(++reads), upstreams});
  }

  return {host, peer, prove, silence, pass, list};
}

test('upstreams that fall silent together are not blamed on a part with complete runs', async () => {
  // Guards against sound requests that are refused after a pause of upstreams.
  const {host, peer, prove, silence, pass} = makeHosts('no-answer');
  await prove();
  await silence(5, 400);
  await pass(3_000);
  assert.ok(host.suspectCount('part') > 0);
  assert.equal(isRefused(host), false);
  assert.equal(isRefused(peer), false);
});

test('their entries that go show that they had ended', async () => {
  // Guards against a part that turns bad and leaves silent ports behind.
  const {host, peer, prove, silence, pass, list} = makeHosts('no-answer');
  const ids = ['u0', 'u1', 'u2', 'u3', 'u4'];
  list([...SPEAKING, ...ids]);
  await prove();
  await silence(5, 400);
  await pass(3_000);
  assert.equal(isRefused(host), false);
  list(SPEAKING);
  await pass(100);
  assert.equal(isRefused(host), true);
  assert.equal(isRefused(peer), true);
});

const FOUND = {
  'fall silent one after the other': ['no-answer', 5, 1_500, true],
  'have closed ports': ['refused', 4, 400, true],
  'fall silent together, without complete runs': ['no-answer', 5, 400, false],
} as const;

for (const [name, [outcome, count, everyMs, isProven]] of Object.entries(
  FOUND,
)) {
  test(`a part is blamed for upstreams that ${name}`, async () => {
    // Guards against a part that turns bad and is not found since it was sound.
    const {host, peer, prove, silence, pass} = makeHosts(outcome);
    if (isProven) await prove();
    await silence(count, everyMs);
    await pass(3_000);
    assert.equal(isRefused(host), true);
    assert.equal(isRefused(peer), true);
  });
}
